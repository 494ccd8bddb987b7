package operator

import "fmt"

// Plugin is a [[plugin]] table: a program of the plug-in language and what it may do.
type Plugin struct {
	Name      string    `toml:"name"`
	File      string    `toml:"file"`       // relative to the operators' file
	Hooks     []Hook    `toml:"hooks"`      // that it is run for; none: all that it has
	Headers   []Pattern `toml:"headers"`    // that it may set and remove
	Tenants   []string  `toml:"tenants"`    // whose bulkheads it may give requests to
	MayReject bool      `toml:"may_refuse"` // it may reject requests
	Fuel      Count     `toml:"fuel"`       // of a run; 0: 10,000
	MemoryKB  Count     `toml:"memory_kb"`  // of a run, in KiB; 0: 64
	OnFailure Failure   `toml:"on_failure"` // what becomes of a request when the plug-in fails; empty: Pass
	// RejectClasses are rejected when it fails, whatever OnFailure says.
	RejectClasses []string `toml:"refuse_classes"`
}

// Hook names what a plug-in is run for.
type Hook string

func (h Hook) check() error { return oneOf(string(h), "request", "outcome", "member") }

// Failure says what becomes of a request whose plug-in fails; "" is Pass.
type Failure string

// What may become of it.
const (
	Pass   Failure = "pass"   // it goes on as if there were no such plug-in
	Reject Failure = "refuse" // the client may retry
)

func (f Failure) check() error { return oneOf(string(f), string(Pass), string(Reject)) }

// Bounds of a run.
const (
	maxFuel     = 10_000_000
	maxMemoryKB = 16 << 10
)

func checkPlugins(plugins []Plugin, d *decoder) {
	names := d.newNames("plug-in")
	for i := range plugins {
		p, path := &plugins[i], fmt.Sprintf("plugin[%d]", i)
		d.require(path, "name", p.Name == "", "a name of its own is meant")
		d.require(path, "file", p.File == "", "a program of the hook language is meant, such as \"plugins/apiary-tags.hook\"")
		names.add(path, p.Name)
		if p.Fuel > maxFuel {
			d.reportAt(path+".fuel", "%d is out of range: %d at the most", p.Fuel, maxFuel)
		}
		if p.MemoryKB > maxMemoryKB {
			d.reportAt(path+".memory_kb", "%d is out of range: %d at the most", p.MemoryKB, maxMemoryKB)
		}
	}
}
