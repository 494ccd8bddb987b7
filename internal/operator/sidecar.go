package operator

import (
	"fmt"
	"time"
)

// Sidecar is the [sidecar] table: the settings that the platform would otherwise provide. With
// it the program runs without a platform and needs only the operators' file.
type Sidecar struct {
	Name               string   `toml:"name"`        // empty: mothridge
	Listen             Address  `toml:"listen"`      // address at which clients connect by HTTP/1.1
	FleetSize          Count    `toml:"sidecars"`    // sidecars that send to the same endpoints, this one included; 0: 1
	MaxAttempts        Count    `toml:"attempts"`    // attempts for one request; 0: DefaultMaxAttempts
	MaxRetryAfter      Duration `toml:"retry_after"` // longest Retry-After that is sent to clients; empty: DefaultMaxRetryAfter
	ClientsMarkRetries bool     `toml:"marks_retry"` // clients mark retries with the header Client-Retry
	Probes             bool     `toml:"probes"`      // endpoints respond to GET /health/live
	Zone               string   `toml:"zone"`        // zone of this sidecar, as named in the endpoint list

	DialTimeout           Duration `toml:"dial_timeout"` // a connection not made within this time counts as failed; empty: 250ms
	ConnectionIdleTimeout Duration `toml:"conn_idle"`    // idle time after which endpoints close a connection; empty: 15s

	// SlowStartInitialShare is the share of its capacity that an endpoint has right after a start.
	SlowStartInitialShare Share `toml:"cold_from"`
	// SlowStartDuration is the time from a start to full capacity; empty: full capacity from the start.
	SlowStartDuration Duration `toml:"cold_for"`
	// SlowStartOverloadFactor is the multiple of its current capacity that overloads a starting
	// endpoint, at least 1; 0: DefaultOverloadFactor.
	SlowStartOverloadFactor float64 `toml:"cold_multiple"`
}

// The defaults of Sidecar.
const (
	DefaultMaxAttempts    = 3
	DefaultMaxRetryAfter  = time.Second
	DefaultOverloadFactor = 2
)

// checkStandalone checks the settings that need a [sidecar] table, or reports them if there is
// no such table.
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

// checkWithoutSidecar reports keys for which the platform provides the values.
func (f *File) checkWithoutSidecar(d *decoder) {
	for key, isSet := range map[string]bool{
		"class":            len(f.Classes) > 0,
		"tenant":           len(f.Tenants) > 0,
		"limits.sockets":   f.Limits.Sockets != 0,
		"limits.memory_mb": f.Limits.MemoryMB != 0,
		"limits.cores":     f.Limits.Cores != 0,
	} {
		if isSet {
			d.reportAt(key, "applies only to files with a [sidecar] table: otherwise the platform sets this")
		}
	}
}

// checkSidecar checks the values of the [sidecar] table.
func (f *File) checkSidecar(d *decoder) {
	s := f.Sidecar
	d.require("sidecar", "listen", s.Listen == "", "must be %s", s.Listen.expected())
	for i, l := range f.Listeners {
		if l.Address == s.Listen && s.Listen != "" {
			d.reportAt(fmt.Sprintf("listener[%d].address", i), "must be unique: [sidecar] already listens at %s", s.Listen)
		}
	}
	if s.SlowStartOverloadFactor != 0 && s.SlowStartOverloadFactor < 1 {
		d.reportAt("sidecar.cold_multiple",
			"must be at least 1, or 0 for the default, got %v: an endpoint in slow start can serve its capacity",
			s.SlowStartOverloadFactor)
	}
}

// checkSidecarNeeds reports settings that a file with a [sidecar] table lacks or must not have.
func (f *File) checkSidecarNeeds(d *decoder) {
	if platform := f.Membership.Platform; platform != nil && *platform {
		d.reportAt("membership.platform",
			"must be false or absent in a file with a [sidecar] table: there is no platform to list endpoints")
	}
	if !f.Merges() {
		d.reportAt("sidecar", "requires an [[eureka]] or [[static]] table: nothing else lists endpoints")
	}
	if len(f.Classes) == 0 {
		d.reportAt("sidecar", "requires at least one [[class]] table to classify requests")
	}
}
