package operator

// Eureka is an [[eureka]] table: a Eureka registry as a source of the endpoint list.
type Eureka struct {
	Name          string   `toml:"name"`
	Replicas      []URL    `toml:"replicas"`    // base URLs of the registry's replicas, the preferred one first
	Apps          []string `toml:"apps"`        // applications to read; all if both Apps and VIPs are empty
	VIPs          []string `toml:"vips"`        // virtual addresses to read
	Format        Format   `toml:"format"`      // empty: JSON
	Interval      Duration `toml:"interval"`    // time between two polls; empty: the client's default
	Timeout       Duration `toml:"timeout"`     // time limit of one poll; empty: the client's default
	MaxResponseMB Count    `toml:"most_mb"`     // size limit of a response, in MiB; 0: the client's default
	UseSecurePort bool     `toml:"secure_port"` // connect to endpoints at their secure port
	Metadata      Metadata `toml:"metadata"`
	Register      Register `toml:"register"`
}

// Metadata names the keys of an instance's metadata that hold properties for which the registry
// has no field of its own. A property whose key is empty is not read.
type Metadata struct {
	Zone        string `toml:"site"`
	MachineType string `toml:"kind"`
	Cell        string `toml:"cell"`
	Weight      string `toml:"weight"`
	Protocol    string `toml:"protocol"`
	StartedAtMS string `toml:"started_ms"`
}

// Register holds the settings with which the sidecar registers itself as an instance in the
// registry. The sidecar does not register if App is empty.
type Register struct {
	App      string            `toml:"app"`
	VIP      string            `toml:"vip"`
	Address  Address           `toml:"address"` // empty: the address of the platform's listener
	Renew    Duration          `toml:"renew"`   // time between two heartbeats; empty: the client's default
	Metadata map[string]string `toml:"metadata"`
}

// Format is the format of a registry's responses. An empty value means JSON.
type Format string

// The formats of responses.
const (
	JSON Format = "json"
	XML  Format = "xml"
)

func (f Format) check() error { return oneOf(string(f), string(JSON), string(XML)) }

// URLs returns the base URLs of the replicas.
func (e *Eureka) URLs() []string {
	urls := make([]string, len(e.Replicas))
	for i, replica := range e.Replicas {
		urls[i] = string(replica)
	}
	return urls
}

func (e *Eureka) check(path string, d *decoder) {
	d.require(path, "replicas", len(e.Replicas) == 0,
		"must be a list of URLs, such as [\"http://127.0.0.1:8761/eureka/v2\"]")
}
