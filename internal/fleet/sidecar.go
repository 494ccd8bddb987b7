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
	*simulation
	number        int
	incarnation   int // counts its processes
	balancer      balancer
	stopped       bool
	arrivalRandom *rand.Rand // of arrivals
	submissions   map[policy.RequestID]*submission
	balancerTimer timer
	pools         []*connectionPool

	subscribed    bool            // of the list: it was pushed, or asked for and not lost since
	quotaTree     *quota.Tree     // nil: there are none
	membershipSet *membership.Set // nil: news come straight from the list
	endpointIDs   map[string]policy.EndpointID
	endpoints     []sidecarEndpoint // by id, less one
}

// server is what a sidecar knows of an id that it gave to its balancer.
type sidecarEndpoint struct {
	node          *node
	drainingSince time.Duration // when it heard that it drains or is gone; 0: it does not
}

// start begins a process: it knows what the list says, and nothing else.
func (c *sidecar) start() error {
	s := c.scenario
	c.submissions, c.pools = make(map[policy.RequestID]*submission), nil
	c.membershipSet, c.endpointIDs, c.endpoints = nil, make(map[string]policy.EndpointID), nil
	if s.Network.HandshakeWork > 0 {
		c.pools = make([]*connectionPool, s.Nodes)
	}
	cfg := policy.Config{
		FleetSize: s.Sidecars, Slots: s.Slots, MaxAttempts: s.MaxAttempts, CancelAllowed: true, MaxRetryAfter: s.Clients.MaxRetryAfter, ClientsMarkRetries: true,
		WatchOnRequest: s.List.WatchRequired, WatchRequestWithin: watchRequestWithin, ProbesAllowed: s.LoadReports, ProbeLoadReports: s.LoadReports, SlowStartInitialShare: s.Node.InitialSpeedShare, SlowStartDuration: s.Node.WarmUpTime, SlowStartOverloadFactor: s.Node.WarmUpOverloadFactor,
	}
	for _, k := range s.Classes {
		cfg.Classes = append(cfg.Classes, policy.Class{LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, PriorityWeight: 1, Idempotency: policy.Idempotency(k.Idempotency), DedupScope: policy.DedupScope(k.DedupScope), DedupWindow: k.DedupWindow})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Share: t.Share, Quota: t.Quota})
	}
	var err error
	if c.balancer, err = s.newBalancer(cfg, s.Seed+uint64(c.number)+uint64(c.incarnation)<<32, c); err != nil {
		return err
	}
	if c.quotaTree, err = s.newQuotaTree(); err != nil {
		return err
	}
	if s.List.Membership {
		if c.membershipSet, err = membership.New(membership.Config{}, membership.Source{Name: "registry"}); err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		if c.incarnation == 0 { // they go on over a restart
			c.scheduleEvent(time.Second, c, membershipTick)
		}
	} else {
		for _, n := range c.nodes {
			c.endpoints = append(c.endpoints, sidecarEndpoint{node: n})
		}
	}
	c.subscribed = !s.List.WatchRequired
	c.balancer.Start(c.clockTime())
	if c.subscribed {
		c.applyList(c.listedHealth())
	}
	return nil
}

// states are all nodes as the list has them now.
func (c *sidecar) listedHealth() []policy.Health {
	states := make([]policy.Health, len(c.nodes))
	for i, n := range c.nodes {
		states[i] = c.currentHealth(n)
	}
	return states
}

// stop ends the process: what it held is lost for its clients.
func (c *sidecar) stop() {
	ids := make([]policy.RequestID, 0, len(c.submissions))
	for id := range c.submissions {
		ids = append(ids, id)
	}
	slices.Sort(ids) // never in the order of a map
	for _, id := range ids {
		x := c.submissions[id]
		for _, a := range x.attempts {
			c.discardAttempt(a)
		}
		if !x.completed {
			if c.isExplained(x) {
				c.explain(x, "its sidecar ended")
			}
			c.loseSubmission(x)
		}
	}
	c.submissions, c.stopped = make(map[policy.RequestID]*submission), true
	c.cancel(c.balancerTimer)
}

// lose is for a try whose sidecar is no more.
func (c *sidecar) loseSubmission(x *submission) {
	c.result.Lost++
	c.complete(x)
	if c.scenario.Classes[x.class].Idempotency == Idempotency(policy.Idempotent) {
		c.scheduleRetry(x, c.retryBackoff(x))
	}
}

// restart begins another process in the place of one that ended.
func (c *sidecar) restart() {
	c.stopped = false
	c.incarnation++
	if err := c.start(); err != nil {
		panic(err) // the same settings were good before
	}
}

func (c *sidecar) clockTime() time.Duration { return epoch + c.now }

// The events of a sidecar.
const (
	balancerTimerFires eventKind = iota // its balancer's timer
	membershipTick                      // the membership module's
)

func (c *sidecar) handleEvent(w eventKind) {
	switch {
	case c.stopped:
	case w == balancerTimerFires:
		c.balancer.TimerFired(c.clockTime())
	case w == membershipTick:
		if c.now >= c.listOutageUntil {
			c.applyMembership(c.membershipSet.SourceResponded(c.clockTime(), 0))
		}
		c.applyMembership(c.membershipSet.Tick(c.clockTime()))
	}
	if w == membershipTick {
		c.scheduleEvent(time.Second, c, membershipTick)
	}
}

