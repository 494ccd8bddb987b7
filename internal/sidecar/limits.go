package sidecar

import (
	"runtime"

	"mothridge/internal/front/frontend"
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
	minSockets     = 64 // smallest accepted limit; it leaves 18 connections for clients and 12 for upstreams
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

// processorShare returns the share of a core that this process may use: Cores, or all that the runtime uses.
func (l Limits) processorShare() float64 {
	available := float64(runtime.GOMAXPROCS(0))
	if l.Cores <= 0 {
		return available
	}
	return min(l.Cores, available)
}

const (
	minRuntimeShare = 4 // of the memory: the runtime gets at least a quarter
	// nonHeapBytes is the memory that the process uses in addition to the runtime's memory limit:
	// mostly the program's machine code, and the excess over the limit during a garbage collection.
	nonHeapBytes = 16 << 20
)

// RuntimeBytes returns the memory limit of the Go runtime in bytes: three quarters of the memory, or what remains after
// nonHeapBytes if that is less, but at least a quarter. It returns 0 if the memory is unlimited.
func (l Limits) RuntimeBytes() int64 {
	limit := l.MemoryMB << 20
	return max(limit/minRuntimeShare, min(limit/4*3, limit-nonHeapBytes))
}

// requestMemoryShare is the share of the runtime's memory that clients' requests may hold, beside what each
// connection costs: an eighth.
const requestMemoryShare = 8

// requestMemory returns the memory of clients' requests, nil if it is unlimited.
func (l Limits) requestMemory() *frontend.RequestMemory {
	if l.MemoryMB <= 0 {
		return nil
	}
	return frontend.NewRequestMemory(l.RuntimeBytes() / requestMemoryShare)
}

// pluginStateShare is the share of the runtime's memory that the maps of all plug-ins may hold: an eighth.
const pluginStateShare = 8

// pluginStateBytes returns the memory of the maps of all plug-ins in bytes, 0 if it is unlimited.
func (l Limits) pluginStateBytes() int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	return l.RuntimeBytes() / pluginStateShare
}

const (
	// bytesPerInstance is the memory for one endpoint in all packages together, including the peak while
	// the list is read for the first time (docs/benchmarks.md).
	bytesPerInstance = 2200
	// baseMemory is the memory of the program without endpoints, including a reserve for requests,
	// in bytes.
	baseMemory   = 16 << 20
	minInstances = 500
)

// maxInstances returns the maximum number of endpoints that a source may list: the value of the
// operators' file, or otherwise the number that fits into the memory limit of this process, from
// minInstances to membership.DefaultMaxInstances. Without a memory limit it is the latter.
func (c *Config) maxInstances() int {
	if n := int(c.Operator.Membership.MaxInstances); n > 0 {
		return n
	}
	if c.Limits.MemoryMB <= 0 {
		return membership.DefaultMaxInstances
	}
	fittingInstances := (c.Limits.MemoryMB<<20 - baseMemory) / bytesPerInstance
	return int(min(max(fittingInstances, minInstances), membership.DefaultMaxInstances))
}
