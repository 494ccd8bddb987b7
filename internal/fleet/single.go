package fleet

import "time"

// Single is one node of the model by itself, for whoever has a clock: the same
// node answers over a real socket that way. It is not safe for concurrent use.
type SingleNode struct {
	engine eventQueue
	node   node
}

// NewSingle makes a node that is warm, or cold where the parameters say Fresh.
func NewSingleNode(p NodeParams) *SingleNode {
	s := &SingleNode{}
	s.node.events, s.node.params = &s.engine, p
	return s
}

// Advance lets all come that is due by now, and says when something is due
// next; false: nothing is. Time does not go back.
func (s *SingleNode) Advance(now time.Duration) (next time.Duration, due bool) {
	for s.engine.processNext(now) {
	}
	s.engine.now = max(s.engine.now, now)
	if len(s.engine.heap) == 0 {
		return 0, false
	}
	return s.engine.heap[0].at, true
}

// Take gives the node so much work, of a core of speed 1, after Advance; false
// says that it is turned away. Done is called from within a later call, once.
func (s *SingleNode) Submit(work time.Duration, done func(ok bool)) bool {
	return s.node.accept(&job{owner: jobEndedFunc(done)}, work.Seconds())
}

// Strike lets a trouble of one node begin; End ends it. Only what a node does by
// itself is known here: Hang, Steal and Restart.
func (s *SingleNode) BeginFault(t Fault) {
	switch t.Kind {
	case Hang:
		s.node.change(func() { s.node.hanging = true })
	case StealCPU:
		s.node.change(func() { s.node.stolenShare = t.Share })
	case Restart:
		s.node.restart(true)
	}
}

// End ends what Strike began.
func (s *SingleNode) EndFault(t Fault) {
	switch t.Kind {
	case Hang:
		s.node.change(func() { s.node.hanging = false })
	case StealCPU:
		s.node.change(func() { s.node.stolenShare = 0 })
	}
}

// Planned is a request that a scenario lets come.
type PlannedArrival struct {
	Arrival
	Sidecar int
}

// Plan gives the requests of a scenario, with their times and work, as a run of
// it would let them come; the error says what is wrong with the scenario.
func PlanArrivals(s Scenario) ([]PlannedArrival, error) {
	r, err := newSimulation(&s)
	if err != nil {
		return nil, err
	}
	var out []PlannedArrival
	r.plan = &out
	for _, t := range s.Faults {
		if t.Kind == TrafficBurst {
			r.schedule(t.Start, func() { r.injectFault(t) })
		}
	}
	r.startArrivals()
	for _, c := range r.sidecars {
		c.stopped = true
		c.cancel(c.balancerTimer)
	}
	r.processEvents()
	return out, nil
}
