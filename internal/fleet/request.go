package fleet

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"mothridge/policy"
	"mothridge/quota"
)

// request is one try of a client.
type request struct {
	sidecar *sidecar
	id      policy.RequestID
	*client
	ran      []ran // where and when a keyed one did
	try      int
	began    time.Duration
	attempts []*attempt
	answered bool
	deadline timer
	receipt  *quota.Receipt // of what it took of its quota; nil: nothing

	// Nearly every request has one attempt: it and its place come with it.
	attempt attempt
	places  [1]*attempt
}

// client is what all tries of a request have in common.
type client struct {
	first   policy.RequestID // the first try's
	effects int              // how often an unsafe one may have run
	class   int
	tenant  int
	work    float64
	asked   time.Duration // when the first try was
	ends    time.Duration // its whole patience
}

// newRequest makes a try.
func (c *sidecar) newRequest(of *client, try int) *request {
	x := &request{sidecar: c, client: of, try: try}
	x.attempts = x.places[:0]
	return x
}

// newAttempt adds an attempt.
func (x *request) newAttempt(n *node) *attempt {
	a := &x.attempt
	if len(x.attempts) > 0 {
		a = new(attempt)
	}
	*a = attempt{sidecar: x.sidecar, request: x, number: len(x.attempts), node: n, process: n.process}
	a.job.owner, a.job.index = a, -1
	x.attempts = append(x.attempts, a)
	return a
}

// ran is an effect of a keyed request: the nodes of a cell drop its repeats for a while.
type ran struct {
	cell int
	at   time.Duration
}

// attempt is one send of a request to a node.
type attempt struct {
	sidecar *sidecar
	request *request
	number  int
	node    *node
	process int // of the node, when it was sent
	job     job
	came    bool  // to its node, which took it
	link    *link // whose connection it is on; nil: connections are not modelled
	ending  policy.AttemptResult
	over    bool
	timeout timer
}

// The events of an attempt.
const (
	attemptReaches   what = iota // it has come to its node
	attemptTimesOut              // its balancer waits no longer
	attemptCancelled             // it is called off
	attemptEnds                  // word of its end has come back
	attemptDropped               // word that nobody waits has come to its node
	attemptBroken                // its connection has, with the node's process
)

func (a *attempt) act(w what) {
	switch w {
	case attemptReaches:
		a.sidecar.reach(a)
	case attemptTimesOut:
		a.sidecar.giveUp(a, policy.TimedOut)
	case attemptCancelled:
		a.sidecar.giveUp(a, policy.Cancelled)
	case attemptEnds:
		a.sidecar.end(a, a.ending)
	case attemptBroken:
		a.sidecar.end(a, policy.ConnectionReset)
	case attemptDropped:
		a.node.drop(&a.job)
	}
}

// arrivals lets requests come to a sidecar: a Poisson stream, thinned where its
// rate changes (Lewis and Shedler, 1979).
func (c *sidecar) arrivals(number int) {
	part, parts := 1.0, 0.0
	for i := range c.s.Sidecars {
		w := math.Pow(float64(i+1), -c.s.Skew)
		parts += w
		if i == number {
			part = w
		}
	}
	peak := 1 + c.s.Daily.Swing
	for _, t := range c.s.Troubles {
		if t.Kind == Burst {
			peak = max(peak, (1+c.s.Daily.Swing)*max(1, t.Times))
		}
	}
	a := &arrival{c, c.rate * part / parts * peak, peak}
	a.next()
}

// arrival is a sidecar's stream of requests.
type arrival struct {
	*sidecar
	rate, peak float64 // a second, at the peak; and over the mean
}

func (a *arrival) next() {
	a.put(time.Duration(a.clock.ExpFloat64()/a.rate*float64(time.Second)), a, 0)
}

