package fleet

import (
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// sidecar is a balancer with the clients beside it. It is the balancer's Host.
type sidecar struct {
	*run
	number   int
	b        decider
	clock    *rand.Rand // of arrivals
	requests map[policy.RequestID]*request
	wake     *event
	drained  []time.Duration // when it heard that a node drains; 0: it does not
}

// request is one try of a client.
type request struct {
	id       policy.RequestID
	effects  *int  // how often an unsafe one may have run, over all tries of its client
	ran      []ran // where and when a keyed one did
	class    int
	tenant   int
	try      int
	work     float64
	asked    time.Duration // the client's first try
	began    time.Duration // this one
	until    time.Duration // the client waits for this long
	attempts []*attempt
	answered bool
	deadline *event
}

// ran is an effect of a keyed request: the nodes of a cell drop its repeats for a while.
type ran struct {
	cell int
	at   time.Duration
}

type attempt struct {
	number  int
	job     *job
	at      *node
	over    bool
	timeout *event
}

func newSidecar(r *run, number int) (*sidecar, error) {
	c := &sidecar{run: r, number: number, clock: stream(r.s.Seed, "arrivals", number), requests: make(map[policy.RequestID]*request), drained: make([]time.Duration, r.s.Nodes)}
	cfg := policy.Config{
		Balancers: r.s.Sidecars, Tenants: r.s.Tenants, Slots: r.s.Slots, MaxAttempts: r.s.Attempts, MayCancel: true, MaxRetryAfter: r.s.MaxPause,
		MarksRepeat: true, ColdFrom: r.s.Node.ColdFrom, ColdTime: r.s.Node.ColdTime, ColdMultiple: r.s.Node.ColdMultiple,
	}
	for _, k := range r.s.Classes {
		cfg.Classes = append(cfg.Classes, policy.Class{Aim: k.Aim, Deadline: k.Deadline, Worth: 1, Effect: k.Effect, Scope: k.Scope, Window: k.Window})
	}
	var err error
	if c.b, err = r.s.Policy.decider(cfg, r.s.Seed+uint64(number), c); err != nil {
		return nil, err
	}
	c.b.Start(epoch)
	var list []policy.Server
	for _, n := range r.nodes {
		list = append(list, c.entry(n, policy.Ready))
	}
	c.b.List(epoch, policy.ListFull, list)
	return c, nil
}

func (c *sidecar) entry(n *node, state policy.State) policy.Server {
	s := policy.Server{ID: policy.ServerID(n.number + 1), Cell: -n.number, Weight: n.p.Speed * float64(n.p.Cores), State: state}
	if n.started > 0 || n.p.Fresh {
		s.Started = epoch + n.started
	}
	return s
}

// hear takes news of a node.
func (c *sidecar) hear(n *node, state policy.State) {
	c.drained[n.number] = 0
	if state != policy.Ready {
		c.drained[n.number] = c.now
	}
	c.b.List(c.time(), policy.ListDelta, []policy.Server{c.entry(n, state)})
}

func (c *sidecar) time() time.Duration { return epoch + c.now }

// arrivals lets requests come, as a Poisson stream.
func (c *sidecar) arrivals() {
	rate := c.s.Rate / float64(c.s.Sidecars)
	c.after(time.Duration(c.clock.ExpFloat64()/rate*float64(time.Second)), func() {
		if c.now > c.s.Duration {
			return
		}
		c.result.First++
		x := &request{effects: new(int), asked: c.now}
		x.class = draw(c.pick, len(c.s.Classes), func(i int) float64 { return c.s.Classes[i].Share })
		if n := len(c.s.Tenants); n > 0 {
			x.tenant = draw(c.pick, n, func(i int) float64 { return c.s.Tenants[i].Share })
		}
		k := &c.s.Classes[x.class]
		x.work, x.until = k.Work.Seconds(), k.Deadline
		if !k.Fixed {
			x.work *= c.pick.ExpFloat64()
		}
		c.ask(x)
		c.arrivals()
	})
}

// ask sends one try to the balancer.
func (c *sidecar) ask(x *request) {
	c.lastID++
	x.id, x.began = c.lastID, c.now
	x.try++
	c.result.Asked++
	c.open++
	c.requests[x.id] = x
	x.deadline = c.after(x.until+slack, func() {
		c.breach("rule 1: request %d of sidecar %d has no answer before its deadline", x.id, c.number)
		c.result.Failed++ // for its client
		c.answer(x)
		c.b.ClientGone(c.time(), x.id)
	})
	c.b.Request(c.time(), policy.Request{ID: x.id, Class: x.class, Tenant: x.tenant, Left: x.until, Repeat: x.try > 1})
}

// answer gives a try its one answer.
func (c *sidecar) answer(x *request) {
	if x.answered {
		c.breach("rule 1: request %d of sidecar %d has a second answer", x.id, c.number)
		return
	}
	x.answered = true
	c.open--
	c.cancel(x.deadline)
	c.forget(x)
}

// forget lets a request go that has its answer and no attempt out.
func (c *sidecar) forget(x *request) {
	if !x.answered {
		return
	}
	for _, a := range x.attempts {
		if !a.over {
			return
		}
	}
	delete(c.requests, x.id)
}

// end ends an attempt once.
func (c *sidecar) end(x *request, a *attempt, ending policy.Ending) {
	if a.over {
		return
	}
	a.over = true
	c.cancelEvent(a)
	settled := x.answered
	if ending == policy.Served && !x.answered {
		settled = true
		took := c.now - x.began
		c.result.Served++
		aim := c.s.Classes[x.class].Aim
		if took <= aim {
			c.result.InTime++
		}
		if c.now-x.asked <= aim {
			c.result.Good++
		}
		c.result.Latency.RecordValue(took.Microseconds())
		c.answer(x)
	}
	c.forget(x)
	c.b.Outcome(c.time(), policy.Outcome{ID: x.id, Attempt: a.number, Ending: ending, Settled: settled})
}

func (c *sidecar) cancelEvent(a *attempt) {
	c.cancel(a.timeout)
	a.timeout = nil
}

// Send starts an attempt.
func (c *sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	x := c.requests[id]
	if x == nil {
		c.breach("sidecar %d sends request %d, which has ended", c.number, id)
		return
	}
	n := c.nodes[to-1]
	a := &attempt{number: len(x.attempts), at: n}
	x.attempts = append(x.attempts, a)
	if at := c.drained[n.number]; at > 0 && c.now > at+drainWithin+slack {
		c.breach("rule 3: sidecar %d sends request %d to node %d, %v after it heard that it drains", c.number, id, n.number, c.now-at)
	}
	if timeout > 0 {
		a.timeout = c.after(timeout, func() { c.giveUp(x, a, policy.TimedOut) })
	}
	c.after(c.delay(), func() { c.reach(x, a) })
}

// reach is when an attempt has come to its node.
func (c *sidecar) reach(x *request, a *attempt) {
	if a.over {
		return // given up on its way
	}
	n := a.at
	c.arrive(n, x.work)
	if n.down {
		c.after(c.delay(), func() { c.end(x, a, policy.NoConnection) })
		return
	}
	a.job = n.take(x.work, func(ok bool) {
		c.after(c.delay(), func() {
			if ok {
				c.end(x, a, policy.Served)
			} else {
				c.end(x, a, policy.Broken)
			}
		})
	})
	if a.job == nil {
		c.after(c.delay(), func() { c.end(x, a, policy.TurnedAway) })
		return
	}
	c.effect(x, n)
}

// effect checks the second rule where a request's effect may run from now on.
func (c *sidecar) effect(x *request, n *node) {
	k := &c.s.Classes[x.class]
	times := 0
	switch k.Effect {
	case policy.Unsafe:
		*x.effects++
		times = *x.effects
	case policy.Keyed:
		cell := n.number // each node is one of its own
		if k.Scope == policy.ScopeAll {
			cell = 0
		}
		for _, r := range x.ran {
			if r.cell == cell && c.now-r.at <= k.Window {
				return // a repeat, dropped
			}
		}
		x.ran = append(x.ran, ran{cell, c.now})
		times = len(x.ran)
	}
	if times > 1 {
		c.breach("rule 2: request %d of sidecar %d may run a second time, at node %d", x.id, c.number, n.number)
	}
}

// giveUp ends an attempt that nobody waits for; its node hears of it later.
func (c *sidecar) giveUp(x *request, a *attempt, ending policy.Ending) {
	if a.over {
		return
	}
	if a.job != nil {
		c.after(c.delay(), func() { a.at.drop(a.job) })
	}
	c.end(x, a, ending)
}

// Refuse tells the client that trying again is harmless; it may.
func (c *sidecar) Refuse(id policy.RequestID, pause time.Duration) {
	x := c.requests[id]
	if x == nil || x.answered {
		c.breach("rule 1: sidecar %d refuses request %d, which has its answer", c.number, id)
		return
	}
	c.result.Refused++
	c.answer(x)
	left := x.until - (c.now - x.began) - pause
	if x.try >= c.s.Tries || left <= 0 {
		return
	}
	again := &request{effects: x.effects, class: x.class, tenant: x.tenant, try: x.try, work: x.work, asked: x.asked, until: left}
	c.open++ // the client goes on waiting
	c.after(pause, func() {
		c.open--
		c.ask(again)
	})
}

// Fail answers without a promise.
func (c *sidecar) Fail(id policy.RequestID) {
	x := c.requests[id]
	if x == nil || x.answered {
		c.breach("rule 1: sidecar %d fails request %d, which has its answer", c.number, id)
		return
	}
	c.result.Failed++
	c.answer(x)
}

// Cancel gives an attempt up.
func (c *sidecar) Cancel(id policy.RequestID, number int) {
	if x := c.requests[id]; x != nil && number < len(x.attempts) {
		a := x.attempts[number]
		c.after(0, func() { c.giveUp(x, a, policy.Cancelled) }) // not within the balancer's own call
	}
}

// Wake arms the one timer.
func (c *sidecar) Wake(d time.Duration) {
	c.cancel(c.wake)
	c.wake = c.after(d, func() {
		c.wake = nil
		c.b.Wake(c.time())
	})
}

// Probe is not asked for: nodes of the model tell no load.
func (c *sidecar) Probe(policy.ServerID) {}

// WatchList is not asked for: the list is pushed.
func (c *sidecar) WatchList() {}
