package sidecar

import (
	"mothridge/internal/registry/platform"
	"mothridge/membership"
)

// Limits are the platform's limits on this process.
type Limits struct {
	Cores    float64 `json:"cores"`     // 0: not limited
	MemoryMB int64   `json:"memory_mb"` // in MiB; 0: not limited
	Sockets  int     `json:"sockets"`   // open at once; 0: defaultSockets
}

const (
	defaultSockets = 1024
	minSockets     = 64 // below, neither side could hold a handful of connections
	// reservedSockets are standard streams, listeners, the poller and what the runtime opens.
	reservedSockets = 32
	// clientTenths is how many tenths of the rest are for clients.
	clientTenths = 6
)

// connections divides the sockets between the two sides.
func (l Limits) connections() (clients, upstreams int) {
	available := l.Sockets - reservedSockets - platform.MaxConnections
	clients = available * clientTenths / 10
	return clients, available - clients
}

const (
	// bytesPerNode is what an endpoint takes in all packages together, and while its list is
	// read for the first time (docs/benchmarks.md).
	bytesPerNode = 2200
	// baseMemory is what the program takes without endpoints, with some for requests, in bytes.
	baseMemory = 16 << 20
	minNodes   = 500
)

// maxNodes is how many endpoints a source may list: what the operators' file says, or
// else what fits into the memory of this process.
func (c *Config) maxNodes() int {
	if n := int(c.Operator.Membership.MaxNodes); n > 0 {
		return n
	}
	if c.Limits.MemoryMB <= 0 {
		return membership.DefaultMaxNodes
	}
	fitting := (c.Limits.MemoryMB<<20 - baseMemory) / bytesPerNode
	return int(min(max(fitting, minNodes), membership.DefaultMaxNodes))
}