func (a *arrival) act(what) {
	if a.now > a.s.Duration {
		return
	}
	a.next()
	share := func(i int) float64 {
		if len(a.s.Tenants) == 0 {
			return a.bursts[0]
		}
		return a.s.Tenants[i].Share * a.bursts[i]
	}
	if a.peak > 1 { // at its peak rate only a part of the time
		now, usual := 0.0, 0.0
		for i := range a.bursts {
			now, usual = now+share(i), usual+share(i)/max(a.bursts[i], 1e-9)
		}
		wave := 1.0
		if d := &a.s.Daily; d.Period > 0 {
			wave += d.Swing * math.Sin(2*math.Pi*float64(a.now)/float64(d.Period))
		}
		if a.clock.Float64()*a.peak >= now/usual*wave {
			return
		}
	}
	x := &client{class: draw(a.pick, len(a.s.Classes), func(i int) float64 { return a.s.Classes[i].Share })}
	if n := len(a.s.Tenants); n > 0 {
		x.tenant = draw(a.pick, n, share)
	}
	a.begin(x, 0)
}

// replay lets recorded requests come, to one sidecar after the other.
func (r *run) replay(i int) {
	if i >= len(r.s.Replay) {
		return
	}
	a := r.s.Replay[i]
	r.after(a.At-r.now, func() {
		r.sidecars[i%len(r.sidecars)].begin(&client{class: a.Class, tenant: a.Tenant}, a.Work)
		r.replay(i + 1)
	})
}

// begin is a client's first try. Work of 0 is drawn.
func (c *sidecar) begin(x *client, work time.Duration) {
	k := &c.s.Classes[x.class]
	x.asked, x.ends = c.now, c.now+k.Deadline
	if x.work = work.Seconds(); work == 0 {
		x.work = k.Work.Seconds()
		switch k.Spread {
		case Exponential:
			x.work *= c.pick.ExpFloat64()
		case LogNormal: // of mean 1: mu is -sigma²/2
			sigma2 := math.Log(1 + k.CV*k.CV)
			x.work *= distuv.LogNormal{Mu: -sigma2 / 2, Sigma: math.Sqrt(sigma2), Src: c.pick}.Rand()
		}
	}
	if c.plan != nil {
		*c.plan = append(*c.plan, Planned{Arrival{c.now, x.class, x.tenant, time.Duration(x.work * 1e9)}, c.number})
		return
	}
	c.seen.came(x)
	c.open++
	c.ask(c.newRequest(x, 1))
}

// ask sends one try to the balancer.
func (c *sidecar) ask(x *request) {
	c.lastID++
	x.id, x.began = c.lastID, c.now
	if x.first == 0 {
		x.first = x.id
	}
	c.result.Asked++
	left := x.ends - c.now
	if p := c.s.Clients.Patience; len(p) == 2 {
		left = min(left, time.Duration(float64(c.s.Classes[x.class].Deadline)*(p[0]+(p[1]-p[0])*c.whims.Float64())))
	}
	if c.watched(x) {
		c.note(x, "asked of sidecar %d, class %d, tenant %d, work %.1f ms, waits %v", c.number, x.class, x.tenant, x.work*1e3, left)
	}
	if c.off { // nothing listens
		c.lose(x)
		return
	}
	c.requests[x.id] = x
	x.deadline = c.put(left+slack, x, 0)
	if !c.within(x) {
		return
	}
	c.b.RequestReceived(c.time(), policy.Request{ID: x.id, Class: x.class, Tenant: x.tenant, Timeout: left, ClientRetry: x.try > 1})
}

