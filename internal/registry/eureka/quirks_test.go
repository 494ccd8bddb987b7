package eureka

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"mothridge/internal/peers"
)

// Where public servers differ, row by row of docs/protocol/eureka.md: what an
// instance has beyond the plain one, in both formats, and what is made of it.
// Each row is read as one element and as a list of two, of an app alone and
// among applications.
var quirks = []struct {
	name      string
	json, xml string
	want      func(i *Instance)
}{
	{"port as a number", `"port":{"$":8080,"@enabled":"true"}`, `<port enabled="true">8080</port>`, func(i *Instance) { i.Port = 8080 }},
	{"port as a text", `"port":{"$":"8080","@enabled":"true"}`, `<port enabled='true'> 8080 </port>`, func(i *Instance) { i.Port = 8080 }},
	{"port flag as a boolean", `"port":{"@enabled":true,"$":8080}`, `<port enabled="TRUE">8080</port>`, func(i *Instance) { i.Port = 8080 }},
	{"port alone", `"port":8080`, `<port>8080</port>`, func(i *Instance) { i.Port = 8080 }},
	{"port off", `"port":{"$":8080,"@enabled":"false"}`, `<port enabled="false">8080</port>`, func(*Instance) {}},
	{"port out of range", `"port":{"$":80800,"@enabled":"true"}`, `<port enabled="true">80800</port>`, func(*Instance) {}},
	{"secure port", `"securePort":{"$":"8443","@enabled":"true"}`, `<securePort enabled="true">8443</securePort>`, func(i *Instance) { i.SecurePort = 8443 }},
	{"overriddenStatus", `"overriddenStatus":"DOWN"`, `<overriddenStatus>DOWN</overriddenStatus>`, func(i *Instance) { i.Override = "DOWN" }},
	{"overriddenstatus", `"overriddenstatus":"DOWN"`, `<overriddenstatus>DOWN</overriddenstatus>`, func(i *Instance) { i.Override = "DOWN" }},
	{"both, one empty", `"overriddenstatus":"DOWN","overriddenStatus":""`, `<overriddenstatus>DOWN</overriddenstatus><overriddenStatus/>`,
		func(i *Instance) { i.Override = "DOWN" }},
	{"lower case", `"status":"out_of_service","actionType":"modified"`, `<status>out_of_service</status><actionType>modified</actionType>`,
		func(i *Instance) { i.Status, i.Action = "OUT_OF_SERVICE", "MODIFIED" }},
	{"times as numbers", `"lastUpdatedTimestamp":5,"lastDirtyTimestamp":4`, `<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp>4</lastDirtyTimestamp>`,
		func(i *Instance) { i.Updated, i.Dirty = 5, 4 }},
	{"times as texts", `"lastUpdatedTimestamp":"5","lastDirtyTimestamp":" 4 "`, `<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp> 4 </lastDirtyTimestamp>`,
		func(i *Instance) { i.Updated, i.Dirty = 5, 4 }},
	{"times with an exponent", `"lastUpdatedTimestamp":1.796120688812E12`, `<lastUpdatedTimestamp>1.796120688812E12</lastUpdatedTimestamp>`,
		func(i *Instance) { i.Updated = 1796120688812 }},
	{"times that are none", `"lastUpdatedTimestamp":"soon","lastDirtyTimestamp":1e300`, `<lastUpdatedTimestamp>soon</lastUpdatedTimestamp><lastDirtyTimestamp>1e300</lastDirtyTimestamp>`,
		func(*Instance) {}},
	{"a text with attributes", `"vipAddress":{"@class":"string","$":"v"}`, `<vipAddress class="string">v</vipAddress>`, func(i *Instance) { i.VIP = "v" }},
	{"null", `"vipAddress":null,"metadata":null,"leaseInfo":null`, `<vipAddress/><metadata/><leaseInfo/>`, func(*Instance) {}},
	{"metadata", `"metadata":{"@class":"x","k":"1","n":2}`, `<metadata class="x"><k>1</k><n>2</n></metadata>`,
		func(i *Instance) { i.Metadata = map[string]string{"k": "1", "n": "2"} }},
	{"no metadata by its class", `"metadata":{"@class":"java.util.Collections$EmptyMap"}`, `<metadata class="java.util.Collections$EmptyMap"/>`, func(*Instance) {}},
	{"metadata as an empty text", `"metadata":""`, `<metadata></metadata>`, func(*Instance) {}},
	{"metadata with a list", `"metadata":{"k":["a"],"l":"b"}`, `<metadata><k><string>a</string></k><l>b</l></metadata>`,
		func(i *Instance) { i.Metadata = map[string]string{"k": "", "l": "b"} }},
	{"lease", `"leaseInfo":{"renewalIntervalInSecs":30,"serviceUpTimestamp":7}`, `<leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs><serviceUpTimestamp>7</serviceUpTimestamp></leaseInfo>`,
		func(i *Instance) { i.ServiceUp = 7 }},
	{"what comes later", `"later":{"a":[1,{"b":null}]},"countryId":1,"dataCenterInfo":{"@class":"x","name":"MyOwn"}`,
		`<later><a>1</a><a><b/></a></later><countryId>1</countryId><dataCenterInfo class="x"><name>MyOwn</name></dataCenterInfo>`, func(*Instance) {}},
	{"odd characters", `"instanceId":"räuber/\u2603 %2F?#&<"`, `<instanceId>räuber/&#x2603; %2F?#&amp;&lt;</instanceId>`, func(i *Instance) { i.ID = "räuber/☃ %2F?#&<" }},
	{"no id but a host", `"instanceId":""`, `<instanceId/>`, func(i *Instance) { i.ID = "h" }},
	{"app of its own", `"app":"B"`, `<app>B</app>`, func(i *Instance) { i.App = "B" }},
}

