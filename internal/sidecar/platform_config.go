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

	"mothridge/internal/core"
	"mothridge/internal/registry/platform"
	"mothridge/internal/settings"
)

// errNoConfig means that the platform has not set the path of the configuration file.
var errNoConfig = errors.New("ROUTER_CONFIG is not set")

// LoadConfig reads the configuration file whose path is in ROUTER_CONFIG. The variables ROUTER_NAME,
// ROUTER_LISTEN and ROUTER_DISCOVERY take precedence over the file. An error in the file contains
// the path, and the line and column if they are known.
func LoadConfig(getenv func(string) string) (*Config, error) {
	platformFile := getenv("ROUTER_CONFIG")
	if platformFile == "" {
		return nil, errNoConfig
	}
	c, err := readConfig(platformFile)
	if err != nil {
		return nil, err
	}
	c.platformFile = platformFile
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	return c, c.checkDiscovery()
}

// readConfig reads the platform's configuration file.
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

// configFile is the JSON form of the platform's configuration file.
type configFile struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Seed          string          `json:"seed"`
	Limits        Limits          `json:"limits"`
	CachedListing json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

// ParseConfig parses and checks the text of the platform's configuration file. It does not check
// the addresses.
func ParseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, withPosition(text, err)
	}
	if file.Settings == nil {
		return nil, fmt.Errorf("settings are missing, must be a JSON object")
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits,
		CachedListing: parseCachedListing(file.CachedListing),
	}
	if err := c.applySettings(file.Settings); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed must have 1 to 16 hexadecimal digits, got %.40q", file.Seed)
	}
	if slices.Contains(c.Classes, "") || slices.Contains(c.Tenants, "") {
		return nil, fmt.Errorf("settings: the name of each class and tenant must not be empty")
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets must be at least %[2]d, got %[1]d", c.Limits.Sockets, minSockets)
	}
	return c, nil
}

// applySettings decodes the start-up settings into c. On an error c may be changed partially.
func (c *Config) applySettings(text []byte) error {
	s, err := settings.ParseJSON(text)
	if err != nil {
		return err
	}
	if c.Policy, err = s.Config(); err != nil {
		return err
	}
	c.Classes = s.ClassNames()
	c.Tenants = s.TenantNames()
	c.Zones = s.ZoneNames()
	c.DialTimeout = s.DialTimeout(defaultDialTimeout)
	c.DrainGrace = s.DrainGrace(core.DefaultDrainGrace)
	c.UpstreamIdleTimeout = s.IdleConnTimeout(defaultUpstreamIdleTimeout)
	c.InFlightFieldName = s.InFlightField()
	return nil
}

// withPosition adds the line and column in text to a JSON decoding error, if the error has an
// offset.
func withPosition(text []byte, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	default:
		return err
	}
	before := text[:min(max(offset-1, 0), int64(len(text)))]
	line := bytes.Count(before, []byte{'\n'})
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line+1, column, err)
}

// parseCachedListing parses the cached endpoint list; nil if there is none. An invalid list is ignored,
// because discovery provides a new one.
func parseCachedListing(text json.RawMessage) *platform.Listing {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	known := new(platform.Listing)
	if err := json.Unmarshal(text, known); err != nil {
		slog.Warn("configuration: ignoring the invalid cached endpoint list", "err", err)
		return nil
	}
	return known
}
