package peers

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// EurekaDialect is how a version of the registry writes what it tells. The
// dialects differ as docs/protocol/eureka.md has it.
type EurekaDialect int

// The dialects.
const (
	Jackson EurekaDialect = iota // servers from 1.4 on
	XStream                      // servers before: numbers as texts, a list of one as its element
)

// eurekaField is a named value of what the registry tells; JSON and XML are
// both written from a list of them, so that the two cannot differ in content. A
// value is a string, an int64, a list of fields, or a list of such lists, which
// JSON writes as an array and XML as an element each. A name that begins with @
// is an attribute in XML, and $ is the text of its element.
type eurekaField struct {
	name  string
	value any
}

// eurekaList is a list of objects under one name.
type eurekaList [][]eurekaField

const (
	emptyMap   = "java.util.Collections$EmptyMap"
	myOwnClass = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
	amazon     = "com.netflix.appinfo.AmazonInfo"
)

// fields is an instance as the registry tells it.
func (i *EurekaInstance) fields(d EurekaDialect, asXML bool, action string) []eurekaField {
	override, overridden := i.Override, "overriddenStatus"
	if override == "" {
		override = "UNKNOWN"
	}
	if asXML || d == XStream {
		overridden = "overriddenstatus"
	}
	number := func(n int64) any {
		if d == XStream {
			return strconv.FormatInt(n, 10)
		}
		return n
	}
	port := func(n int, on bool) []eurekaField {
		return []eurekaField{{"$", number(int64(n))}, {"@enabled", strconv.FormatBool(on)}}
	}
	centre, class := i.DataCenter, myOwnClass
	if centre == "" {
		centre = "MyOwn"
	} else if centre == "Amazon" {
		class = amazon
	}
	out := []eurekaField{
		{"instanceId", i.ID}, {"hostName", i.Host}, {"app", i.App}, {"ipAddr", i.IP}, {"status", i.effective()}, {overridden, override},
		{"port", port(i.Port, !i.PortDisabled)}, {"securePort", port(i.securePort(), i.SecurePortEnabled)}, {"countryId", number(max(1, i.Country))},
		{"dataCenterInfo", []eurekaField{{"@class", class}, {"name", centre}}},
		{"leaseInfo", []eurekaField{
			{"renewalIntervalInSecs", number(i.RenewalIntervalSeconds)}, {"durationInSecs", number(i.LeaseDurationSeconds)}, {"registrationTimestamp", number(i.registered)},
			{"lastRenewalTimestamp", number(i.renewed.UnixMilli())}, {"evictionTimestamp", number(0)}, {"serviceUpTimestamp", number(i.upSince)},
		}},
		{"metadata", metadataFields(i.Metadata, asXML)},
	}
	for _, f := range []eurekaField{
		{"appGroupName", i.Group}, {"homePageUrl", i.HomePage}, {"statusPageUrl", i.StatusPage}, {"healthCheckUrl", i.HealthCheck},
		{"vipAddress", i.VIP}, {"secureVipAddress", i.SecureVIP},
	} {
		if f.value != "" {
			out = append(out, f)
		}
	}
	return append(out, eurekaField{"isCoordinatingDiscoveryServer", "false"}, eurekaField{"lastUpdatedTimestamp", strconv.FormatInt(i.LastUpdatedMs, 10)},
		eurekaField{"lastDirtyTimestamp", strconv.FormatInt(i.LastDirtyMs, 10)}, eurekaField{"actionType", action})
}

// metadataFields are an instance's metadata. None are told as an empty map by
// its class: clients of other people end on a null there. XML has no name for
// some keys; those are in JSON alone.
func metadataFields(m map[string]string, asXML bool) []eurekaField {
	out := make([]eurekaField, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		if !asXML || xmlName(key) {
			out = append(out, eurekaField{key, m[key]})
		}
	}
	if len(out) == 0 {
		return []eurekaField{{"@class", emptyMap}}
	}
	return out
}

// xmlName says whether a key can be an element's name.
func xmlName(key string) bool {
	for i, r := range key {
		if !unicode.IsLetter(r) && r != '_' && (i == 0 || !unicode.IsDigit(r) && r != '-' && r != '.') {
			return false
		}
	}
	return key != ""
}

// writeJSON writes an object.
func writeJSON(b *bytes.Buffer, d EurekaDialect, fields []eurekaField) {
	b.WriteByte('{')
	for i, f := range fields {
		if i > 0 {
			b.WriteByte(',')
		}
		writeText(b, f.name)
		b.WriteByte(':')
		switch v := f.value.(type) {
		case string:
			writeText(b, v)
		case int64:
			b.WriteString(strconv.FormatInt(v, 10))
		case []eurekaField:
			writeJSON(b, d, v)
		case eurekaList:
			if d == XStream && len(v) == 1 {
				writeJSON(b, d, v[0])
				continue
			}
			b.WriteByte('[')
			for j, one := range v {
				if j > 0 {
					b.WriteByte(',')
				}
				writeJSON(b, d, one)
			}
			b.WriteByte(']')
		}
	}
	b.WriteByte('}')
}

func writeText(b *bytes.Buffer, s string) {
	text, _ := json.Marshal(s) // a string always can be
	b.Write(text)
}

