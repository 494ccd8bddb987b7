package operator

import (
	"fmt"
	"path"
)

// Pool is a [[pool]] table: a set of endpoints and the protocol for connecting to them. An
// endpoint belongs to the first pool whose Hosts, Zones and MachineTypes all match. An
// endpoint without a pool uses HTTP/1.1.
type Pool struct {
	Name         string    `toml:"name"`
	Protocol     Protocol  `toml:"protocol"`
	Hosts        []Pattern `toml:"hosts"` // patterns for the name in the endpoint list; empty: all names
	Zones        []Pattern `toml:"sites"` // patterns for the zone; empty: all zones
	MachineTypes []Pattern `toml:"kinds"` // patterns for the machine's type; empty: all types
	// MaxInFlight bounds the requests in flight on one connection. For msgpack-rpc only; 0: the
	// transport's default.
	MaxInFlight Count `toml:"outstanding"`
}

// Matches reports whether the patterns of the pool match an endpoint.
func (p *Pool) Matches(host, zone, machineType string) bool {
	return matches(p.Hosts, host) && matches(p.Zones, zone) && matches(p.MachineTypes, machineType)
}

// matches reports whether any of the patterns matches a name. An empty list matches all names.
func matches(patterns []Pattern, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(string(p), name); ok { // Pattern.check has rejected malformed patterns
			return true
		}
	}
	return len(patterns) == 0
}

func (p *Pool) matchesAll() bool { return len(p.Hosts)+len(p.Zones)+len(p.MachineTypes) == 0 }

// Uses reports whether any pool uses a protocol.
func (f *File) Uses(p Protocol) bool {
	for i := range f.Pools {
		if f.Pools[i].Protocol == p {
			return true
		}
	}
	return false
}

func checkPools(pools []Pool, d *decoder) {
	names := d.newUniqueNames("pool")
	for i := range pools {
		p, path := &pools[i], fmt.Sprintf("pool[%d]", i)
		d.require(path, "name", p.Name == "", "must be a unique name")
		d.require(path, "protocol", p.Protocol == "", "must be %q or %q", HTTP, RPC)
		if p.Protocol == HTTP && p.MaxInFlight != 0 {
			d.reportAt(path+".outstanding", "applies only to msgpack-rpc pools: an HTTP/1.1 connection has one request at a time")
		}
		names.add(path, p.Name)
		if i > 0 && pools[i-1].matchesAll() && p.Name != "" {
			d.reportAt(path, "pool %q can never match an endpoint: pool %q before it matches all endpoints",
				p.Name, pools[i-1].Name)
		}
	}
}
