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

// formatVariants are the encodings in which public servers differ. The name of a variant is a row of the table in
// docs/protocol/eureka.md. json and xml are the fields that the variant adds to the base instance; setWant sets
// the expected fields of the parsed instance. Each variant is parsed as a single element and in a list of two, and
// within a single application and a list of applications.
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
	{"overriddenStatus", `"overriddenStatus":"DOWN"`, `<overriddenStatus>DOWN</overriddenStatus>`, func(i *Instance) { i.OverriddenStatus = "DOWN" }},
	{"overriddenstatus", `"overriddenstatus":"DOWN"`, `<overriddenstatus>DOWN</overriddenstatus>`, func(i *Instance) { i.OverriddenStatus = "DOWN" }},
	{"both, one empty", `"overriddenstatus":"DOWN","overriddenStatus":""`, `<overriddenstatus>DOWN</overriddenstatus><overriddenStatus/>`,
		func(i *Instance) { i.OverriddenStatus = "DOWN" }},
	{"lower case", `"status":"out_of_service","actionType":"modified"`, `<status>out_of_service</status><actionType>modified</actionType>`,
		func(i *Instance) { i.Status, i.Action = "OUT_OF_SERVICE", "MODIFIED" }},
	{"times as numbers", `"lastUpdatedTimestamp":5,"lastDirtyTimestamp":4`,
		`<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp>4</lastDirtyTimestamp>`,
		func(i *Instance) { i.LastUpdated, i.LastDirty = 5, 4 }},
	{"times as texts", `"lastUpdatedTimestamp":"5","lastDirtyTimestamp":" 4 "`,
		`<lastUpdatedTimestamp>5</lastUpdatedTimestamp><lastDirtyTimestamp> 4 </lastDirtyTimestamp>`,
		func(i *Instance) { i.LastUpdated, i.LastDirty = 5, 4 }},
	{"times with an exponent", `"lastUpdatedTimestamp":1.796120688812E12`, `<lastUpdatedTimestamp>1.796120688812E12</lastUpdatedTimestamp>`,
		func(i *Instance) { i.LastUpdated = 1796120688812 }},
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

// The fields of the instance to which each variant adds its own fields.
const (
	baseJSON = `"instanceId":"i","hostName":"h","ipAddr":"10.0.0.1",`
	baseXML  = `<instanceId>i</instanceId><hostName>h</hostName><ipAddr>10.0.0.1</ipAddr>`
)

// TestFormatVariants checks that each format variant is documented and that Parse returns the expected instance
// for the variant in JSON and XML. It guards against instances that are lost or parsed wrongly because their server
// encodes responses differently.
func TestFormatVariants(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "protocol", "eureka.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, variant := range formatVariants {
		if !strings.Contains(string(page), "\n| "+variant.name+" |") {
			t.Errorf("the table in eureka.md has no row %q", variant.name)
		}
		want := Instance{ID: "i", App: "A", Host: "h", IP: "10.0.0.1"}
		variant.setWant(&want)
		jsonInstance, xmlInstance := "{"+baseJSON+variant.json+"}", "<instance>"+baseXML+variant.xml+"</instance>"
		for _, count := range []int{1, 2} {
			for format, text := range responses(jsonInstance, xmlInstance, count) {
				got, err := Parse(strings.NewReader(text), nil)
				if err != nil || len(got.Instances) != count || !reflect.DeepEqual(got.Instances[count-1], want) {
					t.Errorf("%s, %s, %d instances: got %+v, error %v, want %+v", variant.name, format, count, got, err, want)
				} else if strings.Contains(text, "delta") && (got.Version != "1" || got.Hash != "h") {
					t.Errorf("%s, %s: got version %q and hash %q, want \"1\" and \"h\"", variant.name, format, got.Version, got.Hash)
				}
			}
		}
	}
}

