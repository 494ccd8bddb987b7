package fleet

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"mothridge/policy"
	"mothridge/quota"
)

// request is one try of a client.
type submission struct {
	sidecar *sidecar
	id      policy.RequestID
	*clientRequest
	effects       []effect // where and when a keyed one did
	number        int
	submittedAt   time.Duration
	attempts      []*attempt
	completed     bool
	deadlineTimer timer
	receipt       *quota.Receipt // of what it took of its quota; nil: nothing

	// Nearly every request has one attempt: it and its place come with it.
	firstAttempt   attempt
	attemptStorage [1]*attempt
}

// client is what all tries of a request have in common.
type clientRequest struct {
	firstID       policy.RequestID // the first try's
	unsafeEffects int              // how often an unsafe one may have run
	class         int
	tenant        int
	work          float64
	arrivedAt     time.Duration // when the first try was
	deadline      time.Duration // its whole patience
}

// newRequest makes a try.
func (c *sidecar) newSubmission(of *clientRequest, try int) *submission {
	x := &submission{sidecar: c, clientRequest: of, number: try}
	x.attempts = x.attemptStorage[:0]
	return x
}

// newAttempt adds an attempt.
func (submission *submission) newAttempt(n *node) *attempt {
	a := &submission.firstAttempt
	if len(submission.attempts) > 0 {
		a = new(attempt)
	}
	*a = attempt{sidecar: submission.sidecar, submission: submission, number: len(submission.attempts), node: n, incarnation: n.incarnation}
	a.job.owner, a.job.index = a, -1
	submission.attempts = append(submission.attempts, a)
	return a
}

// ran is an effect of a keyed request: the nodes of a cell drop its repeats for a while.
type effect struct {
	cell int
	at   time.Duration
}

// attempt is one send of a request to a node.
type attempt struct {
	sidecar      *sidecar
	submission   *submission
	number       int
	node         *node
	incarnation  int // of the node, when it was sent
	job          job
	accepted     bool            // to its node, which took it
	pool         *connectionPool // whose connection it is on; nil: connections are not modelled
	result       policy.AttemptResult
	ended        bool
	timeoutTimer timer
}

// The events of an attempt.
const (
	attemptArrives   eventKind = iota // it has come to its node
	attemptTimesOut                   // its balancer waits no longer
	attemptCancelled                  // it is called off
	attemptResponds                   // word of its end has come back
	attemptWithdrawn                  // word that nobody waits has come to its node
	attemptReset                      // its connection has, with the node's process
)

func (a *attempt) handleEvent(w eventKind) {
	switch w {
	case attemptArrives:
		a.sidecar.attemptArrived(a)
	case attemptTimesOut:
		a.sidecar.abandonAttempt(a, policy.TimedOut)
	case attemptCancelled:
		a.sidecar.abandonAttempt(a, policy.Cancelled)
	case attemptResponds:
		a.sidecar.endAttempt(a, a.result)
	case attemptReset:
		a.sidecar.endAttempt(a, policy.ConnectionReset)
	case attemptWithdrawn:
		a.node.withdraw(&a.job)
	}
}

// arrivals lets requests come to a sidecar: a Poisson stream, thinned where its
// rate changes (Lewis and Shedler, 1979).
func (c *sidecar) startArrivalProcess(number int) {
	part, parts := 1.0, 0.0
	for i := range c.scenario.Sidecars {
		w := math.Pow(float64(i+1), -c.scenario.TrafficSkew)
		parts += w
		if i == number {
			part = w
		}
	}
	peak := 1 + c.scenario.Daily.Swing
	for _, t := range c.scenario.Faults {
		if t.Kind == TrafficBurst {
			peak = max(peak, (1+c.scenario.Daily.Swing)*max(1, t.RateFactor))
		}
	}
	a := &arrivalProcess{c, c.arrivalRate * part / parts * peak, peak}
	a.scheduleNext()
}

