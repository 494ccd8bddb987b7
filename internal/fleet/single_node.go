package fleet

import "time"

// SingleNode is one node of the model by itself. Its caller supplies the time, so that the same node can serve on
// a real socket. It is not safe for concurrent use.
type SingleNode struct {
	events eventQueue
	node   node
}

// NewSingleNode returns a node that is warm, or starts to warm up if the parameters say StartsCold.
func NewSingleNode(params NodeParams) *SingleNode {
	single := &SingleNode{}
	single.node.events, single.node.params = &single.events, params
	return single
}

// Advance processes all events up to now, a time since the node's start that does not go back. It returns the time
// of the next event; due is false if there is none.
func (single *SingleNode) Advance(now time.Duration) (next time.Duration, due bool) {
	for single.events.processNext(now) {
	}
	single.events.now = max(single.events.now, now)
	if len(single.events.heap) == 0 {
		return 0, false
	}
	return single.events.heap[0].at, true
}

// Submit gives the node work, in time on a core of speed 1, after a call of Advance. It reports false if the node
// rejects it. Otherwise done is called once, from within a later call: with false if the node lost the work.
func (single *SingleNode) Submit(work time.Duration, done func(ok bool)) bool {
	return single.node.accept(&job{owner: jobEndedFunc(done)}, work.Seconds())
}

// BeginFault begins a fault, which EndFault ends. Faults other than Hang, StealCPU and Restart have no effect.
func (single *SingleNode) BeginFault(fault Fault) {
	node := &single.node
	switch fault.Kind {
	case Hang:
		node.change(func() { node.hanging = true })
	case StealCPU:
		node.change(func() { node.stolenShare = fault.Share })
	case Restart:
		node.restart(true)
	default: // not a fault of a node by itself
	}
}

// EndFault ends what BeginFault began.
func (single *SingleNode) EndFault(fault Fault) {
	node := &single.node
	switch fault.Kind {
	case Hang:
		node.change(func() { node.hanging = false })
	case StealCPU:
		node.change(func() { node.stolenShare = 0 })
	default: // it has no end
	}
}
