package fleet

import (
	"fmt"
	"time"

	"mothridge/membership"
	"mothridge/policy"
)

// cell is the group of nodes that remember keys in common.
func (sim *simulation) cellOf(n *node) int { return n.number / max(1, sim.scenario.List.CellSize) }

// hear takes news of a node.
func (c *sidecar) applyHealth(n *node, state policy.Health) {
	if c.stopped || !c.subscribed {
		return
	}
	if c.membershipSet != nil {
		d := membership.Delta{Instance: c.instanceOf(n, state)}
		if state == policy.Removed {
			d.Op = membership.Delete
		}
		c.applyMembership(c.membershipSet.ApplyDelta(c.clockTime(), 0, "", []membership.Delta{d}))
		return
	}
	c.balancer.EndpointsUpdated(c.clockTime(), policy.DeltaUpdate, []policy.Endpoint{c.endpointOf(n, state)})
}

// hearAll takes a whole list.
func (c *sidecar) applyList(states []policy.Health) {
	if c.stopped {
		return
	}
	if c.membershipSet != nil {
		var list []membership.Instance
		for i, n := range c.nodes {
			if states[i] != policy.Removed {
				list = append(list, c.instanceOf(n, states[i]))
			}
		}
		changes, err := c.membershipSet.ReplaceList(c.clockTime(), 0, "", list)
		if err != nil {
			c.reportViolation("sidecar %d does not take the list: %v", c.number, err)
		}
		c.applyMembership(changes)
		return
	}
	var list []policy.Endpoint
	for i, n := range c.nodes {
		if e := c.endpointOf(n, states[i]); states[i] != policy.Removed {
			list = append(list, e)
		}
	}
	c.balancer.EndpointsUpdated(c.clockTime(), policy.FullUpdate, list)
}

// entry is a line of the list for the balancer, where the list comes straight to it.
func (c *sidecar) endpointOf(n *node, state policy.Health) policy.Endpoint {
	return policy.Endpoint{
		ID: c.noteHealth(policy.EndpointID(n.number+1), state), Cell: c.cellOf(n), Weight: c.scenario.NodeCapacity(n.number), Health: state, StartedAt: c.processStart(n),
	}
}

// began is when the list says that a node's process started, by the balancer's
// clock; 0 stands for long ago.
func (sim *simulation) processStart(n *node) time.Duration {
	if n.startedAt == 0 && !n.params.StartsCold {
		return 0
	}
	return epoch + n.startedAt
}

// name gives a key its id.
func (c *sidecar) endpointID(key string, n *node) policy.EndpointID {
	id, known := c.endpointIDs[key]
	if !known {
		c.endpoints = append(c.endpoints, sidecarEndpoint{node: n})
		id = policy.EndpointID(len(c.endpoints))
		c.endpointIDs[key] = id
	}
	return id
}

// heard notes since when an id is known to drain.
func (c *sidecar) noteHealth(id policy.EndpointID, state policy.Health) policy.EndpointID {
	drained := &c.endpoints[id-1].drainingSince
	switch {
	case state == policy.Ready:
		*drained = 0
	case *drained == 0:
		*drained = max(1, c.now)
	}
	return id
}

// instance is a node as a registry lists it.
func (c *sidecar) instanceOf(n *node, state policy.Health) membership.Instance {
	i := membership.Instance{
		ID: fmt.Sprint("node-", n.number), Name: fmt.Sprint("node-", n.number), Addr: fmt.Sprint(n.number), Cell: fmt.Sprint(c.cellOf(n)), Weight: c.scenario.NodeCapacity(n.number),
		StartedAt: c.processStart(n), Updated: int64(c.now),
	}
	if state == policy.Draining {
		i.Status = membership.OutOfService
	}
	return i
}

// apply passes on what the membership module makes of the news.
func (c *sidecar) applyMembership(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	states := [...]policy.Health{membership.Removed: policy.Removed, membership.Draining: policy.Draining, membership.Ready: policy.Ready}
	entries := make([]policy.Endpoint, 0, len(changes))
	for _, x := range changes {
		var number int
		fmt.Sscan(x.Addr, &number)
		n := c.nodes[number]
		cell := c.cellOf(n)
		if x.Cell == "" { // it shares its keys with no other: numbers that no cell has
			cell = -1 - len(c.endpoints)
		}
		entries = append(entries, policy.Endpoint{
			ID: c.noteHealth(c.endpointID(x.Key, n), states[x.State]), Cell: cell, Weight: x.Weight, Health: states[x.State], StartedAt: x.StartedAt,
		})
	}
	c.balancer.EndpointsUpdated(c.clockTime(), policy.DeltaUpdate, entries)
}

// link is a sidecar's connections to a node that wait for a request, newest last.
type connectionPool struct {
	sim         *simulation
	node        *node
	incarnation int
	idleSince   []time.Duration // since when
	sweepTimer  timer
}

// linkTo gives the connections to a node's present process; nil where they are
// not modelled.
func (c *sidecar) poolTo(n *node) *connectionPool {
	if c.pools == nil {
		return nil
	}
	l := c.pools[n.number]
	if l == nil {
		l = &connectionPool{sim: c.simulation, node: n}
		c.pools[n.number] = l
	}
	if l.incarnation != n.incarnation {
		l.incarnation, l.idleSince = n.incarnation, l.idleSince[:0]
	}
	return l
}

// rest takes a connection back after an answer.
func (pool *connectionPool) putIdle() {
	pool.idleSince = append(pool.idleSince, pool.sim.now)
	if d := pool.sim.scenario.Network.IdleTimeout; d > 0 && !pool.sweepTimer.pending() {
		pool.sweepTimer = pool.sim.scheduleEvent(d, pool, 0)
	}
}

// act closes what has been idle for too long.
func (pool *connectionPool) handleEvent(eventKind) {
	if pool.incarnation != pool.node.incarnation {
		return
	}
	n, d := 0, pool.sim.scenario.Network.IdleTimeout
	for n < len(pool.idleSince) && pool.idleSince[n]+d <= pool.sim.now {
		n++
	}
	pool.node.connections -= n
	pool.idleSince = append(pool.idleSince[:0], pool.idleSince[n:]...)
	if len(pool.idleSince) > 0 {
		pool.sweepTimer = pool.sim.scheduleEvent(pool.idleSince[0]+d-pool.sim.now, pool, 0)
	}
}