// responses returns responses that contain an instance count times, by the name of their format.
func responses(jsonInstance, xmlInstance string, count int) map[string]string {
	jsonList, xmlList := strings.Repeat(","+jsonInstance, count)[1:], strings.Repeat(xmlInstance, count)
	texts := map[string]string{
		"JSON": `{"application":{"instance":[` + jsonList + `],"name":"A"}}`,
		"JSON, lists": `{"applications":{"versions__delta":1,"application":[{"name":"A","instance":[` + jsonList +
			`]}],"apps__hashcode":"h"}}`,
		"XML": `<application>` + xmlList + `<name>A</name></application>`,
		"XML, of apps": `<?xml version="1.0"?><!-- c --><applications><versions__delta>1</versions__delta>` +
			`<apps__hashcode>h</apps__hashcode><application><name>A</name>` + xmlList + `</application></applications>`,
	}
	if count == 1 {
		texts["JSON, one element"] = byteOrderMark + ` {"applications":{"versions__delta":"1","apps__hashcode":"h",` +
			`"application":{"name":"A","instance":` + jsonInstance + `}}}`
	}
	return texts
}

// TestEmptyResponses checks that Parse returns no instances and no error for an empty list and for an instance
// without a valid ID.
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
			t.Errorf("%.80q: got %+v, error %v, want no instances and no error", text, got, err)
		}
	}
}

// TestInvalidResponses checks that Parse returns an error for a response that is empty, malformed, truncated, too
// deeply nested, or not a list of applications.
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
			t.Errorf("%.80q: got %+v, want an error", text, got)
		}
	}
}