// arrival is a sidecar's stream of requests.
type arrivalProcess struct {
	*sidecar
	rate, peakFactor float64 // a second, at the peak; and over the mean
}

func (process *arrivalProcess) scheduleNext() {
	process.scheduleEvent(time.Duration(process.arrivalRandom.ExpFloat64()/process.rate*float64(time.Second)), process, 0)
}

func (process *arrivalProcess) handleEvent(eventKind) {
	if process.now > process.scenario.Duration {
		return
	}
	process.scheduleNext()
	share := func(i int) float64 {
		if len(process.scenario.Tenants) == 0 {
			return process.rateFactors[0]
		}
		return process.scenario.Tenants[i].Share * process.rateFactors[i]
	}
	if process.peakFactor > 1 { // at its peak rate only a part of the time
		now, usual := 0.0, 0.0
		for i := range process.rateFactors {
			now, usual = now+share(i), usual+share(i)/max(process.rateFactors[i], 1e-9)
		}
		wave := 1.0
		if d := &process.scenario.Daily; d.Period > 0 {
			wave += d.Swing * math.Sin(2*math.Pi*float64(process.now)/float64(d.Period))
		}
		if process.arrivalRandom.Float64()*process.peakFactor >= now/usual*wave {
			return
		}
	}
	x := &clientRequest{class: weightedIndex(process.requestRandom, len(process.scenario.Classes), func(i int) float64 { return process.scenario.Classes[i].Share })}
	if n := len(process.scenario.Tenants); n > 0 {
		x.tenant = weightedIndex(process.requestRandom, n, share)
	}
	process.beginRequest(x, 0)
}

// replay lets recorded requests come, to one sidecar after the other.
func (sim *simulation) replayArrival(i int) {
	if i >= len(sim.scenario.RecordedArrivals) {
		return
	}
	a := sim.scenario.RecordedArrivals[i]
	sim.schedule(a.At-sim.now, func() {
		sim.sidecars[i%len(sim.sidecars)].beginRequest(&clientRequest{class: a.Class, tenant: a.Tenant}, a.Work)
		sim.replayArrival(i + 1)
	})
}

// begin is a client's first try. Work of 0 is drawn.
func (c *sidecar) beginRequest(x *clientRequest, work time.Duration) {
	k := &c.scenario.Classes[x.class]
	x.arrivedAt, x.deadline = c.now, c.now+k.Deadline
	if x.work = work.Seconds(); work == 0 {
		x.work = k.Work.Seconds()
		switch k.WorkDistribution {
		case Exponential:
			x.work *= c.requestRandom.ExpFloat64()
		case LogNormal: // of mean 1: mu is -sigma²/2
			sigma2 := math.Log(1 + k.CoefficientOfVariation*k.CoefficientOfVariation)
			x.work *= distuv.LogNormal{Mu: -sigma2 / 2, Sigma: math.Sqrt(sigma2), Src: c.requestRandom}.Rand()
		}
	}
	if c.plan != nil {
		*c.plan = append(*c.plan, PlannedArrival{Arrival{c.now, x.class, x.tenant, time.Duration(x.work * 1e9)}, c.number})
		return
	}
	c.recorder.recordArrival(x)
	c.openRequests++
	c.submit(c.newSubmission(x, 1))
}

// ask sends one try to the balancer.
func (c *sidecar) submit(x *submission) {
	c.lastID++
	x.id, x.submittedAt = c.lastID, c.now
	if x.firstID == 0 {
		x.firstID = x.id
	}
	c.result.Submissions++
	left := x.deadline - c.now
	if p := c.scenario.Clients.TimeoutShares; len(p) == 2 {
		left = min(left, time.Duration(float64(c.scenario.Classes[x.class].Deadline)*(p[0]+(p[1]-p[0])*c.clientRandom.Float64())))
	}
	if c.isExplained(x) {
		c.explain(x, "asked of sidecar %d, class %d, tenant %d, work %.1f ms, waits %v", c.number, x.class, x.tenant, x.work*1e3, left)
	}
	if c.stopped { // nothing listens
		c.loseSubmission(x)
		return
	}
	c.submissions[x.id] = x
	x.deadlineTimer = c.scheduleEvent(left+timeSlack, x, 0)
	if !c.admitByQuota(x) {
		return
	}
	c.balancer.RequestReceived(c.clockTime(), policy.Request{ID: x.id, Class: x.class, Tenant: x.tenant, Timeout: left, ClientRetry: x.number > 1})
}

