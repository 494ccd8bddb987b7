package operator

import "fmt"

// Membership is the [membership] table: bounds on what a source may change in the endpoint
// list. It applies only if there is a source other than the platform's discovery. An empty
// value means the default of package membership.
type Membership struct {
	Platform          *bool    `toml:"platform"`      // false: the platform's discovery is not a source
	MaxLoss           Share    `toml:"max_loss"`      // share of a source's instances that may disappear within LossWindow
	LossWindow        Duration `toml:"loss_window"`   // time in which the losses of a source are summed
	LossHold          Duration `toml:"hold_for"`      // time after which a greater loss is accepted
	SilentAfter       Duration `toml:"silent_after"`  // time without a response after which a source is not trusted
	TombstoneLifetime Duration `toml:"tombstone_for"` // how long a deleted instance is remembered
	StaleUpdateHold   Duration `toml:"settle"`        // time after which an update that looks stale is accepted
	NewProcessPeriod  Duration `toml:"fresh_for"`     // how long a new process at an old address shares no idempotency keys
	MaxInstances      Count    `toml:"most_nodes"`    // maximum number of instances of one source; 0: derived from the memory limit
}

// Merges reports whether there is a source other than the platform's discovery.
func (f *File) Merges() bool { return len(f.Eureka)+len(f.Static) > 0 }

// UsesPlatform reports whether the platform's discovery is a source.
func (f *File) UsesPlatform() bool {
	return f.Sidecar == nil && (f.Membership.Platform == nil || *f.Membership.Platform)
}

func (f *File) checkSources(d *decoder) {
	if f.Sidecar == nil && !f.UsesPlatform() && !f.Merges() {
		d.reportAt("membership.platform",
			"must not be false without an [[eureka]] or [[static]] table: the endpoint list would always be empty")
	}
	names := map[string]bool{"platform": true}
	for i := range f.Eureka {
		path := fmt.Sprintf("eureka[%d]", i)
		checkSourceName(names, path, f.Eureka[i].Name, d)
		f.Eureka[i].check(path, d)
	}
	for i := range f.Static {
		path := fmt.Sprintf("static[%d]", i)
		checkSourceName(names, path, f.Static[i].Name, d)
		f.Static[i].check(path, d)
	}
}

// checkSourceName reports a name that is missing or that an earlier source has.
func checkSourceName(names map[string]bool, path, name string, d *decoder) {
	d.require(path, "name", name == "", "must be a unique name")
	if names[name] {
		d.reportAt(path+".name", "must be unique: a source is already named %q", name)
	}
	names[name] = name != ""
}
