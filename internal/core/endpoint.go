package core

import "time"

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name        string // equal at all sidecars; not used for another process as long as it is in the list
	Host        string // the name that pools match; empty: Name
	Addr        string // IP address and port
	Zone        string
	MachineType string
	Protocol    string // what it speaks according to its source; empty: its pool's protocol
	Cell        *int   // endpoints of one cell share the deduplication of idempotency keys; nil: it shares with none
	Health      Health
	Weight      float64       // nominal size relative to the other endpoints
	StartedAt   time.Duration // Unix time of its last start; 0: long ago
}

// Health is an endpoint's state according to its source.
type Health int

// The states. Unknown values count as Draining: no new attempts.
const (
	Draining Health = iota
	Ready
	Removed
)

// EndpointUpdate is a change of the endpoint list.
type EndpointUpdate struct {
	Version  uint64 // the source's own number
	Complete bool   // Endpoints is the complete list; else only what changed
	// ConfirmedAt is when the list before this update was last known to be valid; zero: unknown.
	ConfirmedAt time.Time
	Endpoints   []Endpoint
}