// act is that a try has no answer though its client waits no longer.
func (submission *submission) handleEvent(eventKind) {
	c := submission.sidecar
	c.reportViolation("rule 1: request %d of sidecar %d has no answer before its deadline", submission.id, c.number)
	c.result.Failed++ // for its client
	c.complete(submission)
	c.balancer.ClientDisconnected(c.clockTime(), submission.id)
}

// answer gives a try its one answer.
func (c *sidecar) complete(x *submission) {
	if x.completed {
		c.reportViolation("rule 1: request %d of sidecar %d has a second answer", x.id, c.number)
		return
	}
	x.completed = true
	c.openRequests--
	c.cancel(x.deadlineTimer)
	c.forgetIfDone(x)
}

// forget lets a request go that has its answer and no attempt out.
func (c *sidecar) forgetIfDone(x *submission) {
	if !x.completed {
		return
	}
	for _, a := range x.attempts {
		if !a.ended {
			return
		}
	}
	delete(c.submissions, x.id)
}

// pause is a client's own before its next try.
func (c *sidecar) retryBackoff(x *submission) time.Duration {
	d := c.scenario.Clients.RetryBackoff << min(x.number-1, 16)
	return time.Duration(float64(d) * (0.5 + c.clientRandom.Float64()))
}

// again lets a client try again after a pause; false where it gives up.
func (c *sidecar) scheduleRetry(x *submission, pause time.Duration) bool {
	if x.number >= c.scenario.Clients.MaxSubmissions || c.now+pause >= x.deadline {
		return false
	}
	c.openRequests++ // the client goes on waiting
	c.schedule(pause, func() { c.submit(c.newSubmission(x.clientRequest, x.number+1)) })
	return true
}

// connect takes an attempt to its node, over a connection where those are modelled.
func (c *sidecar) connect(a *attempt) {
	l, p := c.poolTo(a.node), &c.scenario.Network
	if l == nil {
		c.scheduleEvent(c.networkDelay(), a, attemptArrives)
		return
	}
	if n := len(l.idleSince); n > 0 {
		l.idleSince, a.pool = l.idleSince[:n-1], l
		c.scheduleEvent(c.networkDelay(), a, attemptArrives)
		return
	}
	d := c.networkDelay()
	for range 2 * p.HandshakeRoundTrips {
		d += c.networkDelay()
	}
	if p.MaxConnections > 0 && a.node.connections >= p.MaxConnections {
		a.result = policy.ConnectionFailed
		c.scheduleEvent(d, a, attemptResponds)
		return
	}
	c.result.Handshakes++
	a.node.connections++
	a.pool = l
	c.scheduleEvent(d, a, attemptArrives)
	a.node.accept(new(job), p.HandshakeWork.Seconds()) // beside the request's own work
}

// reach is when an attempt has come to its node.
func (c *sidecar) attemptArrived(a *attempt) {
	n := a.node
	switch {
	case a.ended || n.dropsRequests: // given up on its way; or it never comes
		return
	case n.down:
		a.result = policy.ConnectionFailed
	case a.incarnation != n.incarnation && a.pool != nil: // its connection ended with the process before
		a.result = policy.ConnectionReset
	default:
		a.incarnation = n.incarnation
		c.checkWarmUpOverload(n, a.submission.work)
		if a.accepted = n.accept(&a.job, a.submission.work); a.accepted {
			c.recordEffect(a.submission, n)
			return
		}
		a.result = policy.Rejected
	}
	c.scheduleEvent(c.networkDelay(), a, attemptResponds)
}

