package eureka

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// formatVariants are the forms in which public servers differ, row by row of docs/protocol/eureka.md:
// what an instance has beyond the plain one, in both formats, and what is read from it. Each is
// read as one element and as a list of two, of an app alone and among applications.
var formatVariants = []struct {
	name      string
	json, xml string
	setWant   func(instance *Instance)
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
	{"times as numbers", `"lastUpdatedTimestamp":5,"lastDirtyTimestamp":4`,
		`<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp>4</lastDirtyTimestamp>`,
		func(i *Instance) { i.Updated, i.Dirty = 5, 4 }},
	{"times as texts", `"lastUpdatedTimestamp":"5","lastDirtyTimestamp":" 4 "`,
		`<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp> 4 </lastDirtyTimestamp>`,
		func(i *Instance) { i.Updated, i.Dirty = 5, 4 }},
	{"times with an exponent", `"lastUpdatedTimestamp":1.796120688812E12`, `<lastUpdatedTimestamp>1.796120688812E12</lastUpdatedTimestamp>`,
		func(i *Instance) { i.Updated = 1796120688812 }},
	{"times that are none", `"lastUpdatedTimestamp":"soon","lastDirtyTimestamp":1e300`,
		`<lastUpdatedTimestamp>soon</lastUpdatedTimestamp><lastDirtyTimestamp>1e300</lastDirtyTimestamp>`,
		func(*Instance) {}},
	{"a text with attributes", `"vipAddress":{"@class":"string","$":"v"}`, `<vipAddress class="string">v</vipAddress>`, func(i *Instance) { i.VIP = "v" }},
	{"null", `"vipAddress":null,"metadata":null,"leaseInfo":null`, `<vipAddress/><metadata/><leaseInfo/>`, func(*Instance) {}},
	{"metadata", `"metadata":{"@class":"x","k":"1","n":2}`, `<metadata class="x"><k>1</k><n>2</n></metadata>`,
		func(i *Instance) { i.Metadata = map[string]string{"k": "1", "n": "2"} }},
	{"no metadata by its class", `"metadata":{"@class":"java.util.Collections$EmptyMap"}`, `<metadata class="java.util.Collections$EmptyMap"/>`, func(*Instance) {}},
	{"metadata as an empty text", `"metadata":""`, `<metadata></metadata>`, func(*Instance) {}},
	{"metadata with a list", `"metadata":{"k":["a"],"l":"b"}`, `<metadata><k><string>a</string></k><l>b</l></metadata>`,
		func(i *Instance) { i.Metadata = map[string]string{"k": "", "l": "b"} }},
	{"lease", `"leaseInfo":{"renewalIntervalInSecs":30,"serviceUpTimestamp":7}`,
		`<leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs><serviceUpTimestamp>7</serviceUpTimestamp></leaseInfo>`,
		func(i *Instance) { i.ServiceUpTime = 7 }},
	{"what comes later", `"later":{"a":[1,{"b":null}]},"countryId":1,"dataCenterInfo":{"@class":"x","name":"MyOwn"}`,
		`<later><a>1</a><a><b/></a></later><countryId>1</countryId><dataCenterInfo class="x"><name>MyOwn</name></dataCenterInfo>`, func(*Instance) {}},
	{"odd characters", `"instanceId":"räuber/\u2603 %2F?#&<"`, `<instanceId>räuber/&#x2603; %2F?#&amp;&lt;</instanceId>`, func(i *Instance) { i.ID = "räuber/☃ %2F?#&<" }},
	{"no id but a host", `"instanceId":""`, `<instanceId/>`, func(i *Instance) { i.ID = "h" }},
	{"app of its own", `"app":"B"`, `<app>B</app>`, func(i *Instance) { i.App = "B" }},
}

// The plain instance that a quirk is added to.
const (
	baseJSON = `"instanceId":"i","hostName":"h","ipAddr":"10.0.0.1",`
	baseXML  = `<instanceId>i</instanceId><hostName>h</hostName><ipAddr>10.0.0.1</ipAddr>`
)

func TestFormatVariants(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "protocol", "eureka.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, quirk := range formatVariants {
		if !strings.Contains(string(page), "\n| "+quirk.name+" |") {
			t.Errorf("the page has no row %q", quirk.name)
		}
		want := Instance{ID: "i", App: "A", Host: "h", IP: "10.0.0.1"}
		quirk.setWant(&want)
		asJSON, asXML := "{"+baseJSON+quirk.json+"}", "<instance>"+baseXML+quirk.xml+"</instance>"
		for _, number := range []int{1, 2} {
			for format, text := range responses(asJSON, asXML, number) {
				got, err := Parse(strings.NewReader(text), nil)
				if err != nil || len(got.Instances) != number || !reflect.DeepEqual(got.Instances[number-1], want) {
					t.Errorf("%s, %s, %d: %+v, %v; want %+v", quirk.name, format, number, got, err, want)
				} else if strings.Contains(text, "delta") && (got.Version != "1" || got.Hash != "h") {
					t.Errorf("%s, %s: version %q, hash %q", quirk.name, format, got.Version, got.Hash)
				}
			}
		}
	}
}