// writeXML writes an element.
func writeXML(b *bytes.Buffer, name string, value any) {
	fields, list := value.([]eurekaField)
	b.WriteString("<" + name)
	for _, f := range fields {
		if attribute, is := strings.CutPrefix(f.name, "@"); is {
			b.WriteString(" " + attribute + `="`)
			xml.EscapeText(b, fmt.Append(nil, f.value))
			b.WriteByte('"')
		}
	}
	b.WriteByte('>')
	if !list {
		xml.EscapeText(b, fmt.Append(nil, value))
	}
	for _, f := range fields {
		switch v := f.value.(type) {
		case eurekaList:
			for _, one := range v {
				writeXML(b, f.name, one)
			}
		default:
			switch {
			case f.name == "$":
				xml.EscapeText(b, fmt.Append(nil, v))
			case f.name[0] != '@':
				writeXML(b, f.name, v)
			}
		}
	}
	b.WriteString("</" + name + ">")
}

// readInstance reads a registration in either format. Fields that are not known
// are passed over; a number may stand as a text and the other way.
func readInstance(body []byte, asXML bool) (*EurekaInstance, error) {
	var root map[string]any
	var err error
	if asXML {
		root, err = readXML(body)
	} else {
		d := json.NewDecoder(bytes.NewReader(body))
		d.UseNumber()
		err = d.Decode(&root)
	}
	if err != nil {
		return nil, fmt.Errorf("the body cannot be read: %w", err)
	}
	o := object(root["instance"])
	if o == nil {
		return nil, errors.New("an instance is missing: its element, or the key 'instance', is the root")
	}
	lease, centre := object(o["leaseInfo"]), object(o["dataCenterInfo"])
	i := &EurekaInstance{
		ID: word(o["instanceId"]), App: strings.ToUpper(word(o["app"])), Host: word(o["hostName"]), IP: word(o["ipAddr"]), VIP: word(o["vipAddress"]),
		SecureVIP: word(o["secureVipAddress"]), Status: strings.ToUpper(word(o["status"])), Group: strings.ToUpper(word(o["appGroupName"])),
		HomePage: word(o["homePageUrl"]), StatusPage: word(o["statusPageUrl"]), HealthCheck: word(o["healthCheckUrl"]),
		Country: whole(o["countryId"]), DataCenter: word(centre["name"]), RenewalIntervalSeconds: whole(lease["renewalIntervalInSecs"]),
		LeaseDurationSeconds: whole(lease["durationInSecs"]), LastDirtyMs: whole(o["lastDirtyTimestamp"]), Metadata: make(map[string]string),
	}
	for _, key := range []string{"overriddenStatus", "overriddenstatus"} {
		if s := strings.ToUpper(word(o[key])); s != "" && s != "UNKNOWN" {
			i.Override = s
		}
	}
	var on bool
	i.Port, on = portOf(o["port"], true)
	i.PortDisabled = !on
	i.SecurePort, i.SecurePortEnabled = portOf(o["securePort"], false)
	for key, v := range object(o["metadata"]) {
		if key[0] != '@' && key[0] != '$' {
			i.Metadata[key] = word(v)
		}
	}
	if i.ID == "" { // as older clients register
		i.ID = i.Host
	}
	if i.Status == "" {
		i.Status = "UP"
	}
	switch {
	case i.Host == "":
		return nil, errors.New("hostName is missing")
	case i.IP == "":
		return nil, errors.New("ipAddr is missing")
	case i.App == "":
		return nil, errors.New("app is missing")
	case i.DataCenter == "":
		return nil, errors.New("dataCenterInfo is missing, or its name")
	case !slices.Contains(eurekaStatuses, i.Status):
		return nil, fmt.Errorf("status %.40q is none of %s", i.Status, strings.Join(eurekaStatuses, ", "))
	}
	return i, nil
}

// eurekaStatuses are the API's.
var eurekaStatuses = []string{"UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN"}

func portOf(v any, absent bool) (number int, on bool) {
	if o := object(v); o != nil {
		text := word(o["@enabled"])
		return int(whole(o["$"])), text == "true" || text == "" && absent
	}
	return int(whole(v)), v != nil && absent
}

func object(v any) map[string]any {
	o, _ := v.(map[string]any)
	return o
}

func word(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	case map[string]any: // an element with attributes
		return word(v["$"])
	}
	return ""
}

func whole(v any) int64 {
	n, _ := strconv.ParseInt(strings.TrimSpace(word(v)), 10, 64)
	return n
}

// readXML reads a document into the shape that its JSON has: elements by name,
// attributes with @, the text of an element that has attributes under $.
func readXML(text []byte) (map[string]any, error) {
	d := xml.NewDecoder(bytes.NewReader(text))
	root := make(map[string]any)
	for {
		t, err := d.Token()
		if err == io.EOF && len(root) > 0 {
			return root, nil
		}
		if err != nil {
			return nil, err
		}
		switch t := t.(type) {
		case xml.Directive:
			return nil, errors.New("a document type is not taken")
		case xml.StartElement:
			if root[t.Name.Local], err = readElement(d, t, 0); err != nil {
				return nil, err
			}
		}
	}
}

const deepestXML = 16

func readElement(d *xml.Decoder, start xml.StartElement, depth int) (any, error) {
	if depth > deepestXML {
		return nil, fmt.Errorf("elements stand more than %d deep in one another", deepestXML)
	}
	o := make(map[string]any)
	for _, a := range start.Attr {
		o["@"+a.Name.Local] = a.Value
	}
	var b strings.Builder
	for {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		switch t := t.(type) {
		case xml.CharData:
			b.Write(t)
		case xml.StartElement:
			if o[t.Name.Local], err = readElement(d, t, depth+1); err != nil {
				return nil, err
			}
		case xml.EndElement:
			if len(o) == 0 {
				return b.String(), nil
			}
			o["$"] = b.String()
			return o, nil
		}
	}
}
