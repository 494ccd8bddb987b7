package fleet

import "time"

// Fault is a fault to inject.
type Fault struct {
	// Kind of the fault.
	Kind FaultKind `toml:"kind"`
	// Start of the fault, from the start of the run.
	Start time.Duration `toml:"at"`
	// Duration of the fault; 0: it does not end.
	Duration time.Duration `toml:"for,omitempty"`
	// Node is the number of the node that is affected.
	Node int `toml:"node,omitempty"`
	// NodeShare of the nodes, drawn by the seed, are affected in place of Node; 0: Node decides.
	NodeShare float64 `toml:"of,omitempty"`
	// Share of the cores (StealCPU) or of the responses (ResetConnections), above 0, 1 at most.
	Share float64 `toml:"share,omitempty"`
	// Period of StealCPU: on for one half of it, off for the other; 0: always on.
	Period time.Duration `toml:"every,omitempty"`
	// Tenant whose traffic changes (TrafficBurst).
	Tenant int `toml:"tenant,omitempty"`
	// RateFactor on the tenant's arrival rate (TrafficBurst).
	RateFactor float64 `toml:"times,omitempty"`
}

// FaultKind is a kind of Fault.
type FaultKind string

// The kinds of faults.
const (
	Hang             FaultKind = "hang"       // a node accepts requests and responds to none
	DropResponses    FaultKind = "mute"       // a node serves requests, but its responses are lost
	DropRequests     FaultKind = "deaf"       // requests to a node are lost
	ResetConnections FaultKind = "break"      // a share of a node's responses is lost with their connections
	StealCPU         FaultKind = "steal"      // a share of a node's cores is used by others
	Drain            FaultKind = "drain"      // the list has a node as draining, then as ready again
	Restart          FaultKind = "restart"    // a node loses its requests, is down for Duration and warms up
	ListOutage       FaultKind = "silent"     // updates of the list are held back until the end
	IncompleteList   FaultKind = "wrong"      // the list leaves out nodes that exist
	StaleList        FaultKind = "stale"      // the list is as it was Duration before, and right after Duration
	TrafficBurst     FaultKind = "burst"      // a tenant's arrival rate is multiplied
	PowerLoss        FaultKind = "power-cut"  // all nodes and sidecars are down, then start together
	SidecarRestart   FaultKind = "sidecar-up" // all sidecars restart; what they held is lost
)

var faultKinds = []FaultKind{
	Hang, DropResponses, DropRequests, ResetConnections, StealCPU, Drain, Restart, ListOutage, IncompleteList, StaleList,
	TrafficBurst, PowerLoss, SidecarRestart,
}
