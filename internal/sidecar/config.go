package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/operator"
	"mothridge/internal/registry/platform"
	"mothridge/internal/settings"
	"mothridge/policy"
)

// Config is what one sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string // the one address to listen on
	Discovery string
	Seed      uint64
	Known     *platform.Listing // the list of upstreams as last held; nil where there is none
	Limits    Limits
	Operator  operator.File // what the operators set; nothing unless their file was named
	LogLost   func() uint64 // log lines that could not be written; nil: not known
	path      string        // the file it came from

	Policy      policy.Config
	Classes     []string
	Tenants     []string // empty: there is one, and requests need not name it
	Zones       []string
	LoadField   string        // a load report's name for the number of requests held
	DialTimeout time.Duration // a connection not made by then never comes
	DrainGrace  time.Duration // after the news of a drain nothing may begin later than this
	ConnIdle    time.Duration // upstreams close a connection that was idle this long
}

// Limits are the platform's limits on this process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultSockets     = 1024
	leastSockets       = 64 // below, neither side could hold a handful of connections
	defaultDialTimeout = 250 * time.Millisecond
	defaultConnIdle    = 15 * time.Second
)

// LoadConfig reads the configuration file that ROUTER_CONFIG names. ROUTER_NAME,
// ROUTER_LISTEN and ROUTER_DISCOVERY go before what the file says of them.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	c, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	c.path = path
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	return c, c.checkDiscovery()
}

func readConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// reload reads the file again and takes over what may change under way: where
// discovery is. The environment is that of the start, so here the file alone
// counts. If the file is of no use, c stays as it is.
func (c *Config) reload() error {
	if c.path == "" {
		return errors.New("the operators' file says all of it, and takes a restart")
	}
	fresh, err := readConfig(c.path)
	if err != nil {
		return err
	}
	if err := fresh.checkDiscovery(); err != nil {
		return err
	}
	c.Discovery = fresh.Discovery
	return nil
}

func (c *Config) checkDiscovery() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery address: %w", err)
	}
	return nil
}

// ParseConfig reads the text of a configuration file.
func ParseConfig(text []byte) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, placed(text, err)
	}
	if f.Settings == nil {
		return nil, fmt.Errorf("settings are missing: the object that an instance starts with is needed")
	}
	s, err := settings.ParseJSON(f.Settings)
	if err != nil {
		return nil, err
	}
	p, err := s.Config()
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits, Known: parseKnown(f.Known),
		Policy:      p,
		Classes:     s.ClassNames(),
		Tenants:     s.TenantNames(),
		Zones:       s.ZoneNames(),
		DialTimeout: s.DialTimeout(defaultDialTimeout),
		DrainGrace:  s.DrainGrace(core.DefaultDrainGrace),
		ConnIdle:    s.IdleConnTimeout(defaultConnIdle),
		LoadField:   s.InFlightField(),
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed is %.40q: up to 16 hexadecimal digits are needed", f.Seed)
	}
	if slices.Contains(c.Classes, "") || slices.Contains(c.Tenants, "") {
		return nil, fmt.Errorf("settings: a class or tenant has no name")
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: %d sockets, at least %d are needed", c.Limits.Sockets, leastSockets)
	}
	return c, nil
}

// placed adds line and column to what is wrong with a JSON text.
func placed(text []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var at int64
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	default:
		return err
	}
	before := text[:min(max(at-1, 0), int64(len(text)))]
	line := bytes.Count(before, []byte{'\n'})
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line+1, column, err)
}

// parseKnown reads the list as last held. One that cannot be read is done
// without: discovery brings another.
func parseKnown(text json.RawMessage) *platform.Listing {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	known := new(platform.Listing)
	if err := json.Unmarshal(text, known); err != nil {
		slog.Warn("configuration: the known list is passed over", "err", err)
		return nil
	}
	return known
}

// known is the list as last held, in the core's terms. Where sources are merged
// it goes to the merger.
func (c *Config) known() *core.EndpointUpdate {
	if c.Known == nil || c.Operator.Merges() {
		return nil
	}
	n := c.Known.EndpointUpdate()
	return &n
}

// effects are those of the classes, by number.
func (c *Config) effects() []policy.Idempotency {
	e := make([]policy.Idempotency, len(c.Policy.Classes))
	for i, k := range c.Policy.Classes {
		e[i] = k.Idempotency
	}
	return e
}
