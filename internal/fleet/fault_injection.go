package fleet

import (
	"math"

	"mothridge/policy"
)

// injectFault starts a fault and schedules its end.
func (sim *simulation) injectFault(fault Fault) {
	switch fault.Kind {
	case ListOutage:
		sim.beginListOutage(fault)
	case StaleList:
		sim.publishList(func(node *node) policy.Health { return sim.healthAt(node, sim.now-fault.Duration) })
		sim.scheduleEnd(fault, func() { sim.publishList(sim.currentHealth) })
	case IncompleteList:
		sim.publishIncompleteList(sim.affectedNodes(fault))
		sim.scheduleEnd(fault, func() { sim.publishList(sim.currentHealth) })
	case TrafficBurst:
		sim.rateFactors[fault.Tenant] = fault.RateFactor
		sim.scheduleEnd(fault, func() { sim.rateFactors[fault.Tenant] = 1 })
	case PowerLoss:
		sim.losePower(fault)
	case SidecarRestart:
		sim.restartSidecars()
	case Hang, DropResponses, DropRequests, ResetConnections, StealCPU, Drain, Restart:
		for _, node := range sim.affectedNodes(fault) {
			sim.injectNodeFault(node, fault)
		}
	}
}

// scheduleEnd schedules a function for the end of a fault. A fault without a duration has no end.
func (sim *simulation) scheduleEnd(fault Fault, end func()) {
	if fault.Duration > 0 {
		sim.schedule(fault.Duration, end)
	}
}

// affectedNodes returns the node of a fault, or draws nodes if the fault has a NodeShare. The name of the random
// stream determines the drawn nodes, so it must not change.
func (sim *simulation) affectedNodes(fault Fault) []*node {
	if fault.NodeShare <= 0 {
		return []*node{sim.nodes[fault.Node]}
	}
	random := randomStream(sim.scenario.Seed, "troubles "+string(fault.Kind), int(fault.Start))
	count := int(math.Round(fault.NodeShare * float64(len(sim.nodes))))
	var affected []*node
	for _, number := range random.Perm(len(sim.nodes))[:count] {
		affected = append(affected, sim.nodes[number])
	}
	return affected
}

// beginListOutage delays all updates until the end of the outage. Sidecars that watch the list lose the watch.
func (sim *simulation) beginListOutage(fault Fault) {
	sim.listOutageUntil = sim.now + fault.Duration
	for _, sidecar := range sim.sidecars {
		sidecar.subscribed = !sim.scenario.List.WatchRequired
		if !sidecar.stopped {
			sidecar.balancer.EndpointsUpdated(sidecar.clockTime(), policy.FailedUpdate, nil)
		}
	}
}

func (sim *simulation) publishIncompleteList(omitted []*node) {
	isOmitted := make(map[*node]bool)
	for _, node := range omitted {
		isOmitted[node] = true
	}
	sim.publishList(func(node *node) policy.Health {
		if isOmitted[node] {
			return policy.Removed
		}
		return sim.currentHealth(node)
	})
}

// losePower stops all sidecars and nodes and starts them together at the end of the fault.
func (sim *simulation) losePower(fault Fault) {
	for _, sidecar := range sim.sidecars {
		if !sidecar.stopped {
			sidecar.stop()
		}
	}
	for _, node := range sim.nodes {
		node.restart(false)
	}
	sim.schedule(fault.Duration, sim.restorePower)
}

func (sim *simulation) restorePower() {
	for _, node := range sim.nodes {
		node.restart(true)
	}
	for _, sidecar := range sim.sidecars {
		if sidecar.stopped { // otherwise the end of an overlapping power loss has already restarted the sidecar
			sidecar.restart()
		}
	}
}

// restartSidecars restarts all running sidecars.
func (sim *simulation) restartSidecars() {
	for _, sidecar := range sim.sidecars {
		if !sidecar.stopped {
			sidecar.stop()
			sidecar.restart()
		}
	}
}

// injectNodeFault starts a fault of one node and schedules its end.
func (sim *simulation) injectNodeFault(node *node, fault Fault) {
	set := func(begin, end func()) {
		node.change(begin)
		sim.scheduleEnd(fault, func() { node.change(end) })
	}
	switch fault.Kind {
	case Hang:
		set(func() { node.hanging = true }, func() { node.hanging = false })
	case DropResponses:
		set(func() { node.dropsResponses = true }, func() { node.dropsResponses = false })
	case DropRequests:
		set(func() { node.dropsRequests = true }, func() { node.dropsRequests = false })
	case ResetConnections:
		set(func() { node.resetShare = fault.Share }, func() { node.resetShare = 0 })
	case StealCPU:
		set(func() { node.stolenShare = fault.Share }, func() { node.stolenShare = 0 })
		sim.alternateStealing(node, fault)
	case Drain:
		sim.publishHealth(node, policy.Draining)
		sim.scheduleEnd(fault, func() { sim.publishHealth(node, policy.Ready) })
	case Restart:
		sim.restartNode(node, fault)
	default: // not a fault of a single node
	}
}

// alternateStealing turns a StealCPU fault off and on again, every half period until the end of the fault.
func (sim *simulation) alternateStealing(node *node, fault Fault) {
	if fault.Period <= 0 {
		return
	}
	end := sim.now + fault.Duration
	var alternate func()
	alternate = func() {
		ended := fault.Duration > 0 && sim.now >= end
		if ended || sim.now > sim.scenario.Duration {
			return
		}
		share := fault.Share
		if node.stolenShare > 0 {
			share = 0
		}
		node.change(func() { node.stolenShare = share })
		sim.schedule(fault.Period/2, alternate)
	}
	sim.schedule(fault.Period/2, alternate)
}

// restartNode restarts a node's process at once if the fault has no duration. Otherwise the node is down for the
// duration of the fault.
func (sim *simulation) restartNode(node *node, fault Fault) {
	start := func() {
		node.restart(true)
		sim.publishHealth(node, policy.Ready)
	}
	if fault.Duration == 0 {
		start()
		return
	}
	node.restart(false)
	sim.publishHealth(node, policy.Removed)
	sim.scheduleEnd(fault, start)
}
