package operator

import "fmt"

// Plugin is a [[plugin]] table: a program of the plug-in language and its permissions.
type Plugin struct {
	Name      string    `toml:"name"`
	File      string    `toml:"file"`       // path of the program, relative to the operators' file
	Hooks     []Hook    `toml:"hooks"`      // hooks for which the program runs; empty: all that it defines
	Headers   []Pattern `toml:"headers"`    // headers that it may set and remove
	Tenants   []string  `toml:"tenants"`    // tenants to whose bulkheads it may assign requests
	MayReject bool      `toml:"may_refuse"` // whether it may reject requests
	Fuel      Count     `toml:"fuel"`       // fuel of one run; 0: 10,000
	MemoryKB  Count     `toml:"memory_kb"`  // memory limit of one run, in KiB; 0: 64
	OnFailure Failure   `toml:"on_failure"` // what happens to a request when the plug-in fails; empty: Pass
	// RejectClasses are the classes whose requests are rejected when the plug-in fails,
	// regardless of OnFailure.
	RejectClasses []string `toml:"refuse_classes"`
}

// Hook is a kind of event for which a plug-in runs.
type Hook string

func (h Hook) check() error { return oneOf(string(h), "request", "outcome", "member") }

// Failure says what happens to a request when a plug-in fails. An empty value means Pass.
type Failure string

// The ways to treat a request whose plug-in failed.
const (
	Pass   Failure = "pass"   // continue as if the plug-in did not exist
	Reject Failure = "refuse" // reject the request; the client may retry
)

func (f Failure) check() error { return oneOf(string(f), string(Pass), string(Reject)) }

// Bounds on the settings of one run.
const (
	maxFuel     = 10_000_000
	maxMemoryKB = 16 << 10
)

func checkPlugins(plugins []Plugin, d *decoder) {
	names := d.newUniqueNames("plug-in")
	for i := range plugins {
		p, path := &plugins[i], fmt.Sprintf("plugin[%d]", i)
		d.require(path, "name", p.Name == "", "must be a unique name")
		d.require(path, "file", p.File == "",
			"must be the path of a plug-in program, such as \"plugins/apiary-tags.hook\"")
		names.add(path, p.Name)
		if p.Fuel > maxFuel {
			d.reportAt(path+".fuel", "must be at most %[2]d, got %[1]d", p.Fuel, maxFuel)
		}
		if p.MemoryKB > maxMemoryKB {
			d.reportAt(path+".memory_kb", "must be at most %[2]d, got %[1]d", p.MemoryKB, maxMemoryKB)
		}
	}
}