// jobEnded is that the node has done its work, or fell over with it.
func (a *attempt) jobEnded(ok bool) {
	c, n := a.sidecar, a.node
	switch {
	case n.dropsResponses && ok: // worked for, but no word of it comes back
	case !ok || n.resetShare > 0 && c.networkRandom.Float64() < n.resetShare:
		c.scheduleEvent(c.networkDelay(), a, attemptReset)
	default:
		a.result = policy.Served
		c.scheduleEvent(c.networkDelay(), a, attemptResponds)
	}
}

// effect checks the second rule where a request's effect may run from now on.
func (c *sidecar) recordEffect(x *submission, n *node) {
	k := &c.scenario.Classes[x.class]
	times := 0
	switch policy.Idempotency(k.Idempotency) {
	case policy.NotIdempotent:
		x.unsafeEffects++
		times = x.unsafeEffects
	case policy.IdempotentByKey:
		cell := c.cellOf(n)
		if k.DedupScope != DedupScope(policy.ScopeCell) {
			cell = 0
		}
		for _, r := range x.effects {
			if r.cell == cell && c.now-r.at <= k.DedupWindow {
				return // a repeat, dropped
			}
		}
		x.effects = append(x.effects, effect{cell, c.now})
		times = len(x.effects)
	}
	if times > 1 {
		c.reportViolation("rule 2: request %d of sidecar %d may run a second time, at node %d", x.id, c.number, n.number)
	}
}

// end ends an attempt once.
func (c *sidecar) endAttempt(a *attempt, ending policy.AttemptResult) {
	x := a.submission
	if a.ended {
		return
	}
	if ending == policy.Served && a.incarnation != a.node.incarnation { // it fell between its last byte and its answer's coming
		ending = policy.ConnectionReset
	}
	a.ended = true
	c.cancel(a.timeoutTimer)
	c.releaseConnection(a, ending)
	if c.isExplained(x) {
		c.explain(x, "attempt %d %s", a.number, resultTexts[ending])
	}
	settled := x.completed
	if ending == policy.Served && !x.completed {
		settled = true
		if c.isExplained(x) {
			c.explain(x, "served, %v after the first try", c.now-x.arrivedAt)
		}
		c.recorder.recordServed(x)
		c.complete(x)
	}
	c.forgetIfDone(x)
	c.balancer.AttemptEnded(c.clockTime(), policy.AttemptOutcome{ID: x.id, Attempt: a.number, Result: ending, Completed: settled})
}

var resultTexts = map[policy.AttemptResult]string{
	policy.Served: "is answered", policy.Rejected: "is turned away", policy.TimedOut: "runs out of time", policy.ConnectionFailed: "finds no connection",
	policy.ConnectionReset: "ends with its connection", policy.Cancelled: "is called off",
}

// letGo gives an attempt's connection back, or closes it.
func (c *sidecar) releaseConnection(a *attempt, ending policy.AttemptResult) {
	switch {
	case a.pool == nil || a.incarnation != a.node.incarnation || a.pool.incarnation != a.node.incarnation:
	case ending == policy.Served || ending == policy.Rejected:
		a.pool.putIdle()
	default:
		a.node.connections--
	}
}

// giveUp ends an attempt that nobody waits for; its node hears of it later.
func (c *sidecar) abandonAttempt(a *attempt, ending policy.AttemptResult) {
	if a.ended {
		return
	}
	if a.accepted {
		c.scheduleEvent(c.networkDelay(), a, attemptWithdrawn)
	}
	c.endAttempt(a, ending)
}

// abandon ends an attempt with its sidecar: no balancer hears of it.
func (c *sidecar) discardAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	c.cancel(a.timeoutTimer)
	c.releaseConnection(a, policy.Cancelled)
	if a.accepted {
		c.scheduleEvent(c.networkDelay(), a, attemptWithdrawn)
	}
}
