package fleet

import (
	"fmt"
	"time"

	"mothridge/membership"
	"mothridge/policy"
)

// cell is the group of nodes that remember keys in common.
func (r *run) cell(n *node) int { return n.number / max(1, r.s.List.Cell) }

// hear takes news of a node.
func (c *sidecar) hear(n *node, state policy.Health) {
	if c.off || !c.told {
		return
	}
	if c.members != nil {
		d := membership.Delta{Instance: c.instance(n, state)}
		if state == policy.Removed {
			d.Op = membership.Delete
		}
		c.apply(c.members.ApplyDelta(c.time(), 0, "", []membership.Delta{d}))
		return
	}
	c.b.EndpointsUpdated(c.time(), policy.DeltaUpdate, []policy.Endpoint{c.entry(n, state)})
}

// hearAll takes a whole list.
func (c *sidecar) hearAll(states []policy.Health) {
	if c.off {
		return
	}
	if c.members != nil {
		var list []membership.Instance
		for i, n := range c.nodes {
			if states[i] != policy.Removed {
				list = append(list, c.instance(n, states[i]))
			}
		}
		changes, err := c.members.ReplaceList(c.time(), 0, "", list)
		if err != nil {
			c.breach("sidecar %d does not take the list: %v", c.number, err)
		}
		c.apply(changes)
		return
	}
	var list []policy.Endpoint
	for i, n := range c.nodes {
		if e := c.entry(n, states[i]); states[i] != policy.Removed {
			list = append(list, e)
		}
	}
	c.b.EndpointsUpdated(c.time(), policy.FullUpdate, list)
}

// entry is a line of the list for the balancer, where the list comes straight to it.
func (c *sidecar) entry(n *node, state policy.Health) policy.Endpoint {
	return policy.Endpoint{
		ID: c.heard(policy.EndpointID(n.number+1), state), Cell: c.cell(n), Weight: c.s.Weight(n.number), Health: state, StartedAt: c.began(n),
	}
}

// began is when the list says that a node's process started, by the balancer's
// clock; 0 stands for long ago.
func (r *run) began(n *node) time.Duration {
	if n.started == 0 && !n.p.Fresh {
		return 0
	}
	return epoch + n.started
}

// name gives a key its id.
func (c *sidecar) name(key string, n *node) policy.EndpointID {
	id, known := c.ids[key]
	if !known {
		c.servers = append(c.servers, server{node: n})
		id = policy.EndpointID(len(c.servers))
		c.ids[key] = id
	}
	return id
}

// heard notes since when an id is known to drain.
func (c *sidecar) heard(id policy.EndpointID, state policy.Health) policy.EndpointID {
	drained := &c.servers[id-1].drained
	switch {
	case state == policy.Ready:
		*drained = 0
	case *drained == 0:
		*drained = max(1, c.now)
	}
	return id
}

// instance is a node as a registry lists it.
func (c *sidecar) instance(n *node, state policy.Health) membership.Instance {
	i := membership.Instance{
		ID: fmt.Sprint("node-", n.number), Name: fmt.Sprint("node-", n.number), Addr: fmt.Sprint(n.number), Cell: fmt.Sprint(c.cell(n)), Weight: c.s.Weight(n.number),
		StartedAt: c.began(n), Updated: int64(c.now),
	}
	if state == policy.Draining {
		i.Status = membership.OutOfService
	}
	return i
}

// apply passes on what the membership module makes of the news.
func (c *sidecar) apply(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	states := [...]policy.Health{membership.Removed: policy.Removed, membership.Draining: policy.Draining, membership.Ready: policy.Ready}
	entries := make([]policy.Endpoint, 0, len(changes))
	for _, x := range changes {
		var number int
		fmt.Sscan(x.Addr, &number)
		n := c.nodes[number]
		cell := c.cell(n)
		if x.Cell == "" { // it shares its keys with no other: numbers that no cell has
			cell = -1 - len(c.servers)
		}
		entries = append(entries, policy.Endpoint{
			ID: c.heard(c.name(x.Key, n), states[x.State]), Cell: cell, Weight: x.Weight, Health: states[x.State], StartedAt: x.StartedAt,
		})
	}
	c.b.EndpointsUpdated(c.time(), policy.DeltaUpdate, entries)
}

// link is a sidecar's connections to a node that wait for a request, newest last.
type link struct {
	run     *run
	node    *node
	process int
	idle    []time.Duration // since when
	sweep   timer
}

// linkTo gives the connections to a node's present process; nil where they are
// not modelled.
func (c *sidecar) linkTo(n *node) *link {
	if c.links == nil {
		return nil
	}
	l := c.links[n.number]
	if l == nil {
		l = &link{run: c.run, node: n}
		c.links[n.number] = l
	}
	if l.process != n.process {
		l.process, l.idle = n.process, l.idle[:0]
	}
	return l
}

// rest takes a connection back after an answer.
func (l *link) rest() {
	l.idle = append(l.idle, l.run.now)
	if d := l.run.s.Network.Idle; d > 0 && !l.sweep.armed() {
		l.sweep = l.run.put(d, l, 0)
	}
}

// act closes what has been idle for too long.
func (l *link) act(what) {
	if l.process != l.node.process {
		return
	}
	n, d := 0, l.run.s.Network.Idle
	for n < len(l.idle) && l.idle[n]+d <= l.run.now {
		n++
	}
	l.node.open -= n
	l.idle = append(l.idle[:0], l.idle[n:]...)
	if len(l.idle) > 0 {
		l.sweep = l.run.put(l.idle[0]+d-l.run.now, l, 0)
	}
}
