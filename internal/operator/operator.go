// Package operator reads the operators' file (deploy/mothridge.toml): all that
// is set beyond what the platform tells a sidecar. Each subsystem owns a table.
// What is absent is off. The file is read strictly, and all that is wrong with it
// is told at once, each with its place and what would be right.
package operator

import (
	"fmt"
	"net/netip"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// File is the operators' file.
type File struct {
	Sidecar *Sidecar `toml:"sidecar"` // nil: the platform tells it
	Classes []Class  `toml:"class"`
	Tenants []Tenant `toml:"tenant"`

	Admin     Admin      `toml:"admin"`
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Pools     []Pool     `toml:"pool"`

	Membership Membership `toml:"membership"`
	Eureka     []Eureka   `toml:"eureka"`
	Static     []Static   `toml:"static"`

	Plugins []Plugin `toml:"plugin"`
	Lending Quotas   `toml:"quotas"`
	Quotas  []Quota  `toml:"quota"`

	path string // where it was read; empty: nowhere
}

// Path is where the file was read.
func (f *File) Path() string { return f.path }

// Admin is how the operators' commands reach the running sidecar.
type Admin struct {
	Socket  string `toml:"socket"`  // path of a Unix socket; empty: there is none
	Metrics bool   `toml:"metrics"` // GET /metrics there, in the Prometheus text format
}

// Limits bound the whole sidecar.
type Limits struct {
	// Slots is how many requests may be out at once, over all tenants, in place
	// of the number that the settings give; 0 leaves that in force.
	Slots Count `toml:"slots"`

	// The rest is the platform's to tell where there is one: see Sidecar.
	Sockets  Count   `toml:"sockets"`   // file descriptors; 0: 1024
	MemoryMB Count   `toml:"memory_mb"` // 0: no limit
	Cores    float64 `toml:"cores"`     // 0: all
}

// Listener is one more place where clients connect, beside the platform's own.
type Listener struct {
	Protocol Protocol `toml:"protocol"`
	Address  Address  `toml:"address"`
	Open     Count    `toml:"open"`   // msgpack-rpc: requests of one connection that are taken and not answered
	Held     Count    `toml:"held"`   // msgpack-rpc: bytes of answers that wait for one client
	Errors   Errors   `toml:"errors"` // msgpack-rpc
}

// Pool is a set of nodes and how they are reached. A node belongs to the first
// pool whose every pattern matches; one that belongs to none speaks HTTP/1.1.
type Pool struct {
	Name        string    `toml:"name"`
	Protocol    Protocol  `toml:"protocol"`
	Hosts       []Pattern `toml:"hosts"`       // by name in the list; none stands for all
	Sites       []Pattern `toml:"sites"`       // by site
	Kinds       []Pattern `toml:"kinds"`       // by the machine's kind
	Outstanding Count     `toml:"outstanding"` // msgpack-rpc: requests on one connection at once
}

// Protocol names how a listener or a pool speaks.
type Protocol string

// The protocols.
const (
	HTTP Protocol = "http"
	RPC  Protocol = "msgpack-rpc"
)

func (p Protocol) check() error { return oneOf(string(p), string(HTTP), string(RPC)) }

// oneOf checks a word. Whether there may be none is for its table to say.
func oneOf(word string, known ...string) error {
	if word == "" || slices.Contains(known, word) {
		return nil
	}
	quoted := make([]string, len(known))
	for i, k := range known {
		quoted[i] = strconv.Quote(k)
	}
	last := len(quoted) - 1
	return fmt.Errorf("%.60q is not known: %s or %s is meant", word, strings.Join(quoted[:last], ", "), quoted[last])
}

// Errors says how a MessagePack-RPC listener writes errors.
type Errors string

// The ways to write errors; "" is ErrorMaps.
const (
	ErrorMaps  Errors = "map"
	ErrorTexts Errors = "text" // for codecs that read no map there
)

func (e Errors) check() error { return oneOf(string(e), string(ErrorMaps), string(ErrorTexts)) }

// Address is an IP address and a port.
type Address string

func (Address) meant() string { return `an IP address with its port, such as "127.0.0.1:7071"` }

func (a Address) check() error {
	ap, err := netip.ParseAddrPort(string(a))
	if a != "" && (err != nil || ap.Port() == 0) {
		return fmt.Errorf("%s is meant, not %.60q", a.meant(), string(a))
	}
	return nil
}

// Pattern is a shell pattern for names: * stands for any text, ? for one sign.
type Pattern string

func (Pattern) meant() string {
	return "a name in quotes, in which * stands for any text and [ab] for one of two signs"
}

func (p Pattern) check() error {
	if _, err := path.Match(string(p), ""); err != nil || p == "" {
		return fmt.Errorf("%s is meant, not %.60q", p.meant(), string(p))
	}
	return nil
}

// Count is a number of 0 or more; 0 stands for the default.
type Count int

func (Count) meant() string { return "a whole number, such as 64" }

func (c Count) check() error {
	if c < 0 || c > maxCount {
		return fmt.Errorf("%d is out of range: a whole number from 0 (the default) to %d is meant", c, maxCount)
	}
	return nil
}

// maxSocket is what a Unix socket's address holds (unix(7)), less the final 0.
const maxSocket = 107

// maxCount is above whatever could be meant.
const maxCount = 1 << 30

// Matches says whether an instance belongs to the pool.
func (p *Pool) Matches(host, site, kind string) bool {
	return matches(p.Hosts, host) && matches(p.Sites, site) && matches(p.Kinds, kind)
}

func matches(patterns []Pattern, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(string(p), name); ok {
			return true
		}
	}
	return len(patterns) == 0
}

