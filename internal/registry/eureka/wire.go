// Package eureka reads a Eureka registry by its REST API (github.com/Netflix/eureka,
// wiki page "Eureka REST operations"), as JSON or XML, and registers the sidecar
// with it. What the news mean is decided in package membership.
package eureka

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Instance is an instance as the registry tells it.
type Instance struct {
	ID         string
	App        string
	Host       string
	IP         string
	VIP        string
	Port       int // 0: the plain port is off
	SecurePort int // 0: the secure port is off
	Status     string
	Override   string            // empty or UNKNOWN: there is none
	Action     string            // of a delta: ADDED, MODIFIED or DELETED
	Updated    int64             // Unix ms by the registry's clock
	Dirty      int64             // Unix ms by the instance's clock
	ServiceUp  int64             // Unix ms: when it came up first
	Metadata   map[string]string // the entries that were asked for
}

// Applications is an answer to a fetch.
type Applications struct {
	Version   string // versions__delta
	Hash      string // apps__hashcode
	Instances []Instance
}

// Bounds of what a registry may send.
const (
	maxInstances = 100_000
	maxText      = 1 << 10  // of an id, a name and the like; metadata values too
	maxMetadata  = 64       // entries of an instance; further ones are dropped
	maxToken     = 64 << 10 // bytes from one name or value of the answer to the next
	maxDepth     = 32       // of what stands in one another
)

// HashCode is what apps__hashcode should be for instances of these statuses:
// each status with its count, by name ("DOWN_1_UP_3_").
func HashCode(count map[string]int) string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(count)) {
		if n := count[status]; n > 0 {
			fmt.Fprintf(&b, "%s_%d_", status, n)
		}
	}
	return b.String()
}

// Parse reads an answer: applications, or one application. Whether it is JSON or
// XML is seen by its first byte, as what announces it is wrong now and then. It
// is read as a stream, so that a long list takes little more memory than what is
// made of it. keep says which metadata are kept; nil keeps all.
//
// Servers differ; docs/protocol/eureka.md has a table of what is taken.
func Parse(r io.Reader, keep func(key string) bool) (*Applications, error) {
	bound := &tokenBound{in: bufio.NewReaderSize(r, 4<<10)}
	p := &parser{a: new(Applications), keep: keep, texts: make(map[string]string)}
	first, err := bound.begin()
	if err == nil {
		if first == '<' {
			err = p.xml(bound)
		} else {
			err = p.json(bound)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("registry's answer: %w", err)
	}
	return p.a, nil
}

// parser makes Applications of what a reader of either format finds.
type parser struct {
	a     *Applications
	keep  func(string) bool
	texts map[string]string
	found bool
}

// errRoot says that an answer is some other document.
var errRoot = errors.New("it holds neither applications nor an application")

// keptTexts bounds how many texts are looked up to be held once.
const keptTexts = 4096

// text gives a string, the same one for the same bytes: most texts of a list
// stand in it again and again.
func (p *parser) text(b []byte) string {
	if s, ok := p.texts[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(p.texts) < keptTexts && len(s) <= 64 {
		p.texts[s] = s
	}
	return s
}

// set takes one field of an instance; those that are not known are passed over.
func (p *parser) set(i *Instance, name string, value []byte) {
	switch name {
	case "instanceId":
		i.ID = string(value)
	case "hostName":
		if i.Host = string(value); i.Host == i.IP {
			i.Host = i.IP // held once
		}
	case "app":
		i.App = p.text(value)
	case "ipAddr":
		if i.IP = string(value); i.IP == i.Host {
			i.IP = i.Host
		}
	case "vipAddress":
		i.VIP = p.text(value)
	case "status":
		i.Status = strings.ToUpper(p.text(value))
	case "overriddenStatus", "overriddenstatus":
		if len(value) > 0 {
			i.Override = strings.ToUpper(p.text(value))
		}
	case "actionType":
		i.Action = strings.ToUpper(p.text(value))
	case "lastUpdatedTimestamp":
		i.Updated = number(value)
	case "lastDirtyTimestamp":
		i.Dirty = number(value)
	}
}

// number reads a number that may stand as a text; 0 where it is none.
func number(text []byte) int64 {
	s := strings.TrimSpace(string(text))
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f > -1<<62 && f < 1<<62) {
			return 0
		}
		n = int64(f)
	}
	return n
}

// port is a port's number; 0 where it is off or none.
func port(text []byte, enabled string) int {
	n := number(text)
	if strings.EqualFold(enabled, "false") || n < 1 || n > 65535 {
		return 0
	}
	return int(n)
}

func (p *parser) metadata(i *Instance, key string, value []byte) {
	if key == "" || key[0] == '@' || key[0] == '$' || len(key) > maxText || len(value) > maxText || p.keep != nil && !p.keep(key) {
		return
	}
	if i.Metadata == nil {
		i.Metadata = make(map[string]string)
	}
	if len(i.Metadata) < maxMetadata {
		i.Metadata[p.text([]byte(key))] = p.text(value)
	}
}

// add takes an instance over; one of which too little can be made is left out,
// and spoils no other.
func (p *parser) add(i *Instance) error {
	if len(p.a.Instances) == maxInstances {
		return fmt.Errorf("more than %d instances", maxInstances)
	}
	if i.ID == "" { // older registries name it by its host
		i.ID = i.Host
	}
	for _, s := range []string{i.ID, i.App, i.Host, i.IP, i.VIP, i.Status, i.Override, i.Action} {
		if len(s) > maxText || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return nil
		}
	}
	if i.ID == "" {
		return nil
	}
	if n := len(p.a.Instances); n == cap(p.a.Instances) { // doubled: append's own steps leave five times the list behind
		p.a.Instances = slices.Grow(p.a.Instances, max(n, 64))
	}
	p.a.Instances = append(p.a.Instances, *i)
	return nil
}

// named gives the instances from first on the name of their app where they do
// not say it: it may come behind them.
func (p *parser) named(first int, app string) {
	for i := range p.a.Instances[first:] {
		if x := &p.a.Instances[first+i]; x.App == "" && len(app) <= maxText {
			x.App = app
		}
	}
}

// tokenBound reads an answer and fails where too much comes between one name or
// value and the next: a reader of tokens would hold all of it at once.
type tokenBound struct {
	in    *bufio.Reader
	since int
}

// begin passes over what may stand before the answer and gives its first byte.
func (b *tokenBound) begin() (byte, error) {
	if mark, err := b.in.Peek(3); err == nil && string(mark) == "\xef\xbb\xbf" {
		b.in.Discard(3)
	}
	for {
		c, err := b.in.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("it is empty: %w", err)
		}
		if c != ' ' && c != '\n' && c != '\r' && c != '\t' {
			return c, b.in.UnreadByte()
		}
		if b.since++; b.since > maxToken {
			return 0, errToken
		}
	}
}

var errToken = fmt.Errorf("more than %d bytes in one value", maxToken)

// token says that a token ended.
func (b *tokenBound) token() { b.since = 0 }

func (b *tokenBound) Read(p []byte) (int, error) {
	if b.since > maxToken {
		return 0, errToken
	}
	n, err := b.in.Read(p)
	b.since += n
	return n, err
}

func (b *tokenBound) ReadByte() (byte, error) {
	if b.since++; b.since > maxToken {
		return 0, errToken
	}
	return b.in.ReadByte()
}