// responses returns responses, by format, that hold an instance a number of times.
func responses(asJSON, asXML string, number int) map[string]string {
	jsonList, xmlList := strings.Repeat(","+asJSON, number)[1:], strings.Repeat(asXML, number)
	all := map[string]string{
		"JSON": `{"application":{"instance":[` + jsonList + `],"name":"A"}}`,
		"JSON, lists": `{"applications":{"versions__delta":1,"application":[{"name":"A","instance":[` + jsonList +
			`]}],"apps__hashcode":"h"}}`,
		"XML": `<application>` + xmlList + `<name>A</name></application>`,
		"XML, of apps": `<?xml version="1.0"?><!-- c --><applications><versions__delta>1</versions__delta>` +
			`<apps__hashcode>h</apps__hashcode><application><name>A</name>` + xmlList + `</application></applications>`,
	}
	if number == 1 {
		all["JSON, one element"] = byteOrderMark + ` {"applications":{"versions__delta":"1","apps__hashcode":"h",` +
			`"application":{"name":"A","instance":` + asJSON + `}}}`
	}
	return all
}

// An empty list, or an instance without a usable ID, is no error and leaves nothing.
func TestEmptyResponses(t *testing.T) {
	const instance = `{"application":{"name":"A","instance":`
	for _, text := range []string{
		instance + `{"status":"UP"}}}`,
		instance + `{"instanceId":"a\nb"}}}`,
		instance + `{"instanceId":"` + strings.Repeat("x", 2000) + `"}}}`,
		`{"applications":{"application":[]}}`,
		`{"applications":{"application":null}}`,
		`{"applications":{"application":""}}`,
		`<applications/>`,
		`<application><instance><status>UP</status></instance></application>`,
	} {
		if got, err := Parse(strings.NewReader(text), nil); err != nil || len(got.Instances) != 0 {
			t.Errorf("%.80q: %+v, %v", text, got, err)
		}
	}
}

// What is no list is an error.
func TestInvalidResponses(t *testing.T) {
	const instance = `{"application":{"name":"A","instance":`
	for _, text := range []string{
		"", "null", "[]", `{"x":1}`,
		`{"applications":{}}x`,
		`{"applications":7}`,
		`{"applications":[7]}`,
		`{"applications":{"application":"x"}}`,
		`{"applications":`,
		"<applications>",
		"<html/>",
		"<applications/>x",
		"<applications/><applications/>",
		"<!DOCTYPE applications><applications/>",
		"<applications><application></applications>",
		instance + `{"vipAddress":` + strings.Repeat(`{"$":`, 40) + `1` + strings.Repeat(`}`, 40) + `}}}`,
		instance + `{"later":` + strings.Repeat(`[`, 40) + strings.Repeat(`]`, 40) + `}}}`,
	} {
		if got, err := Parse(strings.NewReader(text), nil); err == nil {
			t.Errorf("%.80q: %+v", text, got)
		}
	}
}

// Responses that are made to take memory or time are rejected before they do.
func TestMaliciousResponses(t *testing.T) {
	const size = 10 << 20
	for name, text := range map[string]string{
		"entities": `<!DOCTYPE a [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;">]>` +
			`<applications><versions__delta>&b;</versions__delta></applications>`,
		"an external entity": `<!DOCTYPE a [<!ENTITY a SYSTEM "file:///etc/hostname">]>` +
			`<applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"an entity alone":  `<applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"a long attribute": `<applications><application name="` + strings.Repeat("x", size) + `"/></applications>`,
		"a long text":      `<applications><apps__hashcode>` + strings.Repeat("x", size) + `</apps__hashcode></applications>`,
		"a text in parts":  `<applications><apps__hashcode>` + strings.Repeat("x<!-- c -->", size/10) + `</apps__hashcode></applications>`,
		"a long comment":   `<applications><!--` + strings.Repeat("<", size) + `--></applications>`,
		"a long name":      `<applications><` + strings.Repeat("x", size) + `/></applications>`,
		"a long string":    `{"applications":{"apps__hashcode":"` + strings.Repeat("x", size) + `"}}`,
		"a long key":       `{"applications":{"` + strings.Repeat("x", size) + `":1}}`,
		"a long number":    `{"applications":{"versions__delta":` + strings.Repeat("1", size) + `}}`,
		"deep lists":       `{"applications":{"x":` + strings.Repeat("[", size),
		"deep objects":     `{"application":{"instance":{"vipAddress":` + strings.Repeat(`{"$":`, size/5),
		"deep elements":    `<applications>` + strings.Repeat("<x>", size/3),
		"blanks":           strings.Repeat(" ", size) + `{"applications":{}}`,
	} {
		reader := &countingReader{in: strings.NewReader(text)}
		got, err := Parse(reader, nil)
		if err == nil || strings.ContainsAny(err.Error(), "\n\r") || len(err.Error()) > 400 {
			t.Errorf("%s: %+v, %.500v", name, got, err)
		}
		if reader.bytesRead > 8*maxTokenBytes && name != "a text in parts" {
			t.Errorf("%s: %d bytes were read", name, reader.bytesRead)
		}
	}
}

