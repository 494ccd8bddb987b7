package operator

import (
	"fmt"
	"path"
)

// Pool is a [[pool]] table: a set of endpoints and how they are reached. An endpoint
// belongs to the first pool whose every pattern matches; one that belongs to none speaks
// HTTP/1.1.
type Pool struct {
	Name         string    `toml:"name"`
	Protocol     Protocol  `toml:"protocol"`
	Hosts        []Pattern `toml:"hosts"` // by name in the list; none stands for all
	Zones        []Pattern `toml:"sites"` // by zone; none stands for all
	MachineTypes []Pattern `toml:"kinds"` // by the machine's type; none stands for all
	// MaxInFlight bounds the requests on one connection at once. msgpack-rpc only; 0: the
	// transport's default.
	MaxInFlight Count `toml:"outstanding"`
}

// Matches says whether an endpoint belongs to the pool.
func (p *Pool) Matches(host, zone, machineType string) bool {
	return matches(p.Hosts, host) && matches(p.Zones, zone) && matches(p.MachineTypes, machineType)
}

func matches(patterns []Pattern, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(string(p), name); ok { // the pattern was checked
			return true
		}
	}
	return len(patterns) == 0
}

func (p *Pool) matchesAll() bool { return len(p.Hosts)+len(p.Zones)+len(p.MachineTypes) == 0 }

// Uses says whether any pool speaks a protocol.
func (f *File) Uses(p Protocol) bool {
	for i := range f.Pools {
		if f.Pools[i].Protocol == p {
			return true
		}
	}
	return false
}

func checkPools(pools []Pool, d *decoder) {
	names := d.newNames("pool")
	for i := range pools {
		p, path := &pools[i], fmt.Sprintf("pool[%d]", i)
		d.require(path, "name", p.Name == "", "a name of its own is meant")
		d.require(path, "protocol", p.Protocol == "", "%q or %q is meant", HTTP, RPC)
		if p.Protocol == HTTP && p.MaxInFlight != 0 {
			d.reportAt(path+".outstanding", "this is for pools of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		}
		names.add(path, p.Name)
		if i > 0 && pools[i-1].matchesAll() && p.Name != "" {
			d.reportAt(path, "pool %q never gets a node: pool %q before it matches all", p.Name, pools[i-1].Name)
		}
	}
}
