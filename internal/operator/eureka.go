package operator

// Eureka is an [[eureka]] table: a Eureka registry as a source of the endpoint list.
type Eureka struct {
	Name          string   `toml:"name"`
	Replicas      []URL    `toml:"replicas"`    // base URLs, the preferred one first
	Apps          []string `toml:"apps"`        // applications to read; all where Apps and VIPs are both empty
	VIPs          []string `toml:"vips"`        // virtual addresses to read
	Format        Format   `toml:"format"`      // empty: JSON
	Interval      Duration `toml:"interval"`    // between two reads; empty: the client's default
	Timeout       Duration `toml:"timeout"`     // of one read; empty: the client's default
	MaxResponseMB Count    `toml:"most_mb"`     // in MiB; 0: the client's default
	UseSecurePort bool     `toml:"secure_port"` // endpoints are reached at their secure port
	Metadata      Metadata `toml:"metadata"`
	Register      Register `toml:"register"`
}

// Metadata names the metadata of an instance that say what the registry's own fields do
// not. Empty names map nothing.
type Metadata struct {
	Zone        string `toml:"site"`
	MachineType string `toml:"kind"`
	Cell        string `toml:"cell"`
	Weight      string `toml:"weight"`
	Protocol    string `toml:"protocol"`
	StartedAtMS string `toml:"started_ms"`
}

// Register makes the sidecar itself an instance of the registry. App empty: it
// does not register.
type Register struct {
	App      string            `toml:"app"`
	VIP      string            `toml:"vip"`
	Address  Address           `toml:"address"` // empty: the platform's listener
	Renew    Duration          `toml:"renew"`   // between two heartbeats; empty: the client's default
	Metadata map[string]string `toml:"metadata"`
}

// Format is how a registry writes; empty stands for JSON.
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

func (e *Eureka) check(path string, d *decoder) {
	d.require(path, "replicas", len(e.Replicas) == 0, "a list of URLs is meant, such as [\"http://127.0.0.1:8761/eureka/v2\"]")
}
