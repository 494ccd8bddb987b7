package fleet

import "time"

// Fault is a fault to inject.
type Fault struct {
	// Kind of the fault.
	Kind FaultKind `toml:"kind"`
	// Start of the fault, from the start of the run.
	Start time.Duration `toml:"at"`
	// Duration of the fault; 0: the fault does not end.
	Duration time.Duration `toml:"for,omitempty"`
	// Node is the number of the affected node.
	Node int `toml:"node,omitempty"`
	// NodeShare is the share of the nodes that are affected instead of Node, drawn from the seed; 0: only Node is
	// affected.
	NodeShare float64 `toml:"of,omitempty"`
	// Share of the cores (StealCPU) or of the responses (ResetConnections); above 0 and at most 1.
	Share float64 `toml:"share,omitempty"`
	// Period of StealCPU: the fault is on for one half of each period and off for the other half; 0: always on.
	Period time.Duration `toml:"every,omitempty"`
	// Tenant whose traffic changes (TrafficBurst).
	Tenant int `toml:"tenant,omitempty"`
	// RateFactor is the factor on the tenant's arrival rate (TrafficBurst).
	RateFactor float64 `toml:"times,omitempty"`
}

// FaultKind is a kind of fault, by its name in scenario files.
type FaultKind string

// The kinds of faults.
const (
	Hang             FaultKind = "hang"       // a node accepts requests and responds to none
	DropResponses    FaultKind = "mute"       // a node serves requests, but its responses are lost
	DropRequests     FaultKind = "deaf"       // requests to a node are lost
	ResetConnections FaultKind = "break"      // a share of a node's responses is lost with their connections
	StealCPU         FaultKind = "steal"      // a share of a node's cores is used by others
	Drain            FaultKind = "drain"      // the list shows a node as draining, then as ready again
	Restart          FaultKind = "restart"    // a node loses its requests, is down for Duration and then warms up
	ListOutage       FaultKind = "silent"     // updates of the list are delayed until the end of the fault
	IncompleteList   FaultKind = "wrong"      // the list omits existing nodes
	StaleList        FaultKind = "stale"      // the list is as it was Duration earlier, and up to date after Duration
	TrafficBurst     FaultKind = "burst"      // a tenant's arrival rate is multiplied
	PowerLoss        FaultKind = "power-cut"  // all nodes and sidecars are down, then start together
	SidecarRestart   FaultKind = "sidecar-up" // all sidecars restart and lose their submissions and state
)

var faultKinds = []FaultKind{
	Hang, DropResponses, DropRequests, ResetConnections, StealCPU, Drain, Restart, ListOutage, IncompleteList, StaleList,
	TrafficBurst, PowerLoss, SidecarRestart,
}
