package operator

import (
	"fmt"
	"time"
)

// Sidecar says what the platform tells a sidecar, for where there is no
// platform: with this table the operators' file is all that the program needs.
type Sidecar struct {
	Name       string   `toml:"name"`
	Listen     Address  `toml:"listen"`      // clients connect there by HTTP/1.1
	Sidecars   Count    `toml:"sidecars"`    // that send to the same nodes, this one included; 0: 1
	Attempts   Count    `toml:"attempts"`    // for one request at most; 0: 3
	RetryAfter Duration `toml:"retry_after"` // the longest pause that clients heed; empty: 1s
	MarksRetry bool     `toml:"marks_retry"` // clients mark their own further tries
	Probes     bool     `toml:"probes"`      // nodes answer GET /health/live
	Zone       string   `toml:"zone"`        // where this sidecar is, by the name that nodes have for it

	DialTimeout Duration `toml:"dial_timeout"` // a connection not made by then never comes; empty: 250ms
	ConnIdle    Duration `toml:"conn_idle"`    // nodes close a connection that was idle this long; empty: 15s

	ColdFrom     Share    `toml:"cold_from"`     // a node begins with this share of what it can do
	ColdFor      Duration `toml:"cold_for"`      // and can do all of it after this; empty: nodes begin warm
	ColdMultiple float64  `toml:"cold_multiple"` // sent more than this multiple, a cold one falls over; 0: 2
}

// The defaults of Sidecar.
const (
	DefaultAttempts     = 3
	DefaultRetryAfter   = time.Second
	DefaultColdMultiple = 2
)

// Class is a kind of requests. There must be one at least.
type Class struct {
	Name     string   `toml:"name"`
	Effect   Effect   `toml:"effect"`
	Aim      Duration `toml:"aim"`      // an answer by then is in time
	Deadline Duration `toml:"deadline"` // a client's whole wait, over all its tries
	Worth    float64  `toml:"worth"`    // against the other classes; 0: 1
	Window   Duration `toml:"window"`   // keyed: how long nodes drop a repeat, from the first send on
	Scope    Scope    `toml:"scope"`    // keyed: which nodes do
}

// Effect says what a repeat of a request does.
type Effect string

// The effects.
const (
	Safe   Effect = "safe"   // nothing
	Keyed  Effect = "keyed"  // nothing where its key is known
	Unsafe Effect = "unsafe" // it all again
)

func (e Effect) check() error { return oneOf(string(e), string(Safe), string(Keyed), string(Unsafe)) }

// Scope says which nodes know a key that one of them has seen.
type Scope string

// The scopes. Empty stands for ScopeCell, the strictest.
const (
	ScopeCell Scope = "cell"
	ScopeZone Scope = "zone"
	ScopeAll  Scope = "all"
)

func (s Scope) check() error {
	return oneOf(string(s), string(ScopeCell), string(ScopeZone), string(ScopeAll))
}

// Tenant is a part of the clients with slots of its own. With none there is one
// that requests need not name.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the slots, against the other tenants'
	Quota float64 `toml:"quota"` // requests a second over all sidecars; 0: not known
}

// leastSockets and leastMemory are what a process of limits needs.
const (
	leastSockets = 64
	leastMemory  = 16
)

