package fleet

import (
	"time"

	"mothridge/policy"
)

// healthChange is a change of a node's health in the endpoint list.
type healthChange struct {
	at     time.Duration
	node   *node
	health policy.Health
}

// currentHealth returns a node's health in an up-to-date list.
func (sim *simulation) currentHealth(node *node) policy.Health { return sim.healthAt(node, sim.now) }

// healthAt returns the health that an up-to-date list gave for a node at the given time.
func (sim *simulation) healthAt(node *node, at time.Duration) policy.Health {
	health := policy.Ready
	for _, change := range sim.healthChanges {
		if change.node == node && change.at <= at {
			health = change.health
		}
	}
	return health
}

// publishHealth changes a node's health in the list and sends the update to every sidecar, with a separate delay for
// each.
func (sim *simulation) publishHealth(node *node, health policy.Health) {
	sim.healthChanges = append(sim.healthChanges, healthChange{sim.now, node, health})
	for _, sidecar := range sim.sidecars {
		sim.schedule(sim.listDelay(), func() { sidecar.applyHealth(node, health) })
	}
}

// publishList sends a complete list to every sidecar, with a separate delay for each.
func (sim *simulation) publishList(healthOf func(*node) policy.Health) {
	health := make([]policy.Health, len(sim.nodes))
	for i, node := range sim.nodes {
		health[i] = healthOf(node)
	}
	for _, sidecar := range sim.sidecars {
		sim.schedule(sim.listDelay(), func() { sidecar.applyList(health) })
	}
}

// listDelay draws the delay of an update. During a list outage the delay counts from the end of the outage.
func (sim *simulation) listDelay() time.Duration {
	outage := max(0, sim.listOutageUntil-sim.now)
	return outage + time.Duration(sim.listRandom.Float64()*float64(sim.scenario.List.MaxDelay))
}

// cellOf returns the number of the node's cell. The nodes of a cell share their idempotency keys.
func (sim *simulation) cellOf(node *node) int {
	return node.number / max(1, sim.scenario.List.CellSize)
}

// processStart returns the start time of a node's process as listed, on the balancer's clock; 0 means long ago.
func (sim *simulation) processStart(node *node) time.Duration {
	if node.startedAt == 0 && !node.params.StartsCold {
		return 0
	}
	return epoch + node.startedAt
}

// publishedHealth returns the health of all nodes in the current list.
func (sidecar *sidecar) publishedHealth() []policy.Health {
	health := make([]policy.Health, len(sidecar.nodes))
	for i, node := range sidecar.nodes {
		health[i] = sidecar.currentHealth(node)
	}
	return health
}

// applyHealth applies an update of one node. Without a subscription the update is ignored.
func (sidecar *sidecar) applyHealth(node *node, health policy.Health) {
	if sidecar.stopped || !sidecar.subscribed {
		return
	}
	if sidecar.membershipSet != nil {
		sidecar.applyDelta(node, health)
		return
	}
	update := []policy.Endpoint{sidecar.endpointOf(node, health)}
	sidecar.balancer.EndpointsUpdated(sidecar.clockTime(), policy.DeltaUpdate, update)
}

// applyList applies a complete list.
func (sidecar *sidecar) applyList(health []policy.Health) {
	if sidecar.stopped {
		return
	}
	if sidecar.membershipSet != nil {
		sidecar.replaceList(health)
		return
	}
	var list []policy.Endpoint
	for i, node := range sidecar.nodes {
		endpoint := sidecar.endpointOf(node, health[i])
		if health[i] != policy.Removed {
			list = append(list, endpoint)
		}
	}
	sidecar.balancer.EndpointsUpdated(sidecar.clockTime(), policy.FullUpdate, list)
}

// endpointOf returns a node as an endpoint for the balancer. It is used without the membership module.
func (sidecar *sidecar) endpointOf(node *node, health policy.Health) policy.Endpoint {
	id := policy.EndpointID(node.number + 1)
	sidecar.recordDraining(id, health)
	return policy.Endpoint{
		ID:        id,
		Cell:      sidecar.cellOf(node),
		Weight:    sidecar.scenario.NodeCapacity(node.number),
		Health:    health,
		StartedAt: sidecar.processStart(node),
	}
}

// recordDraining records since when the sidecar knows that an endpoint is draining or removed.
func (sidecar *sidecar) recordDraining(id policy.EndpointID, health policy.Health) {
	since := &sidecar.endpoints[id-1].drainingSince
	switch {
	case health == policy.Ready:
		*since = 0
	case *since == 0:
		*since = max(1, sidecar.now)
	}
}