// TestMaliciousResponses checks that Parse rejects responses that are built to use much memory or time, such as
// entity expansion, long tokens or deep nesting, with a short error and after reading only a small part. A text that
// is split by comments is read further, because comments do not count towards the length of the text.
func TestMaliciousResponses(t *testing.T) {
	const size = 10 << 20
	for name, text := range map[string]string{
		"entities": `<!DOCTYPE a [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;">]>` +
			`<applications><versions__delta>&b;</versions__delta></applications>`,
		"an external entity": `<!DOCTYPE a [<!ENTITY a SYSTEM "file:///etc/hostname">]>` +
			`<applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"an undefined entity":      `<applications><apps__hashcode>&a;</apps__hashcode></applications>`,
		"a long attribute":         `<applications><application name="` + strings.Repeat("x", size) + `"/></applications>`,
		"a long text":              `<applications><apps__hashcode>` + strings.Repeat("x", size) + `</apps__hashcode></applications>`,
		"a text split by comments": `<applications><apps__hashcode>` + strings.Repeat("x<!-- c -->", size/10) + `</apps__hashcode></applications>`,
		"a long comment":           `<applications><!--` + strings.Repeat("<", size) + `--></applications>`,
		"a long element name":      `<applications><` + strings.Repeat("x", size) + `/></applications>`,
		"a long string":            `{"applications":{"apps__hashcode":"` + strings.Repeat("x", size) + `"}}`,
		"a long key":               `{"applications":{"` + strings.Repeat("x", size) + `":1}}`,
		"a long number":            `{"applications":{"versions__delta":` + strings.Repeat("1", size) + `}}`,
		"deep lists":               `{"applications":{"x":` + strings.Repeat("[", size),
		"deep objects":             `{"application":{"instance":{"vipAddress":` + strings.Repeat(`{"$":`, size/5),
		"deep elements":            `<applications>` + strings.Repeat("<x>", size/3),
		"blanks":                   strings.Repeat(" ", size) + `{"applications":{}}`,
	} {
		reader := &countingReader{in: strings.NewReader(text)}
		got, err := Parse(reader, nil)
		if err == nil || strings.ContainsAny(err.Error(), "\n\r") || len(err.Error()) > 400 {
			t.Errorf("%s: got %+v, error %.500v, want a one-line error of at most 400 bytes", name, got, err)
		}
		if reader.bytesRead > 8*maxTokenBytes && name != "a text split by comments" {
			t.Errorf("%s: got %d bytes read, want at most 8 times maxTokenBytes", name, reader.bytesRead)
		}
	}
}

// countingReader counts the bytes that are read from a string.
type countingReader struct {
	in        *strings.Reader
	bytesRead int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.bytesRead += n
	return n, err
}

// TestStandinResponses checks that a list which the stand-in registry encodes in either dialect and format is
// parsed into the same instances. This includes a response with the wrong content type and a change of the format
// between polls.
func TestStandinResponses(t *testing.T) {
	registry := peertest.NewEureka(t)
	full := testInstance(1, "UP")
	full.SecurePortEnabled, full.SecurePort, full.SecureVIP = true, 8443, "s"
	full.Group, full.HomePage, full.Country = "G", "http://127.0.0.1/", 49
	minimal := testInstance(2, "UP")
	minimal.Metadata, minimal.PortDisabled = nil, true
	registry.Register(full)
	registry.Register(minimal)
	registry.Override(minimal.ID, "OUT_OF_SERVICE")
	var firstInstances []Instance
	client := newManualClient(t, Config{}, registry)
	for step, useXML := range []bool{false, true, false, true, true, false} {
		registry.SetDialect([]peers.EurekaDialect{peers.Jackson, peers.XStream}[step/2%2])
		registry.SetFault(map[bool]peers.EurekaFault{true: peers.WrongContentType}[step == 4])
		client.cfg.XML, client.list = useXML, nil
		update := client.expectList(t, "1 UP, 2 OUT_OF_SERVICE")
		if firstInstances == nil {
			firstInstances = update.Instances
		}
		if !reflect.DeepEqual(update.Instances, firstInstances) {
			t.Errorf("step %d: got %+v, want %+v", step, update.Instances, firstInstances)
		}
		if registry.Cancel("none"); step > 0 { // poll a delta in a format other than the list's format
			client.cfg.XML = !useXML
			registry.Register(full)
			client.expectChanges(t, "ADDED 1 UP")
			registry.ClearDelta()
			firstInstances = nil
		}
	}
	client.expectChanges(t, "")
}

// TestKeepMetadata checks that Parse keeps only the metadata entries that keepMetadata accepts.
func TestKeepMetadata(t *testing.T) {
	for _, text := range []string{
		`{"application":{"instance":{"instanceId":"i","metadata":{"zone":"a","other":"b"}}}}`,
		`<application><instance><instanceId>i</instanceId><metadata><zone>a</zone><other>b</other></metadata></instance></application>`,
	} {
		got, err := Parse(strings.NewReader(text), func(key string) bool { return key == "zone" })
		if err != nil || len(got.Instances) != 1 || !maps.Equal(got.Instances[0].Metadata, map[string]string{"zone": "a"}) {
			t.Errorf("%s: got %+v, error %v, want one instance with the metadata zone=a", text, got, err)
		}
	}
}

// TestTooManyInstances checks that Parse rejects a list with one instance more than maxInstances.
func TestTooManyInstances(t *testing.T) {
	var text strings.Builder
	text.WriteString(`{"applications":{"application":{"name":"A","instance":[{"instanceId":"x"}`)
	for range maxInstances {
		text.WriteString(`,{"instanceId":"x"}`)
	}
	text.WriteString(`]}}}`)
	_, err := Parse(strings.NewReader(text.String()), nil)
	if err == nil || !strings.Contains(err.Error(), "must contain at most 100000 instances") {
		t.Errorf("maxInstances+1 instances: got error %v, want one with the bound", err)
	}
}

// TestHashCode checks that HashCode sorts the statuses and leaves out statuses without instances.
func TestHashCode(t *testing.T) {
	if got := HashCode(map[string]int{"UP": 3, "DOWN": 1, "STARTING": 0}); got != "DOWN_1_UP_3_" {
		t.Errorf("got %q, want \"DOWN_1_UP_3_\"", got)
	}
}

// FuzzParse checks that Parse does not panic, and that each instance of a response that Parse accepts has an ID, no
// line break or NUL in its ID and status, valid ports, and at most maxMetadataEntries metadata entries.
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
				t.Errorf("got %+v, want a nonempty ID, valid texts, valid ports and few metadata entries", instance)
			}
		}
	})
}
