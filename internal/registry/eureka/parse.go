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

// Bounds of a response. One that exceeds them is an error, where not said otherwise.
const (
	maxInstances        = 100_000
	maxFieldBytes       = 1 << 10  // of a field; an instance with a longer one is left out, as is a longer metadata entry
	maxMetadataEntries  = 64       // entries of an instance; further ones are left out
	maxTokenBytes       = 64 << 10 // from the end of one name or value to that of the next
	maxDepth            = 32       // of nested objects, lists or elements
	minInstanceCapacity = 64       // capacity of a list at first
)

// Bounds of the texts of which equal ones share their memory.
const (
	maxInternedStrings = 4096 // texts
	maxInternedBytes   = 64   // of one text
)

// errNoApplications is the error for a document of another kind.
var errNoApplications = errors.New("it holds neither applications nor an application")

// Parse reads a response that holds applications, or one application. It distinguishes JSON from XML by
// the first byte, as some servers announce the wrong one, and reads it as a stream: the response
// itself takes next to no memory. keep says which metadata keys are kept; nil: all.
//
// Servers differ; docs/protocol/eureka.md has a table of the forms that are accepted.
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
		return nil, fmt.Errorf("registry's answer: %w", err)
	}
	return p.applications, nil
}

// parser collects what the reader of either format finds.
type parser struct {
	applications *Applications
	keepMetadata func(key string) bool
	interned     map[string]string
	foundRoot    bool
}

// intern returns a text, the same string for the same bytes: most texts of a list recur.
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

// setField sets a field of an instance by its name in the registry's API; an unknown one is
// ignored.
func (p *parser) setField(instance *Instance, name string, value []byte) {
	switch name {
	case "instanceId":
		instance.ID = string(value)
	case "hostName":
		if instance.Host = string(value); instance.Host == instance.IP {
			instance.Host = instance.IP // shares its memory
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
			instance.Override = strings.ToUpper(p.intern(value))
		}
	case "actionType":
		instance.Action = strings.ToUpper(p.intern(value))
	case "lastUpdatedTimestamp":
		instance.Updated = parseNumber(value)
	case "lastDirtyTimestamp":
		instance.Dirty = parseNumber(value)
	}
}

// setMetadata adds a metadata entry unless it is not to be kept or exceeds a bound. Keys with @
// or $ are attributes of the format.
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

// addInstance appends an instance. One without an ID or with an unusable text is left out.
func (p *parser) addInstance(instance *Instance) error {
	list := p.applications.Instances
	if len(list) == maxInstances {
		return fmt.Errorf("more than %d instances", maxInstances)
	}
	if instance.ID == "" { // older registries know it by its host
		instance.ID = instance.Host
	}
	if instance.ID == "" || !hasValidFields(instance) {
		return nil
	}
	if len(list) == cap(list) { // doubled, as append's smaller steps leave much garbage
		list = slices.Grow(list, max(len(list), minInstanceCapacity))
	}
	list = append(list, *instance)
	p.applications.Instances = list
	return nil
}

// hasValidFields reports whether all texts of an instance are short enough and without control
// characters, so that they can be logged.
func hasValidFields(instance *Instance) bool {
	for _, text := range []string{
		instance.ID, instance.App, instance.Host, instance.IP, instance.VIP,
		instance.Status, instance.Override, instance.Action,
	} {
		if len(text) > maxFieldBytes || strings.ContainsFunc(text, isControl) {
			return false
		}
	}
	return true
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// setMissingAppNames sets the app of the instances from first on that have none of their own. The
// app's name may come after them.
func (p *parser) setMissingAppNames(first int, app string) {
	if len(app) > maxFieldBytes {
		return
	}
	added := p.applications.Instances[first:]
	for i := range added {
		if added[i].App == "" {
			added[i].App = app
		}
	}
}

// parseNumber reads a number, which may have a fraction or an exponent; 0 where it is none.
func parseNumber(text []byte) int64 {
	trimmed := strings.TrimSpace(string(text))
	n, err := strconv.ParseInt(trimmed, 10, 64)
	if err == nil {
		return n
	}
	f, err := strconv.ParseFloat(trimmed, 64)
	if err != nil || !(f > -1<<62 && f < 1<<62) { // NaN is none either
		return 0
	}
	return int64(f)
}

// parsePort reads the number of a port; 0 where it is disabled or no port.
func parsePort(text []byte, enabled string) int {
	n := parseNumber(text)
	if strings.EqualFold(enabled, "false") || n < 1 || n > 65535 {
		return 0
	}
	return int(n)
}
