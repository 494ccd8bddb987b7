package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/membership"
	"mothridge/policy"
	"mothridge/quota"
)

// sidecar is a balancer with the clients beside it. It is the balancer's Host.
type sidecar struct {
	*run
	number   int
	life     int // counts its processes
	b        decider
	off      bool
	clock    *rand.Rand // of arrivals
	requests map[policy.RequestID]*request
	wake     timer
	links    []*link

	told    bool            // of the list: it was pushed, or asked for and not lost since
	quota   *quota.Tree     // nil: there are none
	members *membership.Set // nil: news come straight from the list
	ids     map[string]policy.EndpointID
	servers []server // by id, less one
}

// server is what a sidecar knows of an id that it gave to its balancer.
type server struct {
	node    *node
	drained time.Duration // when it heard that it drains or is gone; 0: it does not
}

// start begins a process: it knows what the list says, and nothing else.
func (c *sidecar) start() error {
	s := c.s
	c.requests, c.links = make(map[policy.RequestID]*request), nil
	c.members, c.ids, c.servers = nil, make(map[string]policy.EndpointID), nil
	if s.Network.Handshake > 0 {
		c.links = make([]*link, s.Nodes)
	}
	cfg := policy.Config{
		FleetSize: s.Sidecars, Slots: s.Slots, MaxAttempts: s.Attempts, CancelAllowed: true, MaxRetryAfter: s.Clients.MaxPause, ClientsMarkRetries: true,
		WatchOnRequest: s.List.Asked, WatchRequestWithin: askWithin, ProbesAllowed: s.Probes, ProbeLoadReports: s.Probes, SlowStartInitialShare: s.Node.ColdFrom, SlowStartDuration: s.Node.ColdTime, SlowStartOverloadFactor: s.Node.ColdMultiple,
	}
	for _, k := range s.Classes {
		cfg.Classes = append(cfg.Classes, policy.Class{LatencyObjective: k.Aim, Deadline: k.Deadline, PriorityWeight: 1, Idempotency: policy.Idempotency(k.Effect), DedupScope: policy.DedupScope(k.Scope), DedupWindow: k.Window})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Share: t.Share, Quota: t.Quota})
	}
	var err error
	if c.b, err = s.decider(cfg, s.Seed+uint64(c.number)+uint64(c.life)<<32, c); err != nil {
		return err
	}
	if c.quota, err = s.quotas(); err != nil {
		return err
	}
	if s.List.Membership {
		if c.members, err = membership.New(membership.Config{}, membership.Source{Name: "registry"}); err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		if c.life == 0 { // they go on over a restart
			c.put(time.Second, c, sidecarTicks)
		}
	} else {
		for _, n := range c.nodes {
			c.servers = append(c.servers, server{node: n})
		}
	}
	c.told = !s.List.Asked
	c.b.Start(c.time())
	if c.told {
		c.hearAll(c.states())
	}
	return nil
}

// states are all nodes as the list has them now.
func (c *sidecar) states() []policy.Health {
	states := make([]policy.Health, len(c.nodes))
	for i, n := range c.nodes {
		states[i] = c.stateNow(n)
	}
	return states
}

// stop ends the process: what it held is lost for its clients.
func (c *sidecar) stop() {
	ids := make([]policy.RequestID, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids) // never in the order of a map
	for _, id := range ids {
		x := c.requests[id]
		for _, a := range x.attempts {
			c.abandon(a)
		}
		if !x.answered {
			if c.watched(x) {
				c.note(x, "its sidecar ended")
			}
			c.lose(x)
		}
	}
	c.requests, c.off = make(map[policy.RequestID]*request), true
	c.cancel(c.wake)
}

// lose is for a try whose sidecar is no more.
func (c *sidecar) lose(x *request) {
	c.result.Lost++
	c.answer(x)
	if c.s.Classes[x.class].Effect == Effect(policy.Idempotent) {
		c.again(x, c.pause(x))
	}
}

// restart begins another process in the place of one that ended.
func (c *sidecar) restart() {
	c.off = false
	c.life++
	if err := c.start(); err != nil {
		panic(err) // the same settings were good before
	}
}

func (c *sidecar) time() time.Duration { return epoch + c.now }

// The events of a sidecar.
const (
	sidecarWakes what = iota // its balancer's timer
	sidecarTicks             // the membership module's
)

func (c *sidecar) act(w what) {
	switch {
	case c.off:
	case w == sidecarWakes:
		c.b.TimerFired(c.time())
	case w == sidecarTicks:
		if c.now >= c.silent {
			c.apply(c.members.SourceResponded(c.time(), 0))
		}
		c.apply(c.members.Tick(c.time()))
	}
	if w == sidecarTicks {
		c.put(time.Second, c, sidecarTicks)
	}
}

