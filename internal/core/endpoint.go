package core

import "time"

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name        string // the same at all sidecars; not reused for another process while in the list
	Host        string // host name that pools match; empty means Name
	Addr        string // IP address and port
	Zone        string
	PoolSite    string // site that pools match; empty means Zone
	MachineType string
	Protocol    string // protocol according to the discovery source; empty means the pool's protocol
	Cell        *int   // endpoints of a cell share the deduplication of idempotency keys; nil: shared with none
	Health      Health
	Weight      float64       // nominal capacity relative to the other endpoints
	StartedAt   time.Duration // Unix time of the last start of the process; 0: long ago
}

// Health is an endpoint's state according to its discovery source.
type Health int

// The states. An unknown value is treated as Draining: the endpoint receives no new attempts.
const (
	Draining Health = iota
	Ready
	Removed
)

// EndpointUpdate is a change of the endpoint list.
type EndpointUpdate struct {
	Version  uint64 // version number assigned by the source
	Complete bool   // Endpoints is the complete list; otherwise only the changed entries
	// ConfirmedAt is when the list before this update was last known to be valid; zero if unknown.
	ConfirmedAt time.Time
	Endpoints   []Endpoint
}