func TestQuirks(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "protocol", "eureka.md"))
	if err != nil {
		t.Fatal(err)
	}
	const plainJSON, plainXML = `"instanceId":"i","hostName":"h","ipAddr":"10.0.0.1",`, `<instanceId>i</instanceId><hostName>h</hostName><ipAddr>10.0.0.1</ipAddr>`
	for _, q := range quirks {
		if !strings.Contains(string(page), "\n| "+q.name+" |") {
			t.Errorf("the page has no row %q", q.name)
		}
		want := Instance{ID: "i", App: "A", Host: "h", IP: "10.0.0.1"}
		q.want(&want)
		j, x := "{"+plainJSON+q.json+"}", "<instance>"+plainXML+q.xml+"</instance>"
		for _, number := range []int{1, 2} {
			lists := map[string]string{
				"JSON":         `{"application":{"instance":[` + strings.Repeat(","+j, number)[1:] + `],"name":"A"}}`,
				"JSON, lists":  `{"applications":{"versions__delta":1,"application":[{"name":"A","instance":[` + strings.Repeat(","+j, number)[1:] + `]}],"apps__hashcode":"h"}}`,
				"XML":          `<application>` + strings.Repeat(x, number) + `<name>A</name></application>`,
				"XML, of apps": `<?xml version="1.0"?><!-- c --><applications><versions__delta>1</versions__delta><apps__hashcode>h</apps__hashcode><application><name>A</name>` + strings.Repeat(x, number) + `</application></applications>`,
			}
			if number == 1 {
				lists["JSON, one element"] = "\xef\xbb\xbf " + `{"applications":{"versions__delta":"1","apps__hashcode":"h","application":{"name":"A","instance":` + j + `}}}`
			}
			for format, text := range lists {
				a, err := Parse(strings.NewReader(text), nil)
				if err != nil || len(a.Instances) != number || !reflect.DeepEqual(a.Instances[number-1], want) {
					t.Errorf("%s, %s, %d: %+v, %v; want %+v", q.name, format, number, a, err, want)
				} else if strings.Contains(text, "delta") && (a.Version != "1" || a.Hash != "h") {
					t.Errorf("%s, %s: version %q, hash %q", q.name, format, a.Version, a.Hash)
				}
			}
		}
	}
}

// What is no list is an error; what is an empty one, or an instance of which
// nothing can be made, spoils nothing.
func TestAnswersThatHoldNothing(t *testing.T) {
	const one = `{"application":{"name":"A","instance":`
	for text, empty := range map[string]bool{
		one + `{"status":"UP"}}}`: true, one + `{"instanceId":"a\nb"}}}`: true, one + `{"instanceId":"` + strings.Repeat("x", 2000) + `"}}}`: true,
		`{"applications":{"application":[]}}`: true, `{"applications":{"application":null}}`: true, `{"applications":{"application":""}}`: true,
		`<applications/>`: true, `<application><instance><status>UP</status></instance></application>`: true,
		"": false, "null": false, "[]": false, `{"x":1}`: false, `{"applications":{}}x`: false, `{"applications":7}`: false, `{"applications":[7]}`: false,
		`{"applications":{"application":"x"}}`: false, `{"applications":`: false, "<applications>": false, "<html/>": false, "<applications/>x": false,
		"<applications/><applications/>": false, "<!DOCTYPE applications><applications/>": false,
		one + `{"vipAddress":` + strings.Repeat(`{"$":`, 40) + `1` + strings.Repeat(`}`, 40) + `}}}`: false,
		one + `{"later":` + strings.Repeat(`[`, 40) + strings.Repeat(`]`, 40) + `}}}`:                false, "<applications><application></applications>": false,
	} {
		if a, err := Parse(strings.NewReader(text), nil); (err == nil) != empty || err == nil && len(a.Instances) != 0 {
			t.Errorf("%.80q: %+v, %v", text, a, err)
		}
	}
}

