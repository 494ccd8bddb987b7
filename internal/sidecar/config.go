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

// Config is the start-up configuration of one sidecar. LoadConfig, ParseConfig and FromOperator
// return it.
type Config struct {
	Name          string
	Listen        string            // address and port of the platform's listener
	Discovery     string            // address and port of the platform's discovery; empty: there is none
	Seed          uint64            // of all random number generators
	CachedListing *platform.Listing // the cached endpoint list that the platform provides; nil: none
	Limits        Limits
	Operator      operator.File // the operators' file; its zero value without such a file
	LostLogLines  func() uint64 // returns the number of lost log lines; nil: unknown
	platformFile  string        // path of the platform's configuration file; empty: none

	Policy              policy.Config
	Classes             []string      // names of the request classes, by number
	Tenants             []string      // names of the tenants, by number; empty: one tenant, which requests need not name
	Zones               []string      // names of the zones, by number
	InFlightFieldName   string        // field of load reports with the number of requests in flight; empty: none
	DialTimeout         time.Duration // a connection that is not established within this time counts as failed
	DrainGrace          time.Duration // no attempt starts later than this after its endpoint began to drain
	UpstreamIdleTimeout time.Duration // idle time after which upstreams close a connection
}

const (
	defaultDialTimeout         = 250 * time.Millisecond
	defaultUpstreamIdleTimeout = 15 * time.Second
)

// checkDiscovery returns an error unless Discovery is an IP address and a port.
func (c *Config) checkDiscovery() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery address: %w", err)
	}
	return nil
}

// cachedEndpoints returns the cached endpoint list for the core, or nil if there is none. It also
// returns nil if sources are merged, because the merger receives the cached list then.
func (c *Config) cachedEndpoints() *core.EndpointUpdate {
	if c.CachedListing == nil || c.Operator.Merges() {
		return nil
	}
	update := c.CachedListing.EndpointUpdate()
	return &update
}

// idempotencies returns the idempotency of each class, by number.
func (c *Config) idempotencies() []policy.Idempotency {
	all := make([]policy.Idempotency, len(c.Policy.Classes))
	for i, class := range c.Policy.Classes {
		all[i] = class.Idempotency
	}
	return all
}
