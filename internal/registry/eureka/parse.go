package eureka

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Bounds of a response. Parse returns an error for a response that exceeds a bound, unless the comment of the
// bound says otherwise.
const (
	maxInstances        = 100_000
	maxFieldBytes       = 1 << 10  // of a field; an instance or a metadata entry with a longer field is left out
	maxMetadataEntries  = 64       // per instance; further entries are left out
	maxTokenBytes       = 64 << 10 // from the end of one name or value to the end of the next
	maxDepth            = 32       // levels of nested objects, arrays or XML elements
	minInstanceCapacity = 64       // initial capacity of a list
)

// Bounds of the interned strings, of which equal strings share their memory.
const (
	maxInternedStrings = 4096 // distinct strings of one response
	maxInternedBytes   = 64   // of one string; a longer string is not interned
)

// errNoApplications is returned for a document that contains neither applications nor an application.
var errNoApplications = errors.New("response must contain applications or an application")

// Parse reads a response that contains applications, or one application. Parse distinguishes JSON from XML by
// the first byte, because some servers announce the wrong content type. Parse decodes the response as a
// stream, so that the encoded response takes almost no memory. keepMetadata reports whether the metadata
// entry with a key is kept; if keepMetadata is nil, all entries are kept.
//
// Servers encode responses differently; docs/protocol/eureka.md has a table of the accepted forms.
func Parse(r io.Reader, keepMetadata func(key string) bool) (*Applications, error) {
	in := &boundedReader{in: bufio.NewReaderSize(r, 4<<10)}
	p := &parser{applications: new(Applications), keepMetadata: keepMetadata, interned: make(map[string]string)}
	first, err := in.firstByte()
	if err == nil {
		if first == '<' {
			err = p.parseXML(in)
		} else {
			err = p.parseJSON(in)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("registry response: %w", err)
	}
	return p.applications, nil
}

// parser collects the content of a response. The JSON reader and the XML reader share it.
type parser struct {
	applications *Applications
	keepMetadata func(key string) bool
	interned     map[string]string
	foundRoot    bool // whether the response contained applications or an application
}

// intern returns the text as a string. Equal texts share one string, because most texts of a list recur.
func (p *parser) intern(text []byte) string {
	if s, ok := p.interned[string(text)]; ok {
		return s
	}
	s := string(text)
	if len(p.interned) < maxInternedStrings && len(s) <= maxInternedBytes {
		p.interned[s] = s
	}
	return s
}

// setField sets a field of an instance by the field's name in the registry's API. An unknown name is
// ignored.
func (p *parser) setField(instance *Instance, name string, value []byte) {
	switch name {
	case "instanceId":
		instance.ID = string(value)
	case "hostName":
		if instance.Host = string(value); instance.Host == instance.IP {
			instance.Host = instance.IP // equal strings share their memory
		}
	case "app":
		instance.App = p.intern(value)
	case "ipAddr":
		if instance.IP = string(value); instance.IP == instance.Host {
			instance.IP = instance.Host
		}
	case "vipAddress":
		instance.VIP = p.intern(value)
	case "status":
		instance.Status = strings.ToUpper(p.intern(value))
	case "overriddenStatus", "overriddenstatus":
		if len(value) > 0 {
			instance.OverriddenStatus = strings.ToUpper(p.intern(value))
		}
	case "actionType":
		instance.Action = strings.ToUpper(p.intern(value))
	case "lastUpdatedTimestamp":
		instance.LastUpdated = parseNumber(value)
	case "lastDirtyTimestamp":
		instance.LastDirty = parseNumber(value)
	}
}

// setMetadata adds a metadata entry, unless keepMetadata rejects the key or the entry exceeds a bound. Empty
// keys and keys that start with @ or $ are attributes of the encoding and are left out.
func (p *parser) setMetadata(instance *Instance, key string, value []byte) {
	isAttribute := key == "" || key[0] == '@' || key[0] == '$'
	tooLong := len(key) > maxFieldBytes || len(value) > maxFieldBytes
	if isAttribute || tooLong || p.keepMetadata != nil && !p.keepMetadata(key) {
		return
	}
	if instance.Metadata == nil {
		instance.Metadata = make(map[string]string)
	}
	if len(instance.Metadata) < maxMetadataEntries {
		instance.Metadata[p.intern([]byte(key))] = p.intern(value)
	}
}

// addInstance appends an instance. An instance with neither ID nor host, or with an invalid field, is left
// out. addInstance returns an error if the list already has maxInstances instances.
func (p *parser) addInstance(instance *Instance) error {
	list := p.applications.Instances
	if len(list) == maxInstances {
		return fmt.Errorf("response must contain at most %d instances", maxInstances)
	}
	if instance.ID == "" { // older registries identify an instance by its host
		instance.ID = instance.Host
	}
	if instance.ID == "" || !hasValidFields(instance) {
		return nil
	}
	if len(list) == cap(list) { // double the capacity: append grows in smaller steps, which leaves much garbage
		list = slices.Grow(list, max(len(list), minInstanceCapacity))
	}
	list = append(list, *instance)
	p.applications.Instances = list
	return nil
}

// hasValidFields reports whether each text field of an instance has at most maxFieldBytes bytes and no
// control characters, so that the field can be logged.
func hasValidFields(instance *Instance) bool {
	for _, text := range []string{
		instance.ID, instance.App, instance.Host, instance.IP, instance.VIP,
		instance.Status, instance.OverriddenStatus, instance.Action,
	} {
		if len(text) > maxFieldBytes || strings.ContainsFunc(text, isControl) {
			return false
		}
	}
	return true
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// setMissingAppNames sets the app of the instances that have no app of their own, from index firstIndex on. The
// caller calls it after reading the instances because the name of the app may follow them in the response.
func (p *parser) setMissingAppNames(firstIndex int, app string) {
	if len(app) > maxFieldBytes {
		return
	}
	added := p.applications.Instances[firstIndex:]
	for i := range added {
		if added[i].App == "" {
			added[i].App = app
		}
	}
}

// parseNumber parses a number, which may have a fraction or an exponent. It returns 0 for a text that is not a
// number and for a number that is too large.
func parseNumber(text []byte) int64 {
	trimmed := strings.TrimSpace(string(text))
	n, err := strconv.ParseInt(trimmed, 10, 64)
	if err == nil {
		return n
	}
	f, err := strconv.ParseFloat(trimmed, 64)
	if err != nil || !(f > -1<<62 && f < 1<<62) { // also rejects NaN
		return 0
	}
	return int64(f)
}

// parsePort parses a port number. It returns 0 if the port is disabled or the number is not a valid port.
func parsePort(text []byte, enabled string) int {
	n := parseNumber(text)
	if strings.EqualFold(enabled, "false") || n < 1 || n > 65535 {
		return 0
	}
	return int(n)
}
