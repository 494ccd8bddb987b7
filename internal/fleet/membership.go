package fleet

import (
	"fmt"

	"mothridge/membership"
	"mothridge/policy"
)

// membershipSource is the index of the membership module's only source.
const membershipSource = 0

// applyDelta passes an update of one node through the membership module.
func (sidecar *sidecar) applyDelta(node *node, health policy.Health) {
	delta := membership.Delta{Instance: sidecar.instanceOf(node, health)}
	if health == policy.Removed {
		delta.Op = membership.Delete
	}
	deltas := []membership.Delta{delta}
	sidecar.applyMembership(sidecar.membershipSet.ApplyDelta(sidecar.clockTime(), membershipSource, "", deltas))
}

// replaceList passes a complete list through the membership module.
func (sidecar *sidecar) replaceList(health []policy.Health) {
	var list []membership.Instance
	for i, node := range sidecar.nodes {
		if health[i] != policy.Removed {
			list = append(list, sidecar.instanceOf(node, health[i]))
		}
	}
	changes, err := sidecar.membershipSet.ReplaceList(sidecar.clockTime(), membershipSource, "", list)
	if err != nil {
		sidecar.reportViolation("sidecar %d: the membership module returned an error for the list: %v",
			sidecar.number, err)
	}
	sidecar.applyMembership(changes)
}

// tickMembership passes the current time to the membership module, and tells it that its source responds unless there
// is a list outage.
func (sidecar *sidecar) tickMembership() {
	if sidecar.now >= sidecar.listOutageUntil {
		sidecar.applyMembership(sidecar.membershipSet.SourceResponded(sidecar.clockTime(), membershipSource))
	}
	sidecar.applyMembership(sidecar.membershipSet.Tick(sidecar.clockTime()))
}

// instanceOf returns a node as a registry lists it. The address of the instance is the node's number.
func (sidecar *sidecar) instanceOf(node *node, health policy.Health) membership.Instance {
	name := fmt.Sprint("node-", node.number)
	instance := membership.Instance{
		ID:          name,
		Name:        name,
		Addr:        fmt.Sprint(node.number),
		Cell:        fmt.Sprint(sidecar.cellOf(node)),
		Weight:      sidecar.scenario.NodeCapacity(node.number),
		StartedAt:   sidecar.processStart(node),
		LastUpdated: int64(sidecar.now),
	}
	if health == policy.Draining {
		instance.Status = membership.OutOfService
	}
	return instance
}

// healthOfState maps the membership module's states to health values of the endpoint list.
var healthOfState = [...]policy.Health{
	membership.Removed:  policy.Removed,
	membership.Draining: policy.Draining,
	membership.Ready:    policy.Ready,
}

// applyMembership passes the membership module's changes to the balancer.
func (sidecar *sidecar) applyMembership(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	endpoints := make([]policy.Endpoint, 0, len(changes))
	for _, change := range changes {
		endpoints = append(endpoints, sidecar.changedEndpoint(change))
	}
	sidecar.balancer.EndpointsUpdated(sidecar.clockTime(), policy.DeltaUpdate, endpoints)
}

func (sidecar *sidecar) changedEndpoint(change membership.Change) policy.Endpoint {
	var number int
	if _, err := fmt.Sscan(change.Addr, &number); err != nil {
		panic(err) // unreachable: instanceOf wrote the address
	}
	node := sidecar.nodes[number]
	cell := sidecar.cellOf(node)
	if change.Cell == "" { // the endpoint shares its keys with no other: use a number that no cell has
		cell = -1 - len(sidecar.endpoints)
	}
	id, health := sidecar.endpointID(change.Key, node), healthOfState[change.State]
	sidecar.recordDraining(id, health)
	return policy.Endpoint{ID: id, Cell: cell, Weight: change.Weight, Health: health, StartedAt: change.StartedAt}
}

// endpointID returns the endpoint ID of a membership key. A new key gets a new ID.
func (sidecar *sidecar) endpointID(key string, node *node) policy.EndpointID {
	id, found := sidecar.endpointIDs[key]
	if !found {
		sidecar.endpoints = append(sidecar.endpoints, sidecarEndpoint{node: node})
		id = policy.EndpointID(len(sidecar.endpoints))
		sidecar.endpointIDs[key] = id
	}
	return id
}
