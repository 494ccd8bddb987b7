package operator

import "fmt"

// Membership is the [membership] table: bounds on what sources of the endpoint list may
// do. It counts where there is a source beside the platform's discovery. Empty values
// stand for the defaults of package membership.
type Membership struct {
	Platform          *bool    `toml:"platform"`      // false: the platform's discovery is not a source
	MaxLoss           Share    `toml:"max_loss"`      // share of a source's instances that may vanish within LossWindow
	LossWindow        Duration `toml:"loss_window"`   // in which instances that vanish count together
	LossHold          Duration `toml:"hold_for"`      // a greater loss is accepted after this
	SilentAfter       Duration `toml:"silent_after"`  // without a response this long a source is not trusted
	TombstoneLifetime Duration `toml:"tombstone_for"` // how long a deleted instance is remembered
	StaleUpdateHold   Duration `toml:"settle"`        // updates that seem old are accepted after this
	NewProcessPeriod  Duration `toml:"fresh_for"`     // a new process at an old address shares no keys this long
	MaxNodes          Count    `toml:"most_nodes"`    // of one source; 0: what the memory limit allows
}

// Merges says whether there is a source beside the platform's discovery.
func (f *File) Merges() bool { return len(f.Eureka)+len(f.Static) > 0 }

// UsesPlatform says whether the platform's discovery is a source.
func (f *File) UsesPlatform() bool {
	return f.Sidecar == nil && (f.Membership.Platform == nil || *f.Membership.Platform)
}

func (f *File) checkSources(d *decoder) {
	if f.Sidecar == nil && !f.UsesPlatform() && !f.Merges() {
		d.reportAt("membership.platform", "it is false and there is no other source: the list would be empty for ever. An [[eureka]] or a [[static]] table is meant beside it")
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
	d.require(path, "name", name == "", "a name of its own is meant")
	if names[name] {
		d.reportAt(path+".name", "a source is named %q already: each needs its own name", name)
	}
	names[name] = name != ""
}