type countingReader struct {
	in        *strings.Reader
	bytesRead int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.bytesRead += n
	return n, err
}

// What the stand-in writes in either dialect and format reads back the same; so do formats that
// are announced as the other, or that change between polls.
func TestStandinResponses(t *testing.T) {
	registry := peertest.NewEureka(t)
	full := testInstance(1, "UP")
	full.SecurePortEnabled, full.SecurePort, full.SecureVIP = true, 8443, "s"
	full.Group, full.HomePage, full.Country = "G", "http://127.0.0.1/", 49
	bare := testInstance(2, "UP")
	bare.Metadata, bare.PortDisabled = nil, true
	registry.Register(full)
	registry.Register(bare)
	registry.Override(bare.ID, "OUT_OF_SERVICE")
	var first []Instance
	client := newManualClient(t, Config{}, registry)
	for step, asXML := range []bool{false, true, false, true, true, false} {
		registry.SetDialect([]peers.EurekaDialect{peers.Jackson, peers.XStream}[step/2%2])
		registry.SetFault(map[bool]peers.EurekaFault{true: peers.WrongContentType}[step == 4])
		client.cfg.XML, client.list = asXML, nil
		update := client.expectList(t, "1 UP, 2 OUT_OF_SERVICE")
		if first == nil {
			first = update.Instances
		}
		if !reflect.DeepEqual(update.Instances, first) {
			t.Errorf("step %d: %+v, want %+v", step, update.Instances, first)
		}
		if registry.Cancel("none"); step > 0 { // a delta in the other format than the list
			client.cfg.XML = !asXML
			registry.Register(full)
			client.expectChanges(t, "ADDED 1 UP")
			registry.ClearDelta()
			first = nil
		}
	}
	client.expectChanges(t, "")
}

// Only the metadata that Parse is to keep are kept.
func TestKeepMetadata(t *testing.T) {
	for _, text := range []string{
		`{"application":{"instance":{"instanceId":"i","metadata":{"zone":"a","other":"b"}}}}`,
		`<application><instance><instanceId>i</instanceId><metadata><zone>a</zone><other>b</other></metadata></instance></application>`,
	} {
		got, err := Parse(strings.NewReader(text), func(key string) bool { return key == "zone" })
		if err != nil || len(got.Instances) != 1 || !maps.Equal(got.Instances[0].Metadata, map[string]string{"zone": "a"}) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

func TestTooManyInstances(t *testing.T) {
	var text strings.Builder
	text.WriteString(`{"applications":{"application":{"name":"A","instance":[{"instanceId":"x"}`)
	for range maxInstances {
		text.WriteString(`,{"instanceId":"x"}`)
	}
	text.WriteString(`]}}}`)
	_, err := Parse(strings.NewReader(text.String()), nil)
	if err == nil || !strings.Contains(err.Error(), "more than 100000 instances") {
		t.Errorf("one more than the bound: %v", err)
	}
}

func TestHashCode(t *testing.T) {
	if got := HashCode(map[string]int{"UP": 3, "DOWN": 1, "STARTING": 0}); got != "DOWN_1_UP_3_" {
		t.Errorf("got %q", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"applications":{"application":{"name":"A","instance":` +
		`{"instanceId":"i","port":{"$":"1","@enabled":"true"},"metadata":{"k":1}}}}}`))
	f.Add([]byte(`{"application":{"instance":[{"instanceId":"i","status":3,"overriddenstatus":"DOWN"}]}}`))
	f.Add([]byte(`<applications><application><instance><instanceId>i</instanceId><port enabled="true">1</port>` +
		`<metadata><a>b</a></metadata></instance></application></applications>`))
	f.Add([]byte(`{"applications":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse(bytes.NewReader(text), nil)
		if err != nil {
			return
		}
		for _, instance := range got.Instances {
			badText := instance.ID == "" || strings.ContainsAny(instance.ID+instance.Status, "\n\x00")
			badPort := instance.Port < 0 || instance.Port > 65535
			if badText || badPort || len(instance.Metadata) > maxMetadataEntries {
				t.Errorf("instance %+v", instance)
			}
		}
	})
}
