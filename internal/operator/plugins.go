package operator

import "fmt"

// Plugin is a program of the hook language and what it may do.
type Plugin struct {
	Name      string    `toml:"name"`
	File      string    `toml:"file"`       // by a path from the operators' file
	Hooks     []Hook    `toml:"hooks"`      // that it is run for; none: all that it has
	Headers   []Pattern `toml:"headers"`    // of those it may set and remove
	Tenants   []string  `toml:"tenants"`    // whose compartments it may give requests to
	MayRefuse bool      `toml:"may_refuse"` // it may turn requests away
	Fuel      Count     `toml:"fuel"`       // of a run; 0: 10,000
	MemoryKB  Count     `toml:"memory_kb"`  // of a run; 0: 64
	OnFailure Failure   `toml:"on_failure"` // what becomes of a request when it fails
	// RefuseClasses are refused when it fails, whatever OnFailure says.
	RefuseClasses []string `toml:"refuse_classes"`
}

// Hook names what a plug-in is run for.
type Hook string

func (h Hook) check() error { return oneOf(string(h), "request", "outcome", "member") }

// Failure says what becomes of a request whose plug-in fails; "" is Pass.
type Failure string

// What may become of it.
const (
	Pass   Failure = "pass"   // it goes on as if there were no such plug-in
	Refuse Failure = "refuse" // the client is told to come back
)

func (f Failure) check() error { return oneOf(string(f), string(Pass), string(Refuse)) }

// The most that a run may have.
const (
	mostFuel     = 10_000_000
	mostMemoryKB = 16 << 10
)

func (f *File) checkPlugins(d *decoder) {
	names := make(map[string]int)
	for i := range f.Plugins {
		p, at := &f.Plugins[i], fmt.Sprintf("plugin[%d]", i)
		d.needs(at, "name", p.Name == "", "a name of its own is meant")
		d.needs(at, "file", p.File == "", "a program of the hook language is meant, such as \"plugins/apiary-tags.hook\"")
		if other, ok := names[p.Name]; ok && p.Name != "" {
			d.wrong(at+".name", "plug-in %d is named %q already: each needs its own name", other+1, p.Name)
		}
		names[p.Name] = i
		if p.Fuel > mostFuel {
			d.wrong(at+".fuel", "%d is out of range: %d at the most", p.Fuel, mostFuel)
		}
		if p.MemoryKB > mostMemoryKB {
			d.wrong(at+".memory_kb", "%d is out of range: %d at the most", p.MemoryKB, mostMemoryKB)
		}
	}
}
