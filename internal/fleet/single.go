package fleet

import "time"

// Single is one node of the model by itself, for whoever has a clock: the same
// node answers over a real socket that way. It is not safe for concurrent use.
type Single struct {
	engine engine
	node   node
}

// NewSingle makes a node that is warm, or cold where the parameters say Fresh.
func NewSingle(p NodeParams) *Single {
	s := &Single{}
	s.node.engine, s.node.p = &s.engine, p
	return s
}

// Advance lets all come that is due by now, and says when something is due
// next; false: nothing is. Time does not go back.
func (s *Single) Advance(now time.Duration) (next time.Duration, due bool) {
	for s.engine.step(now) {
	}
	s.engine.now = max(s.engine.now, now)
	if len(s.engine.queue) == 0 {
		return 0, false
	}
	return s.engine.queue[0].at, true
}

// Take gives the node so much work, of a core of speed 1, after Advance; false
// says that it is turned away. Done is called from within a later call, once.
func (s *Single) Take(work time.Duration, done func(ok bool)) bool {
	return s.node.take(&job{owner: whenEnded(done)}, work.Seconds())
}

// Strike lets a trouble of one node begin; End ends it. Only what a node does by
// itself is known here: Hang, Steal and Restart.
func (s *Single) Strike(t Trouble) {
	switch t.Kind {
	case Hang:
		s.node.set(func() { s.node.hangs = true })
	case Steal:
		s.node.set(func() { s.node.stolen = t.Share })
	case Restart:
		s.node.restart(true)
	}
}

// End ends what Strike began.
func (s *Single) End(t Trouble) {
	switch t.Kind {
	case Hang:
		s.node.set(func() { s.node.hangs = false })
	case Steal:
		s.node.set(func() { s.node.stolen = 0 })
	}
}

// Planned is a request that a scenario lets come.
type Planned struct {
	Arrival
	Sidecar int
}

// Plan gives the requests of a scenario, with their times and work, as a run of
// it would let them come; the error says what is wrong with the scenario.
func Plan(s Scenario) ([]Planned, error) {
	r, err := prepare(&s)
	if err != nil {
		return nil, err
	}
	var out []Planned
	r.plan = &out
	for _, t := range s.Troubles {
		if t.Kind == Burst {
			r.after(t.At, func() { r.trouble(t) })
		}
	}
	r.arrivals()
	for _, c := range r.sidecars {
		c.off = true
		c.cancel(c.wake)
	}
	r.play()
	return out, nil
}