// Send starts an attempt.
func (c *sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	x := c.submissions[id]
	if x == nil {
		c.reportViolation("sidecar %d sends request %d, which has ended", c.number, id)
		return
	}
	to--
	n := c.endpoints[to].node
	a := x.newAttempt(n)
	if at := c.endpoints[to].drainingSince; at > 0 && c.now > at+drainGrace+timeSlack {
		c.reportViolation("rule 3: sidecar %d sends request %d to node %d, %v after it heard that it drains", c.number, id, n.number, c.now-at)
	}
	if c.isExplained(x) {
		c.explain(x, "attempt %d goes to node %d%s", a.number, n.number, n.condition())
	}
	if timeout > 0 {
		a.timeoutTimer = c.scheduleEvent(timeout, a, attemptTimesOut)
	}
	c.connect(a)
}

// Reject tells the client that trying again is harmless; it may.
func (c *sidecar) Reject(id policy.RequestID, pause time.Duration) {
	x := c.submissions[id]
	if x == nil || x.completed {
		c.reportViolation("rule 1: sidecar %d refuses request %d, which has its answer", c.number, id)
		return
	}
	if c.isExplained(x) {
		c.explain(x, "refused, with a pause of %v", pause)
	}
	c.settleQuota(x, policy.Rejected)
	c.result.Rejected++
	c.recorder.windowAt(c.now).Rejected++
	c.complete(x)
	told := pause
	if c.scenario.Clients.RetryAfterShare < 1 && c.clientRandom.Float64() >= c.scenario.Clients.RetryAfterShare {
		told = c.retryBackoff(x)
	}
	if !c.scheduleRetry(x, told) {
		c.recorder.recordSample(x, "refused in the end", c.now-x.arrivedAt)
	}
}

// Fail answers without a promise.
func (c *sidecar) Fail(id policy.RequestID) {
	x := c.submissions[id]
	if x == nil || x.completed {
		c.reportViolation("rule 1: sidecar %d fails request %d, which has its answer", c.number, id)
		return
	}
	if c.isExplained(x) {
		c.explain(x, "failed")
	}
	c.settleQuota(x, policy.ServerError)
	c.result.Failed++
	c.recorder.windowAt(c.now).Failed++
	c.complete(x)
	if !c.scenario.Clients.RetriesFailures || c.scenario.Classes[x.class].Idempotency != Idempotency(policy.Idempotent) || !c.scheduleRetry(x, c.retryBackoff(x)) {
		c.recorder.recordSample(x, "failed", c.now-x.arrivedAt)
	}
}

// Cancel gives an attempt up.
func (c *sidecar) Cancel(id policy.RequestID, number int) {
	if x := c.submissions[id]; x != nil && number < len(x.attempts) {
		c.scheduleEvent(0, x.attempts[number], attemptCancelled) // not within the balancer's own call
	}
}

// SetTimer arms the one timer.
func (c *sidecar) SetTimer(d time.Duration) {
	if !c.reschedule(c.balancerTimer, d) {
		c.balancerTimer = c.scheduleEvent(d, c, balancerTimerFires)
	}
}

// probeTimeout is how long a probe waits for its answer.
const probeTimeout = 300 * time.Millisecond

// Probe asks a node what it holds, beside its queue.
func (c *sidecar) Probe(to policy.EndpointID) {
	life, n := c.incarnation, c.endpoints[to-1].node
	tell := func(d time.Duration, ok bool, l policy.LoadReport) {
		c.schedule(d, func() {
			if c.incarnation == life && !c.stopped {
				c.balancer.ProbeCompleted(c.clockTime(), to, ok, l)
			}
		})
	}
	c.schedule(c.networkDelay(), func() {
		if n.down || n.hanging || n.dropsResponses || n.dropsRequests {
			tell(probeTimeout, false, policy.LoadReport{InFlight: -1})
			return
		}
		tell(c.networkDelay(), true, policy.LoadReport{InFlight: float64(len(n.jobs))})
	})
}

// askWithin is how long a sidecar may go without asking for a list that is asked
// for, and listCall how long such a call waits.
const (
	watchRequestWithin = 10 * time.Second
	watchTimeout       = time.Second
)

// RequestWatch subscribes to a list that must be asked for.
func (c *sidecar) RequestWatch() {
	life := c.incarnation
	answer := func(d time.Duration, do func()) {
		c.schedule(d, func() {
			if c.incarnation == life && !c.stopped {
				do()
			}
		})
	}
	if c.now < c.listOutageUntil {
		answer(watchTimeout, func() { c.balancer.EndpointsUpdated(c.clockTime(), policy.FailedUpdate, nil) })
		return
	}
	answer(c.listDelay(), func() {
		c.subscribed = true
		c.applyList(c.listedHealth())
	})
}

// condition says in words what is wrong with a node.
func (n *node) condition() string {
	for _, k := range []struct {
		is   bool
		word string
	}{
		{n.down, "which is down"}, {n.hanging, "which hangs"}, {n.dropsResponses, "of which nothing comes back"}, {n.dropsRequests, "to which nothing comes"},
		{n.collapsed, fmt.Sprintf("which is slow after overload and holds %d", len(n.jobs))}, {n.warmUpShare() < 1, fmt.Sprintf("which is cold, at %.2f", n.warmUpShare())},
	} {
		if k.is {
			return ", " + k.word
		}
	}
	return fmt.Sprintf(", which holds %d", len(n.jobs))
}
