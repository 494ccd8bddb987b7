package operator

import (
	"errors"
	"fmt"
	"net/url"
	"time"
)

// Membership bounds what sources of the list may do. It counts where there is a
// source beside the platform's discovery.
type Membership struct {
	Platform  *bool    `toml:"platform"` // false: the platform's discovery is not a source
	MaxLoss   float64  `toml:"max_loss"` // share of a source's instances that may vanish within loss_window
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
	Replicas []string `toml:"replicas"` // base URLs, the preferred one first
	Apps     []string `toml:"apps"`
	VIPs     []string `toml:"vips"`
	Format   string   `toml:"format"` // json or xml
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
	Name  string   `toml:"name"`
	Nodes []string `toml:"nodes"` // addresses
	Site  string   `toml:"site"`
	Kind  string   `toml:"kind"`
}

// Merges says whether there is a source beside the platform's discovery.
func (f *File) Merges() bool { return len(f.Eureka)+len(f.Static) > 0 }

// UsesPlatform says whether the platform's discovery is a source.
func (m *Membership) UsesPlatform() bool { return m.Platform == nil || *m.Platform }

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

func (d Duration) check(key string) error {
	if d == "" {
		return nil
	}
	if v, err := time.ParseDuration(string(d)); err != nil || v <= 0 || v > 24*time.Hour {
		return fmt.Errorf("%s %q: a time with its unit is meant, such as \"5s\" or \"200ms\", up to 24h", key, string(d))
	}
	return nil
}

func (f *File) checkSources() (where string, err error) {
	m := &f.Membership
	if !(m.MaxLoss >= 0 && m.MaxLoss < 1) {
		return "membership.max_loss", fmt.Errorf("max_loss is %v: a share from 0 (the default) to under 1 is meant", m.MaxLoss)
	}
	if where, err := checkCount("membership.most_nodes", m.Most); err != nil {
		return where, err
	}
	if !m.UsesPlatform() && !f.Merges() {
		return "membership.platform", errors.New("platform is false and there is no other source: the list would be empty for ever")
	}
	if where, err := checkDurations("membership.", map[string]Duration{
		"loss_window": m.Window, "hold_for": m.HoldFor, "silent_after": m.Silent, "tombstone_for": m.Tombstone, "settle": m.Settle, "fresh_for": m.Fresh,
	}); err != nil {
		return where, err
	}
	names := map[string]bool{"platform": true}
	name := func(at, n string) (string, error) {
		switch {
		case n == "":
			return at, errors.New("this source has no name")
		case names[n]:
			return at + ".name", fmt.Errorf("a source is named %q already: each needs its own name", n)
		}
		names[n] = true
		return "", nil
	}
	for i := range f.Eureka {
		e, at := &f.Eureka[i], fmt.Sprintf("eureka[%d]", i)
		if where, err := name(at, e.Name); err != nil {
			return where, err
		}
		if where, err := e.check(at); err != nil {
			return where, err
		}
	}
	for i := range f.Static {
		s, at := &f.Static[i], fmt.Sprintf("static[%d]", i)
		if where, err := name(at, s.Name); err != nil {
			return where, err
		}
		if len(s.Nodes) == 0 {
			return at, errors.New("this list has no nodes")
		}
		for _, n := range s.Nodes {
			if err := Address(n).check(); err != nil || n == "" {
				return at + ".nodes", fmt.Errorf("node %q: an IP address and a port are meant, such as \"127.0.0.1:7071\"", n)
			}
		}
	}
	return "", nil
}

func (e *Eureka) check(at string) (where string, err error) {
	if len(e.Replicas) == 0 {
		return at, errors.New("this registry has no replicas: their URLs are meant, such as \"http://127.0.0.1:8761/eureka/v2\"")
	}
	for _, r := range e.Replicas {
		if u, err := url.Parse(r); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return at + ".replicas", fmt.Errorf("replica %q: a URL is meant, such as \"http://127.0.0.1:8761/eureka/v2\"", r)
		}
	}
	if e.Format != "" && e.Format != "json" && e.Format != "xml" {
		return at + ".format", fmt.Errorf("format %q is not known: \"json\" or \"xml\" is meant", e.Format)
	}
	if where, err := checkCount(at+".most_mb", e.MostMB); err != nil {
		return where, err
	}
	if err := e.Register.Address.check(); err != nil {
		return at + ".register.address", err
	}
	return checkDurations(at+".", map[string]Duration{"interval": e.Interval, "timeout": e.Timeout, "register.renew": e.Register.Renew})
}

func checkDurations(at string, all map[string]Duration) (where string, err error) {
	for key, d := range all {
		if err := d.check(key); err != nil {
			return at + key, err
		}
	}
	return "", nil
}
