package operator

import (
	"fmt"
	"time"
)

// Sidecar is the [sidecar] table: what the platform configures, for where there is no
// platform. With it the operators' file is all that the program needs.
type Sidecar struct {
	Name               string   `toml:"name"`        // empty: mothridge
	Listen             Address  `toml:"listen"`      // clients connect there by HTTP/1.1
	FleetSize          Count    `toml:"sidecars"`    // that send to the same endpoints, this one included; 0: 1
	MaxAttempts        Count    `toml:"attempts"`    // for one request; 0: DefaultMaxAttempts
	MaxRetryAfter      Duration `toml:"retry_after"` // the longest Retry-After that clients follow; empty: DefaultMaxRetryAfter
	ClientsMarkRetries bool     `toml:"marks_retry"` // with Client-Retry
	Probes             bool     `toml:"probes"`      // endpoints answer GET /health/live
	Zone               string   `toml:"zone"`        // where this sidecar is, by the name that endpoints have for it

	DialTimeout           Duration `toml:"dial_timeout"` // a connection not made by then counts as failed; empty: 250ms
	ConnectionIdleTimeout Duration `toml:"conn_idle"`    // endpoints close a connection that was idle this long; empty: 15s

	SlowStartInitialShare   Share    `toml:"cold_from"`     // of its capacity that an endpoint starts with
	SlowStartDuration       Duration `toml:"cold_for"`      // until it has all of it; empty: endpoints start with all of it
	SlowStartOverloadFactor float64  `toml:"cold_multiple"` // of its capacity that overloads it, from 1; 0: DefaultOverloadFactor
}

// The defaults of Sidecar.
const (
	DefaultMaxAttempts    = 3
	DefaultMaxRetryAfter  = time.Second
	DefaultOverloadFactor = 2
)

// checkStandalone checks what counts with [sidecar] alone, and that nothing of it is
// there without.
func (f *File) checkStandalone(d *decoder) {
	if f.Sidecar == nil {
		f.checkWithoutSidecar(d)
		return
	}
	f.checkSidecar(d)
	f.Limits.check(d)
	f.checkSidecarNeeds(d)
	checkClasses(f.Classes, d)
	checkTenants(f.Tenants, d)
}

// checkWithoutSidecar reports keys that the platform sets.
func (f *File) checkWithoutSidecar(d *decoder) {
	for key, set := range map[string]bool{
		"class":            len(f.Classes) > 0,
		"tenant":           len(f.Tenants) > 0,
		"limits.sockets":   f.Limits.Sockets != 0,
		"limits.memory_mb": f.Limits.MemoryMB != 0,
		"limits.cores":     f.Limits.Cores != 0,
	} {
		if set {
			d.reportAt(key, "the platform tells this: it is for files with a [sidecar] table, which run without one")
		}
	}
}

func (f *File) checkSidecar(d *decoder) {
	s := f.Sidecar
	d.require("sidecar", "listen", s.Listen == "", "%s is meant", s.Listen.meant())
	for i, l := range f.Listeners {
		if l.Address == s.Listen && s.Listen != "" {
			d.reportAt(fmt.Sprintf("listener[%d].address", i), "[sidecar] listens at %s already: each needs its own", s.Listen)
		}
	}
	if s.SlowStartOverloadFactor != 0 && s.SlowStartOverloadFactor < 1 {
		d.reportAt("sidecar.cold_multiple", "%v is less than what a cold node can do: a number from 1 is meant", s.SlowStartOverloadFactor)
	}
}

// checkSidecarNeeds reports tables that have to be there, or must not be, with [sidecar].
func (f *File) checkSidecarNeeds(d *decoder) {
	if platform := f.Membership.Platform; platform != nil && *platform {
		d.reportAt("membership.platform", "with a [sidecar] table there is no platform to list nodes: false, or nothing, is meant")
	}
	if !f.Merges() {
		d.reportAt("sidecar", "nothing lists nodes: an [[eureka]] or a [[static]] table is missing")
	}
	if len(f.Classes) == 0 {
		d.reportAt("sidecar", "no request could be told from another: a [[class]] table is missing")
	}
}
