package operator

import (
	"fmt"
	"net/url"
	"time"
)

// Membership bounds what sources of the list may do. It counts where there is a
// source beside the platform's discovery.
type Membership struct {
	Platform  *bool    `toml:"platform"` // false: the platform's discovery is not a source
	MaxLoss   Share    `toml:"max_loss"` // share of a source's instances that may vanish within loss_window
	Window    Duration `toml:"loss_window"`
	HoldFor   Duration `toml:"hold_for"`     // a greater loss is believed after this
	Silent    Duration `toml:"silent_after"` // without an answer this long a source is distrusted
	Tombstone Duration `toml:"tombstone_for"`
	Settle    Duration `toml:"settle"`    // news that seem old are believed after this
	Fresh     Duration `toml:"fresh_for"` // a new process at an old address shares no keys this long
	Most      Count    `toml:"most_nodes"`
}

// Eureka is a Eureka registry as a source of the list.
type Eureka struct {
	Name     string   `toml:"name"`
	Replicas []URL    `toml:"replicas"` // base URLs, the preferred one first
	Apps     []string `toml:"apps"`
	VIPs     []string `toml:"vips"`
	Format   Format   `toml:"format"` // json or xml
	Interval Duration `toml:"interval"`
	Timeout  Duration `toml:"timeout"`
	MostMB   Count    `toml:"most_mb"`
	Secure   bool     `toml:"secure_port"`
	Metadata Metadata `toml:"metadata"`
	Register Register `toml:"register"`
}

// Metadata names the metadata of an instance that say what the registry's own
// fields do not.
type Metadata struct {
	Site     string `toml:"site"`
	Kind     string `toml:"kind"`
	Cell     string `toml:"cell"`
	Weight   string `toml:"weight"`
	Protocol string `toml:"protocol"`
	Started  string `toml:"started_ms"`
}

// Register makes the sidecar itself an instance of the registry. App empty: it
// does not register.
type Register struct {
	App      string            `toml:"app"`
	VIP      string            `toml:"vip"`
	Address  Address           `toml:"address"` // empty: the platform's listener
	Renew    Duration          `toml:"renew"`
	Metadata map[string]string `toml:"metadata"`
}

// Static is a list that does not change.
type Static struct {
	Name  string    `toml:"name"`
	Nodes []Address `toml:"nodes"` // addresses
	Site  string    `toml:"site"`
	Kind  string    `toml:"kind"`
}

// Merges says whether there is a source beside the platform's discovery.
func (f *File) Merges() bool { return len(f.Eureka)+len(f.Static) > 0 }

// UsesPlatform says whether the platform's discovery is a source.
func (f *File) UsesPlatform() bool {
	return f.Sidecar == nil && (f.Membership.Platform == nil || *f.Membership.Platform)
}

// Duration is a time with its unit, such as "5s" or "200ms"; empty stands for
// the default.
type Duration string

// Value is the time; 0 where there is none.
func (d Duration) Value() time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return 0
	}
	return v
}

func (Duration) meant() string { return `a time with its unit, such as "5s" or "200ms"` }

func (d Duration) check() error {
	if d == "" {
		return nil
	}
	if v, err := time.ParseDuration(string(d)); err != nil || v <= 0 || v > 24*time.Hour {
		return fmt.Errorf("%s, up to 24h, is meant, not %.60q", d.meant(), string(d))
	}
	return nil
}

// URL is the base of a registry.
type URL string

func (URL) meant() string { return `a URL, such as "http://127.0.0.1:8761/eureka/v2"` }

func (u URL) check() error {
	parsed, err := url.Parse(string(u))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return fmt.Errorf("%s is meant, not %.80q", u.meant(), string(u))
	}
	return nil
}

// Format is how a registry writes; empty stands for "json".
type Format string

// The formats.
const (
	JSON Format = "json"
	XML  Format = "xml"
)

func (f Format) check() error { return oneOf(string(f), string(JSON), string(XML)) }

// URLs are the replicas' bases.
func (e *Eureka) URLs() []string {
	all := make([]string, len(e.Replicas))
	for i, r := range e.Replicas {
		all[i] = string(r)
	}
	return all
}

// Share is a part of a whole, from 0 to under 1; 0 stands for the default.
type Share float64

func (Share) meant() string { return "a share from 0 (the default) to under 1, such as 0.3" }

func (s Share) check() error {
	if !(s >= 0 && s < 1) {
		return fmt.Errorf("%s is meant, not %v", s.meant(), float64(s))
	}
	return nil
}

func (f *File) checkSources(d *decoder) {
	if f.Sidecar == nil && !f.UsesPlatform() && !f.Merges() {
		d.wrong("membership.platform", "it is false and there is no other source: the list would be empty for ever. An [[eureka]] or a [[static]] table is meant beside it")
	}
	names := map[string]bool{"platform": true}
	name := func(at, n string) {
		d.needs(at, "name", n == "", "a name of its own is meant")
		if names[n] {
			d.wrong(at+".name", "a source is named %q already: each needs its own name", n)
		}
		names[n] = n != ""
	}
	for i := range f.Eureka {
		e, at := &f.Eureka[i], fmt.Sprintf("eureka[%d]", i)
		name(at, e.Name)
		d.needs(at, "replicas", len(e.Replicas) == 0, "a list of URLs is meant, such as [\"http://127.0.0.1:8761/eureka/v2\"]")
	}
	for i := range f.Static {
		s, at := &f.Static[i], fmt.Sprintf("static[%d]", i)
		name(at, s.Name)
		d.needs(at, "nodes", len(s.Nodes) == 0, "a list of addresses is meant, such as [\"127.0.0.1:7081\"]")
		had := make(map[Address]bool)
		for j, n := range s.Nodes {
			switch path := fmt.Sprintf("%s.nodes[%d]", at, j); {
			case n == "" && !d.noted(path):
				d.wrong(path, "it is empty: %s is meant", n.meant())
			case n != "" && had[n]:
				d.wrong(path, "%s stands twice in this list", n)
			}
			had[n] = true
		}
	}
}
