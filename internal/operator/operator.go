// Package operator reads the operators' file (deploy/mothridge.toml): all that
// is set beyond what the platform tells a sidecar. Each subsystem owns a table.
// What is absent is off. The file is read strictly: whatever is not understood
// is an error of one line that names the file, the line and what was meant.
package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is the operators' file.
type File struct {
	Admin     Admin      `toml:"admin"`
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Pools     []Pool     `toml:"pool"`

	Membership Membership `toml:"membership"`
	Eureka     []Eureka   `toml:"eureka"`
	Static     []Static   `toml:"static"`
}

// Admin is how the operators' commands reach the running sidecar.
type Admin struct {
	Socket string `toml:"socket"` // path of a Unix socket; empty: there is none
}

// Limits bound the whole sidecar.
type Limits struct {
	// Slots is how many requests may be out at once, over all tenants, in place
	// of the number that the settings give; 0 leaves that in force.
	Slots Count `toml:"slots"`
}

// Listener is one more place where clients connect, beside the platform's own.
type Listener struct {
	Protocol Protocol `toml:"protocol"`
	Address  Address  `toml:"address"`
	Open     Count    `toml:"open"` // msgpack-rpc: requests of one connection that are taken and not answered
	Held     Count    `toml:"held"` // msgpack-rpc: bytes of answers that wait for one client
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

func (p Protocol) check() error {
	switch p {
	case HTTP, RPC, "": // whether one may be absent is for its table to say
		return nil
	}
	return fmt.Errorf("protocol %q is not known: %q or %q is meant", string(p), HTTP, RPC)
}

// Address is an IP address and a port.
type Address string

func (a Address) check() error {
	ap, err := netip.ParseAddrPort(string(a))
	if a != "" && (err != nil || ap.Port() == 0) {
		return fmt.Errorf("address %q: an IP address and a port are meant, such as \"127.0.0.1:7071\"", string(a))
	}
	return nil
}

// Pattern is a shell pattern for names: * stands for any text, ? for one sign.
type Pattern string

func (p Pattern) check() error {
	if _, err := path.Match(string(p), ""); err != nil || p == "" {
		return fmt.Errorf("pattern %q: a name is meant, in which * stands for any text and [ab] for one of two signs", string(p))
	}
	return nil
}

// Count is a number of 0 or more; 0 stands for the default.
type Count int

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

// Load reads and checks a file.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the operators' file: %w", err)
	}
	return Parse(name, text)
}

// Parse checks a text; name stands in errors for the file's.
func Parse(name string, text []byte) (*File, error) {
	f := new(File)
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	at, positions := newPlaces(text)
	if err := d.Decode(f); err != nil {
		return nil, explain(name, text, at, err)
	}
	if positions != nil {
		return nil, fmt.Errorf("%s: %w", name, positions)
	}
	if where, err := f.check(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, at.line(where), err)
	}
	return f, nil
}

// check looks at what one value alone cannot tell; where names the value at fault.
func (f *File) check() (where string, err error) {
	if len(f.Admin.Socket) > maxSocket {
		return "admin.socket", fmt.Errorf("socket is a path of %d bytes: a Unix socket's has %d at most", len(f.Admin.Socket), maxSocket)
	}
	if where, err := checkCount("limits.slots", f.Limits.Slots); err != nil {
		return where, err
	}
	addresses := make(map[Address]int)
	for i := range f.Listeners {
		l, at := &f.Listeners[i], fmt.Sprintf("listener[%d]", i)
		if err := l.Protocol.check(); err != nil {
			return at + ".protocol", err
		}
		if err := l.Address.check(); err != nil {
			return at + ".address", err
		}
		switch {
		case l.Protocol == "":
			return at, fmt.Errorf("this listener has no protocol: %q or %q is meant", HTTP, RPC)
		case l.Address == "":
			return at, errors.New("this listener has no address: an IP address and a port are meant, such as \"127.0.0.1:7071\"")
		case l.Protocol == HTTP && l.Open != 0:
			return at + ".open", errors.New("open is for listeners of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		case l.Protocol == HTTP && l.Held != 0:
			return at + ".held", errors.New("held is for listeners of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		}
		if other, ok := addresses[l.Address]; ok {
			return at + ".address", fmt.Errorf("listener %d has the address %s already: each needs its own", other+1, l.Address)
		}
		addresses[l.Address] = i
		for key, n := range map[string]Count{".open": l.Open, ".held": l.Held} {
			if where, err := checkCount(at+key, n); err != nil {
				return where, err
			}
		}
	}
	names := make(map[string]int)
	for i := range f.Pools {
		p, at := &f.Pools[i], fmt.Sprintf("pool[%d]", i)
		if err := p.Protocol.check(); err != nil {
			return at + ".protocol", err
		}
		for key, patterns := range map[string][]Pattern{".hosts": p.Hosts, ".sites": p.Sites, ".kinds": p.Kinds} {
			for _, pattern := range patterns {
				if err := pattern.check(); err != nil {
					return at + key, err
				}
			}
		}
		switch {
		case p.Name == "":
			return at, errors.New("this pool has no name")
		case p.Protocol == "":
			return at, fmt.Errorf("pool %q has no protocol: %q or %q is meant", p.Name, HTTP, RPC)
		case p.Protocol == HTTP && p.Outstanding != 0:
			return at + ".outstanding", errors.New("outstanding is for pools of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		}
		if other, ok := names[p.Name]; ok {
			return at + ".name", fmt.Errorf("pool %d is named %q already: each needs its own name", other+1, p.Name)
		}
		names[p.Name] = i
		if where, err := checkCount(at+".outstanding", p.Outstanding); err != nil {
			return where, err
		}
		if i > 0 && f.Pools[i-1].everything() {
			return at, fmt.Errorf("pool %q never gets a node: pool %q before it matches all", p.Name, f.Pools[i-1].Name)
		}
	}
	return f.checkSources()
}

func (p *Pool) everything() bool { return len(p.Hosts)+len(p.Sites)+len(p.Kinds) == 0 }

func checkCount(where string, n Count) (string, error) {
	if n < 0 || n > maxCount {
		return where, fmt.Errorf("%s is %d: a number from 0 (the default) to %d is meant", where[strings.LastIndexByte(where, '.')+1:], n, maxCount)
	}
	return "", nil
}

// Summary says in a line what the file sets.
func (f *File) Summary() string {
	parts := []string{fmt.Sprintf("%d more listeners", len(f.Listeners)), fmt.Sprintf("%d pools", len(f.Pools))}
	if f.Merges() {
		parts = append(parts, fmt.Sprintf("%d Eureka registries", len(f.Eureka)), fmt.Sprintf("%d fixed lists", len(f.Static)))
	}
	if f.Limits.Slots > 0 {
		parts = append(parts, fmt.Sprintf("%d slots", f.Limits.Slots))
	}
	return strings.Join(parts, ", ")
}