// Send starts an attempt.
func (c *sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	x := c.requests[id]
	if x == nil {
		c.breach("sidecar %d sends request %d, which has ended", c.number, id)
		return
	}
	to--
	n := c.servers[to].node
	a := x.newAttempt(n)
	if at := c.servers[to].drained; at > 0 && c.now > at+drainWithin+slack {
		c.breach("rule 3: sidecar %d sends request %d to node %d, %v after it heard that it drains", c.number, id, n.number, c.now-at)
	}
	if c.watched(x) {
		c.note(x, "attempt %d goes to node %d%s", a.number, n.number, n.condition())
	}
	if timeout > 0 {
		a.timeout = c.put(timeout, a, attemptTimesOut)
	}
	c.connect(a)
}

// Reject tells the client that trying again is harmless; it may.
func (c *sidecar) Reject(id policy.RequestID, pause time.Duration) {
	x := c.requests[id]
	if x == nil || x.answered {
		c.breach("rule 1: sidecar %d refuses request %d, which has its answer", c.number, id)
		return
	}
	if c.watched(x) {
		c.note(x, "refused, with a pause of %v", pause)
	}
	c.spent(x, policy.Rejected)
	c.result.Refused++
	c.seen.at(c.now).Refused++
	c.answer(x)
	told := pause
	if c.s.Clients.Heeds < 1 && c.whims.Float64() >= c.s.Clients.Heeds {
		told = c.pause(x)
	}
	if !c.again(x, told) {
		c.seen.notable(x, "refused in the end", c.now-x.asked)
	}
}

// Fail answers without a promise.
func (c *sidecar) Fail(id policy.RequestID) {
	x := c.requests[id]
	if x == nil || x.answered {
		c.breach("rule 1: sidecar %d fails request %d, which has its answer", c.number, id)
		return
	}
	if c.watched(x) {
		c.note(x, "failed")
	}
	c.spent(x, policy.ServerError)
	c.result.Failed++
	c.seen.at(c.now).Failed++
	c.answer(x)
	if !c.s.Clients.Insists || c.s.Classes[x.class].Effect != Effect(policy.Idempotent) || !c.again(x, c.pause(x)) {
		c.seen.notable(x, "failed", c.now-x.asked)
	}
}

// Cancel gives an attempt up.
func (c *sidecar) Cancel(id policy.RequestID, number int) {
	if x := c.requests[id]; x != nil && number < len(x.attempts) {
		c.put(0, x.attempts[number], attemptCancelled) // not within the balancer's own call
	}
}

// SetTimer arms the one timer.
func (c *sidecar) SetTimer(d time.Duration) {
	if !c.move(c.wake, d) {
		c.wake = c.put(d, c, sidecarWakes)
	}
}

// probeTimeout is how long a probe waits for its answer.
const probeTimeout = 300 * time.Millisecond

// Probe asks a node what it holds, beside its queue.
func (c *sidecar) Probe(to policy.EndpointID) {
	life, n := c.life, c.servers[to-1].node
	tell := func(d time.Duration, ok bool, l policy.LoadReport) {
		c.after(d, func() {
			if c.life == life && !c.off {
				c.b.ProbeCompleted(c.time(), to, ok, l)
			}
		})
	}
	c.after(c.delay(), func() {
		if n.down || n.hangs || n.mute || n.deaf {
			tell(probeTimeout, false, policy.LoadReport{InFlight: -1})
			return
		}
		tell(c.delay(), true, policy.LoadReport{InFlight: float64(len(n.held))})
	})
}

// askWithin is how long a sidecar may go without asking for a list that is asked
// for, and listCall how long such a call waits.
const (
	askWithin = 10 * time.Second
	listCall  = time.Second
)

// RequestWatch subscribes to a list that must be asked for.
func (c *sidecar) RequestWatch() {
	life := c.life
	answer := func(d time.Duration, do func()) {
		c.after(d, func() {
			if c.life == life && !c.off {
				do()
			}
		})
	}
	if c.now < c.silent {
		answer(listCall, func() { c.b.EndpointsUpdated(c.time(), policy.FailedUpdate, nil) })
		return
	}
	answer(c.lag(), func() {
		c.told = true
		c.hearAll(c.states())
	})
}

// condition says in words what is wrong with a node.
func (n *node) condition() string {
	for _, k := range []struct {
		is   bool
		word string
	}{
		{n.down, "which is down"}, {n.hangs, "which hangs"}, {n.mute, "of which nothing comes back"}, {n.deaf, "to which nothing comes"},
		{n.choked, fmt.Sprintf("which is slow after overload and holds %d", len(n.held))}, {n.warmth() < 1, fmt.Sprintf("which is cold, at %.2f", n.warmth())},
	} {
		if k.is {
			return ", " + k.word
		}
	}
	return fmt.Sprintf(", which holds %d", len(n.held))
}