// Answers that are made to take memory or time are refused before they do.
func TestBombs(t *testing.T) {
	const ten = 10 << 20
	for name, text := range map[string]string{
		"entities":           `<!DOCTYPE a [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;">]><applications><versions__delta>&b;</versions__delta></applications>`,
		"an external entity": `<!DOCTYPE a [<!ENTITY a SYSTEM "file:///etc/hostname">]><applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"an entity alone":    `<applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"a long attribute":   `<applications><application name="` + strings.Repeat("x", ten) + `"/></applications>`,
		"a long text":        `<applications><apps__hashcode>` + strings.Repeat("x", ten) + `</apps__hashcode></applications>`,
		"a text in parts":    `<applications><apps__hashcode>` + strings.Repeat("x<!-- c -->", ten/10) + `</apps__hashcode></applications>`,
		"a long comment":     `<applications><!--` + strings.Repeat("<", ten) + `--></applications>`,
		"a long name":        `<applications><` + strings.Repeat("x", ten) + `/></applications>`,
		"a long string":      `{"applications":{"apps__hashcode":"` + strings.Repeat("x", ten) + `"}}`,
		"a long key":         `{"applications":{"` + strings.Repeat("x", ten) + `":1}}`,
		"a long number":      `{"applications":{"versions__delta":` + strings.Repeat("1", ten) + `}}`,
		"deep lists":         `{"applications":{"x":` + strings.Repeat("[", ten),
		"deep objects":       `{"application":{"instance":{"vipAddress":` + strings.Repeat(`{"$":`, ten/5),
		"deep elements":      `<applications>` + strings.Repeat("<x>", ten/3),
		"blanks":             strings.Repeat(" ", ten) + `{"applications":{}}`,
	} {
		r := &counted{in: strings.NewReader(text)}
		a, err := Parse(r, nil)
		if err == nil || strings.ContainsAny(err.Error(), "\n\r") || len(err.Error()) > 400 {
			t.Errorf("%s: %+v, %.500v", name, a, err)
		}
		if most := 8 * maxToken; r.n > most && name != "a text in parts" {
			t.Errorf("%s: %d bytes were read", name, r.n)
		}
	}
}

type counted struct {
	in *strings.Reader
	n  int
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	c.n += n
	return n, err
}

// What the stand-in writes in either dialect and format reads back the same; so
// do formats that are announced as the other, or that change between polls.
func TestStandinReadsBack(t *testing.T) {
	e := startRegistry(t)
	full := instance(1, "UP")
	full.Secure, full.SecurePort, full.SVIP, full.Group, full.HomePage, full.Country = true, 8443, "s", "G", "http://127.0.0.1/", 49
	bare := instance(2, "UP")
	bare.Metadata, bare.PortOff = nil, true
	e.Register(full)
	e.Register(bare)
	e.Override(bare.ID, "OUT_OF_SERVICE")
	var first []Instance
	f := newFollow(t, Config{}, e)
	for step, asXML := range []bool{false, true, false, true, true, false} {
		e.Dialect([]peers.EurekaDialect{peers.Jackson, peers.XStream}[step/2%2])
		e.Fault(map[bool]peers.EurekaFault{true: peers.Announced}[step == 4])
		f.cfg.XML, f.held = asXML, nil
		n := f.next(t)
		if first == nil {
			first = n.Instances
		}
		if !reflect.DeepEqual(n.Instances, first) || words(n) != "1 UP, 2 OUT_OF_SERVICE" {
			t.Errorf("step %d: %+v, want %+v", step, n.Instances, first)
		}
		if e.Cancel("none"); step > 0 { // a delta in the other format than the list
			f.cfg.XML = !asXML
			e.Register(full)
			if n := f.next(t); n.Whole || words(n) != "ADDED 1 UP" {
				t.Errorf("step %d: the delta %+v", step, n)
			}
			e.Forget()
			first = nil
		}
	}
	if i := f.next(t); len(i.Instances) != 0 {
		t.Errorf("after it: %+v", i)
	}
}

// Metadata that nobody asked for are not held.
func TestMetadataThatAreKept(t *testing.T) {
	for _, text := range []string{
		`{"application":{"instance":{"instanceId":"i","metadata":{"zone":"a","other":"b"}}}}`,
		`<application><instance><instanceId>i</instanceId><metadata><zone>a</zone><other>b</other></metadata></instance></application>`,
	} {
		a, err := Parse(strings.NewReader(text), func(key string) bool { return key == "zone" })
		if err != nil || len(a.Instances) != 1 || !maps.Equal(a.Instances[0].Metadata, map[string]string{"zone": "a"}) {
			t.Errorf("%s: %s, %v", text, fmt.Sprintf("%+v", a), err)
		}
	}
}
