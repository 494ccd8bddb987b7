package fleet

import "time"

// SingleNode is one node of the model without a simulation. The caller supplies the time, so that the node can also
// serve requests on a real socket. A SingleNode is not safe for concurrent use.
type SingleNode struct {
	events eventQueue
	node   node
}

// NewSingleNode returns a node at full speed, or a node that starts to warm up if StartsCold is set in the parameters.
func NewSingleNode(params NodeParams) *SingleNode {
	single := &SingleNode{}
	single.node.events, single.node.params = &single.events, params
	return single
}

// Advance processes all events up to now, the time since the node's start. Later calls must not pass an earlier time.
// Advance returns the time of the next event; due is false if there is no event.
func (single *SingleNode) Advance(now time.Duration) (next time.Duration, due bool) {
	for single.events.processNext(now) {
	}
	single.events.now = max(single.events.now, now)
	if len(single.events.heap) == 0 {
		return 0, false
	}
	return single.events.heap[0].at, true
}

// Submit adds work to the node, as time on a core of speed 1. Call Advance first. Submit reports false if the node
// rejects the work. Otherwise done is called once, during a later call of a method: with true if the work is complete,
// with false if the node has lost it.
func (single *SingleNode) Submit(work time.Duration, done func(ok bool)) bool {
	return single.node.accept(&job{owner: jobEndedFunc(done)}, work.Seconds())
}

// BeginFault starts a fault, which EndFault ends. Faults other than Hang, StealCPU and Restart have no effect.
func (single *SingleNode) BeginFault(fault Fault) {
	node := &single.node
	switch fault.Kind {
	case Hang:
		node.change(func() { node.hanging = true })
	case StealCPU:
		node.change(func() { node.stolenShare = fault.Share })
	case Restart:
		node.restart(true)
	default: // not a fault of a node without a simulation
	}
}

// EndFault ends a fault that BeginFault started.
func (single *SingleNode) EndFault(fault Fault) {
	node := &single.node
	switch fault.Kind {
	case Hang:
		node.change(func() { node.hanging = false })
	case StealCPU:
		node.change(func() { node.stolenShare = 0 })
	default: // faults without an end
	}
}