// checkStandalone looks at what counts with [sidecar] alone, and that nothing of
// it is there without.
func (f *File) checkStandalone(d *decoder) {
	if f.Sidecar == nil {
		for key, set := range map[string]bool{
			"class": len(f.Classes) > 0, "tenant": len(f.Tenants) > 0,
			"limits.sockets": f.Limits.Sockets != 0, "limits.memory_mb": f.Limits.MemoryMB != 0, "limits.cores": f.Limits.Cores != 0,
		} {
			if set {
				d.wrong(key, "the platform tells this: it is for files with a [sidecar] table, which run without one")
			}
		}
		return
	}
	s := f.Sidecar
	d.needs("sidecar", "listen", s.Listen == "", "%s is meant", s.Listen.meant())
	for i, l := range f.Listeners {
		if l.Address == s.Listen && s.Listen != "" {
			d.wrong(fmt.Sprintf("listener[%d].address", i), "[sidecar] listens at %s already: each needs its own", s.Listen)
		}
	}
	if s.ColdMultiple != 0 && s.ColdMultiple < 1 {
		d.wrong("sidecar.cold_multiple", "%v is less than what a cold node can do: a number from 1 is meant", s.ColdMultiple)
	}
	if n := f.Limits.Sockets; n > 0 && n < leastSockets {
		d.wrong("limits.sockets", "%d are too few: at least %d are needed", n, leastSockets)
	}
	if n := f.Limits.MemoryMB; n > 0 && n < leastMemory {
		d.wrong("limits.memory_mb", "%d is too little: at least %d is needed", n, leastMemory)
	}
	if f.Limits.Cores < 0 {
		d.wrong("limits.cores", "%v is no number of cores", f.Limits.Cores)
	}
	if p := f.Membership.Platform; p != nil && *p {
		d.wrong("membership.platform", "with a [sidecar] table there is no platform to list nodes: false, or nothing, is meant")
	}
	if len(f.Eureka)+len(f.Static) == 0 {
		d.wrong("sidecar", "nothing lists nodes: an [[eureka]] or a [[static]] table is missing")
	}
	if len(f.Classes) == 0 {
		d.wrong("sidecar", "no request could be told from another: a [[class]] table is missing")
	}
	f.checkClasses(d)
	f.checkTenants(d)
}

func (f *File) checkClasses(d *decoder) {
	names := make(map[string]int)
	for i := range f.Classes {
		c, at := &f.Classes[i], fmt.Sprintf("class[%d]", i)
		d.needs(at, "name", c.Name == "", "the name that requests have for it is meant")
		d.needs(at, "effect", c.Effect == "", "%q, %q or %q is meant", Safe, Keyed, Unsafe)
		d.needs(at, "aim", c.Aim == "", "%s is meant", c.Aim.meant())
		d.needs(at, "deadline", c.Deadline == "", "%s is meant", c.Deadline.meant())
		if c.Aim.Value() > c.Deadline.Value() && c.Deadline != "" {
			d.wrong(at+".aim", "%s is after the deadline of %s: no answer would be in time", c.Aim, c.Deadline)
		}
		if c.Worth < 0 {
			d.wrong(at+".worth", "%v is negative: a number above 0 is meant", c.Worth)
		}
		if c.Effect == Keyed {
			d.needs(at, "window", c.Window == "", "how long nodes drop a repeat of a keyed request is meant, such as \"600ms\"")
		} else if c.Effect != "" {
			for key, set := range map[string]bool{"window": c.Window != "", "scope": c.Scope != ""} {
				if set {
					d.wrong(at+"."+key, "this is for classes with effect = %q", Keyed)
				}
			}
		}
		if other, ok := names[c.Name]; ok && c.Name != "" {
			d.wrong(at+".name", "class %d is named %q already: each needs its own name", other+1, c.Name)
		}
		names[c.Name] = i
	}
}

func (f *File) checkTenants(d *decoder) {
	names := make(map[string]int)
	for i := range f.Tenants {
		t, at := &f.Tenants[i], fmt.Sprintf("tenant[%d]", i)
		d.needs(at, "name", t.Name == "", "the name that requests have for it is meant")
		if _, there := d.places[at+".share"]; !there {
			d.needs(at, "share", true, "its part of the slots is meant, such as 0.5")
		} else if !(t.Share > 0) && !d.noted(at+".share") {
			d.wrong(at+".share", "%v would leave it no slot: a number above 0 is meant", t.Share)
		}
		if t.Quota < 0 {
			d.wrong(at+".quota", "%v is negative: requests a second are meant, such as 250", t.Quota)
		}
		if other, ok := names[t.Name]; ok && t.Name != "" {
			d.wrong(at+".name", "tenant %d is named %q already: each needs its own name", other+1, t.Name)
		}
		names[t.Name] = i
	}
}

// Or gives a time, or what stands for an empty one.
func (d Duration) Or(absent time.Duration) time.Duration {
	if d == "" {
		return absent
	}
	return d.Value()
}