// Uses says whether any pool speaks a protocol.
func (f *File) Uses(p Protocol) bool {
	for i := range f.Pools {
		if f.Pools[i].Protocol == p {
			return true
		}
	}
	return false
}

// maxFile bounds what is read of a file.
const maxFile = 1 << 20

// Load reads and checks a file. An error of the file's text is Mistakes.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the operators' file: %w", err)
	}
	f, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	f.path = name
	for i := range f.Plugins {
		if p := &f.Plugins[i]; !filepath.IsAbs(p.File) {
			p.File = filepath.Join(filepath.Dir(name), p.File)
		}
	}
	return f, nil
}

// Parse checks a text; name stands in errors for the file's. All that is wrong
// is told at once, as Mistakes.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFile {
		return nil, fmt.Errorf("%s: a file of %d bytes: %d at most", name, len(text), maxFile)
	}
	notes := newFaults(text)
	f := new(File)
	if root, whole := parse(text, notes); whole {
		d := &decoder{faults: notes, places: make(map[string]int)}
		d.table(root, reflect.ValueOf(f).Elem(), "")
		f.check(d)
	}
	if err := notes.err(name); err != nil {
		return nil, err
	}
	return f, nil
}

// check looks at what one value alone cannot tell.
func (f *File) check(d *decoder) {
	if len(f.Admin.Socket) > maxSocket {
		d.wrong("admin.socket", "a path of %d bytes: a Unix socket's has %d at most", len(f.Admin.Socket), maxSocket)
	}
	if f.Admin.Metrics && f.Admin.Socket == "" {
		d.wrong("admin.metrics", "they are shown on the admin socket: socket is missing beside it")
	}
	addresses := make(map[Address]int)
	for i := range f.Listeners {
		l, at := &f.Listeners[i], fmt.Sprintf("listener[%d]", i)
		d.needs(at, "protocol", l.Protocol == "", "%q or %q is meant", HTTP, RPC)
		d.needs(at, "address", l.Address == "", "%s is meant", l.Address.meant())
		if l.Protocol == HTTP {
			for key, set := range map[string]bool{"open": l.Open != 0, "held": l.Held != 0, "errors": l.Errors != ""} {
				if set {
					d.wrong(at+"."+key, "this is for listeners of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
				}
			}
		}
		if other, ok := addresses[l.Address]; ok && l.Address != "" {
			d.wrong(at+".address", "listener %d has the address %s already: each needs its own", other+1, l.Address)
		}
		addresses[l.Address] = i
	}
	names := make(map[string]int)
	for i := range f.Pools {
		p, at := &f.Pools[i], fmt.Sprintf("pool[%d]", i)
		d.needs(at, "name", p.Name == "", "a name of its own is meant")
		d.needs(at, "protocol", p.Protocol == "", "%q or %q is meant", HTTP, RPC)
		if p.Protocol == HTTP && p.Outstanding != 0 {
			d.wrong(at+".outstanding", "this is for pools of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		}
		if other, ok := names[p.Name]; ok && p.Name != "" {
			d.wrong(at+".name", "pool %d is named %q already: each needs its own name", other+1, p.Name)
		}
		names[p.Name] = i
		if i > 0 && f.Pools[i-1].everything() && p.Name != "" {
			d.wrong(at, "pool %q never gets a node: pool %q before it matches all", p.Name, f.Pools[i-1].Name)
		}
	}
	f.checkSources(d)
	f.checkStandalone(d)
	f.checkPlugins(d)
	f.checkQuotas(d)
}

// needs notes that a table lacks a key. One that is there and wrong has been noted.
func (d *decoder) needs(at, key string, missing bool, format string, args ...any) {
	if _, there := d.places[at+"."+key]; missing && !there {
		d.wrong(at, "%s is missing: "+format, append([]any{key}, args...)...)
	} else if missing && !d.noted(at+"."+key) {
		d.wrong(at+"."+key, "it is empty: "+format, args...)
	}
}

// noted says whether anything is wrong with a value already.
func (d *decoder) noted(path string) bool {
	for i := range d.all {
		if d.all[i].Key == path {
			return true
		}
	}
	return false
}

func (p *Pool) everything() bool { return len(p.Hosts)+len(p.Sites)+len(p.Kinds) == 0 }

// Summary says in a line what the file sets.
func (f *File) Summary() string {
	var parts []string
	if f.Sidecar != nil {
		parts = append(parts, "a sidecar at "+string(f.Sidecar.Listen), fmt.Sprintf("%d classes", len(f.Classes)), fmt.Sprintf("%d tenants", len(f.Tenants)))
	}
	parts = append(parts, fmt.Sprintf("%d more listeners", len(f.Listeners)), fmt.Sprintf("%d pools", len(f.Pools)))
	if f.Merges() {
		parts = append(parts, fmt.Sprintf("%d Eureka registries", len(f.Eureka)), fmt.Sprintf("%d fixed lists", len(f.Static)))
	}
	if len(f.Plugins) > 0 {
		parts = append(parts, fmt.Sprintf("%d plug-ins", len(f.Plugins)))
	}
	if len(f.Quotas) > 0 {
		parts = append(parts, fmt.Sprintf("%d quotas", len(f.Quotas)))
	}
	if f.Limits.Slots > 0 {
		parts = append(parts, fmt.Sprintf("%d slots", f.Limits.Slots))
	}
	return strings.Join(parts, ", ")
}