// act is that a try has no answer though its client waits no longer.
func (x *request) act(what) {
	c := x.sidecar
	c.breach("rule 1: request %d of sidecar %d has no answer before its deadline", x.id, c.number)
	c.result.Failed++ // for its client
	c.answer(x)
	c.b.ClientDisconnected(c.time(), x.id)
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

// pause is a client's own before its next try.
func (c *sidecar) pause(x *request) time.Duration {
	d := c.s.Clients.Pause << min(x.try-1, 16)
	return time.Duration(float64(d) * (0.5 + c.whims.Float64()))
}

// again lets a client try again after a pause; false where it gives up.
func (c *sidecar) again(x *request, pause time.Duration) bool {
	if x.try >= c.s.Clients.Tries || c.now+pause >= x.ends {
		return false
	}
	c.open++ // the client goes on waiting
	c.after(pause, func() { c.ask(c.newRequest(x.client, x.try+1)) })
	return true
}

// connect takes an attempt to its node, over a connection where those are modelled.
func (c *sidecar) connect(a *attempt) {
	l, p := c.linkTo(a.node), &c.s.Network
	if l == nil {
		c.put(c.delay(), a, attemptReaches)
		return
	}
	if n := len(l.idle); n > 0 {
		l.idle, a.link = l.idle[:n-1], l
		c.put(c.delay(), a, attemptReaches)
		return
	}
	d := c.delay()
	for range 2 * p.Trips {
		d += c.delay()
	}
	if p.Most > 0 && a.node.open >= p.Most {
		a.ending = policy.ConnectionFailed
		c.put(d, a, attemptEnds)
		return
	}
	c.result.Handshakes++
	a.node.open++
	a.link = l
	c.put(d, a, attemptReaches)
	a.node.take(new(job), p.Handshake.Seconds()) // beside the request's own work
}

// reach is when an attempt has come to its node.
func (c *sidecar) reach(a *attempt) {
	n := a.node
	switch {
	case a.over || n.deaf: // given up on its way; or it never comes
		return
	case n.down:
		a.ending = policy.ConnectionFailed
	case a.process != n.process && a.link != nil: // its connection ended with the process before
		a.ending = policy.ConnectionReset
	default:
		a.process = n.process
		c.arrive(n, a.request.work)
		if a.came = n.take(&a.job, a.request.work); a.came {
			c.effect(a.request, n)
			return
		}
		a.ending = policy.Rejected
	}
	c.put(c.delay(), a, attemptEnds)
}

// jobEnded is that the node has done its work, or fell over with it.
func (a *attempt) jobEnded(ok bool) {
	c, n := a.sidecar, a.node
	switch {
	case n.mute && ok: // worked for, but no word of it comes back
	case !ok || n.breaks > 0 && c.network.Float64() < n.breaks:
		c.put(c.delay(), a, attemptBroken)
	default:
		a.ending = policy.Served
		c.put(c.delay(), a, attemptEnds)
	}
}

// effect checks the second rule where a request's effect may run from now on.
func (c *sidecar) effect(x *request, n *node) {
	k := &c.s.Classes[x.class]
	times := 0
	switch policy.Idempotency(k.Effect) {
	case policy.NotIdempotent:
		x.effects++
		times = x.effects
	case policy.IdempotentByKey:
		cell := c.cell(n)
		if k.Scope != Scope(policy.ScopeCell) {
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

// end ends an attempt once.
func (c *sidecar) end(a *attempt, ending policy.AttemptResult) {
	x := a.request
	if a.over {
		return
	}
	if ending == policy.Served && a.process != a.node.process { // it fell between its last byte and its answer's coming
		ending = policy.ConnectionReset
	}
	a.over = true
	c.cancel(a.timeout)
	c.letGo(a, ending)
	if c.watched(x) {
		c.note(x, "attempt %d %s", a.number, endings[ending])
	}
	settled := x.answered
	if ending == policy.Served && !x.answered {
		settled = true
		if c.watched(x) {
			c.note(x, "served, %v after the first try", c.now-x.asked)
		}
		c.seen.served(x)
		c.answer(x)
	}
	c.forget(x)
	c.b.AttemptEnded(c.time(), policy.AttemptOutcome{ID: x.id, Attempt: a.number, Result: ending, Completed: settled})
}

var endings = map[policy.AttemptResult]string{
	policy.Served: "is answered", policy.Rejected: "is turned away", policy.TimedOut: "runs out of time", policy.ConnectionFailed: "finds no connection",
	policy.ConnectionReset: "ends with its connection", policy.Cancelled: "is called off",
}

// letGo gives an attempt's connection back, or closes it.
func (c *sidecar) letGo(a *attempt, ending policy.AttemptResult) {
	switch {
	case a.link == nil || a.process != a.node.process || a.link.process != a.node.process:
	case ending == policy.Served || ending == policy.Rejected:
		a.link.rest()
	default:
		a.node.open--
	}
}

// giveUp ends an attempt that nobody waits for; its node hears of it later.
func (c *sidecar) giveUp(a *attempt, ending policy.AttemptResult) {
	if a.over {
		return
	}
	if a.came {
		c.put(c.delay(), a, attemptDropped)
	}
	c.end(a, ending)
}

// abandon ends an attempt with its sidecar: no balancer hears of it.
func (c *sidecar) abandon(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	c.cancel(a.timeout)
	c.letGo(a, policy.Cancelled)
	if a.came {
		c.put(c.delay(), a, attemptDropped)
	}
}
