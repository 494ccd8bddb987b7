package sidecar

import (
	"mothridge/internal/registry/platform"
	"mothridge/membership"
)

// Limits are the resource limits of this process, set by the platform or the operators' file.
type Limits struct {
	Cores    float64 `json:"cores"`     // 0: unlimited
	MemoryMB int64   `json:"memory_mb"` // in MiB; 0: unlimited
	Sockets  int     `json:"sockets"`   // maximum number of open file descriptors; 0: defaultSockets
}

const (
	defaultSockets = 1024
	minSockets     = 64 // fewer leave less than a handful of connections for clients or for upstreams
	// reservedSockets is the number of descriptors reserved for the standard streams, the listeners,
	// the poller and files that the runtime opens.
	reservedSockets = 32
	// clientTenths is the clients' share of the remaining sockets, in tenths. Upstreams get the rest.
	clientTenths = 6
)

// connections returns the maximum numbers of client and of upstream connections.
func (l Limits) connections() (clients, upstreams int) {
	available := l.Sockets - reservedSockets - platform.MaxConnections
	clients = available * clientTenths / 10
	return clients, available - clients
}

const (
	// bytesPerNode is the memory for one endpoint in all packages together, including the peak while
	// the list is read for the first time (docs/benchmarks.md).
	bytesPerNode = 2200
	// baseMemory is the memory of the program without endpoints, including a reserve for requests,
	// in bytes.
	baseMemory = 16 << 20
	minNodes   = 500
)

// maxNodes returns the maximum number of endpoints that a source may list: the value of the
// operators' file, or otherwise the number that fits into the memory limit of this process, from
// minNodes to membership.DefaultMaxInstances. Without a memory limit it is the latter.
func (c *Config) maxNodes() int {
	if n := int(c.Operator.Membership.MaxNodes); n > 0 {
		return n
	}
	if c.Limits.MemoryMB <= 0 {
		return membership.DefaultMaxInstances
	}
	fittingNodes := (c.Limits.MemoryMB<<20 - baseMemory) / bytesPerNode
	return int(min(max(fittingNodes, minNodes), membership.DefaultMaxInstances))
}
