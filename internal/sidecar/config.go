package sidecar

import (
	"fmt"
	"net/netip"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/operator"
	"mothridge/internal/registry/platform"
	"mothridge/policy"
)

// Config is what one sidecar is configured with at its start. LoadConfig and FromOperator make it.
type Config struct {
	Name      string
	Listen    string            // the platform's listener, address and port
	Discovery string            // the platform's discovery, address and port
	Seed      uint64            // of all random draws
	Known     *platform.Listing // the endpoint list as last held; nil where there is none
	Limits    Limits
	Operator  operator.File // what the operators set; nothing unless their file was named
	LogLost   func() uint64 // log lines that could not be written; nil: not known
	path      string        // the platform's file; empty: there is none

	Policy      policy.Config
	Classes     []string      // names by number
	Tenants     []string      // names by number; empty: there is one, and requests need not name it
	Zones       []string      // names by number
	LoadField   string        // a load report's name for the number of requests in flight
	DialTimeout time.Duration // a connection not made by then counts as failed
	DrainGrace  time.Duration // no attempt may start later than this after its endpoint began to drain
	ConnIdle    time.Duration // upstreams close a connection that was idle this long
}

const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultConnIdle    = 15 * time.Second
)

func (c *Config) checkDiscovery() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery address: %w", err)
	}
	return nil
}

// cachedEndpoints is the list as last held; nil where sources are merged, as the merger
// takes it then.
func (c *Config) cachedEndpoints() *core.EndpointUpdate {
	if c.Known == nil || c.Operator.Merges() {
		return nil
	}
	update := c.Known.EndpointUpdate()
	return &update
}

// idempotencies are those of the classes, by number.
func (c *Config) idempotencies() []policy.Idempotency {
	all := make([]policy.Idempotency, len(c.Policy.Classes))
	for i, class := range c.Policy.Classes {
		all[i] = class.Idempotency
	}
	return all
}
