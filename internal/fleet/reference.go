package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/policy"
)

// decider is what a sidecar of the model asks; policy.Balancer is one.
type balancer interface {
	Start(now time.Duration)
	EndpointsUpdated(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
	RequestReceived(now time.Duration, q policy.Request)
	AttemptEnded(now time.Duration, o policy.AttemptOutcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	ProbeCompleted(now time.Duration, id policy.EndpointID, ok bool, l policy.LoadReport)
	TimerFired(now time.Duration)
}

// Policy names what decides in every sidecar. The references are for comparison
// alone: no sidecar has them.
type Policy string

// The policies. A reference knows of a server what the list says and what its
// own requests met; all but Bulkhead refuse only what has no server.
const (
	Mothridge  Policy = "mothridge"   // the real decision module
	Random     Policy = "random"      // any ready server
	RoundRobin Policy = "round-robin" // the ready servers in turn
	TwoChoices Policy = "two-choices" // of two drawn, the one with fewer of our own requests (Mitzenmacher, 2001)
	PeakEWMA   Policy = "peak-ewma"   // of two drawn, the one with the lower peak-sensitive mean response, times our own requests there (Finagle)
	Bulkhead   Policy = "bulkhead"    // the paper's: slots and a queue for each tenant, servers in turn
)

// policies are those that a scenario may name; nothing stands for Mothridge.
var knownPolicies = []Policy{"", Mothridge, Random, RoundRobin, TwoChoices, PeakEWMA, Bulkhead}

// Retries is when a reference sends what failed again, where the class allows it.
type RetryMode string

// The ways of sending again. With Naive and Budget an attempt waits for an even
// part of the request's time only, so that there is time for another one; that
// is what starts a storm.
const (
	RetryUnstarted  RetryMode = ""       // what certainly never ran, and safe requests, for as long as there is time
	RetryNaively    RetryMode = "naive"  // at once, up to the most attempts
	RetryWithBudget RetryMode = "budget" // the same, but a tenth of the first attempts at the most (as Finagle's retry budget, without its floor)
)

var knownRetryModes = []RetryMode{RetryUnstarted, RetryNaively, RetryWithBudget}

const (
	retryBudgetShare = 0.1             // further attempts for each first one
	maxRetryBudget   = 10.0            // saved up
	ewmaDecay        = 2 * time.Second // of PeakEWMA, after a peak
	// Of Bulkhead: the slots of all sidecars for each node, and queue places for each slot.
	bulkheadSlots      = 3.0
	bulkheadQueueShare = 0.15
)

// decider makes a sidecar's.
func (s *Scenario) newBalancer(cfg policy.Config, seed uint64, h policy.Host) (balancer, error) {
	if s.Policy == "" || s.Policy == Mothridge {
		return policy.New(cfg, seed, h)
	}
	r := &reference{
		policy: s.Policy, retries: s.Retries, cfg: cfg, host: h, random: randomStream(seed, "reference", 0),
		targets: make(map[policy.EndpointID]*target), requests: make(map[policy.RequestID]*referenceRequest), retryBudget: maxRetryBudget,
	}
	if s.Policy == Bulkhead {
		r.addBulkheads(s)
	}
	return r, nil
}

// reference decides by a plain rule.
type reference struct {
	policy      Policy
	retries     RetryMode
	cfg         policy.Config
	host        policy.Host
	random      *rand.Rand
	ready       []*target // in the list's order
	targets     map[policy.EndpointID]*target
	nextIndex   int
	requests    map[policy.RequestID]*referenceRequest
	retryBudget float64
	bulkheads   []referenceBulkhead // by tenant; none: requests wait for nothing
}

// target is a server as a reference knows it.
type target struct {
	id              policy.EndpointID
	inFlight        int           // our own requests there
	smoothedLatency float64       // seconds, PeakEWMA's
	smoothedAt      time.Duration // of mean
}

// wall is a tenant's compartment.
type referenceBulkhead struct {
	slots, inFlight, queueLimit int
	queue                       []policy.RequestID
}

// referred is a request that a reference holds.
type referenceRequest struct {
	class, tenant  int
	deadline       time.Duration
	attemptTimeout time.Duration // that an attempt may take
	sent           []sentAttempt
	mayHaveRun     bool // an attempt may have run
}

type sentAttempt struct {
	to *target
	at time.Duration
}

// wall gives each tenant its share of the slots.
func (r *reference) addBulkheads(s *Scenario) {
	shares, total := 0.0, float64(s.Slots)
	if s.Slots == 0 {
		total = bulkheadSlots * float64(s.Nodes) * min(1, 2/float64(s.Sidecars))
	}
	for _, t := range s.Tenants {
		shares += t.Share
	}
	for i := range max(1, len(s.Tenants)) {
		part := 1.0
		if shares > 0 {
			part = s.Tenants[i].Share / shares
		}
		w := referenceBulkhead{slots: max(1, int(math.Ceil(total*part)))}
		w.queueLimit = int(math.Ceil(float64(w.slots) * bulkheadQueueShare))
		r.bulkheads = append(r.bulkheads, w)
	}
}

// Start begins.
func (r *reference) Start(time.Duration) {}

// ProbeCompleted has nothing to tell it.
func (r *reference) ProbeCompleted(time.Duration, policy.EndpointID, bool, policy.LoadReport) {}

// TimerFired has nothing to do.
func (r *reference) TimerFired(time.Duration) {}

// EndpointsUpdated takes the servers over that are ready.
func (r *reference) EndpointsUpdated(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.FailedUpdate {
		return
	}
	if kind != policy.DeltaUpdate {
		r.ready = nil
	}
	for _, e := range entries {
		t := r.targets[e.ID]
		if t == nil {
			t = &target{id: e.ID}
			r.targets[e.ID] = t
		}
		at := slices.Index(r.ready, t)
		switch {
		case e.Health == policy.Ready && at < 0:
			r.ready = append(r.ready, t)
		case e.Health != policy.Ready && at >= 0:
			r.ready = slices.Delete(r.ready, at, at+1)
		}
	}
}

// RequestReceived sends it, or lets it wait for a slot.
func (r *reference) RequestReceived(now time.Duration, q policy.Request) {
	x := &referenceRequest{class: q.Class, tenant: q.Tenant, deadline: now + q.Timeout, attemptTimeout: q.Timeout}
	if r.retries != RetryUnstarted {
		x.attemptTimeout = q.Timeout / time.Duration(r.cfg.MaxAttempts)
	}
	r.requests[q.ID] = x
	r.retryBudget = min(maxRetryBudget, r.retryBudget+retryBudgetShare)
	if r.bulkheads == nil {
		r.send(now, q.ID, x)
		return
	}
	switch w := &r.bulkheads[q.Tenant]; {
	case w.inFlight < w.slots:
		r.send(now, q.ID, x)
	case len(w.queue) < w.queueLimit:
		w.queue = append(w.queue, q.ID)
	default:
		r.respond(q.ID, x)
	}
}

// pick chooses a server.
func (r *reference) selectTarget(now time.Duration) *target {
	draw := func() *target { return r.ready[r.random.IntN(len(r.ready))] }
	switch r.policy {
	case RoundRobin, Bulkhead:
		r.nextIndex++
		return r.ready[r.nextIndex%len(r.ready)]
	case TwoChoices, PeakEWMA:
		a, b := draw(), draw()
		if b.cost(now, r.policy) < a.cost(now, r.policy) {
			return b
		}
		return a
	}
	return draw()
}

// cost is what a server is avoided by.
func (t *target) cost(now time.Duration, p Policy) float64 {
	if p == TwoChoices {
		return float64(t.inFlight)
	}
	faded := t.smoothedLatency * math.Exp(-float64(now-t.smoothedAt)/float64(ewmaDecay))
	return (faded + 1e-6) * float64(t.inFlight+1)
}

// learn takes the time of an answer: a peak counts at once, what is less by and by.
func (t *target) recordLatency(now, took time.Duration) {
	x, keep := took.Seconds(), math.Exp(-float64(now-t.smoothedAt)/float64(ewmaDecay))
	if t.smoothedLatency = t.smoothedLatency*keep + x*(1-keep); x > t.smoothedLatency {
		t.smoothedLatency = x
	}
	t.smoothedAt = now
}

func (r *reference) send(now time.Duration, id policy.RequestID, x *referenceRequest) {
	if len(r.ready) == 0 || now >= x.deadline {
		r.respond(id, x)
		return
	}
	to := r.selectTarget(now)
	x.sent = append(x.sent, sentAttempt{to, now})
	to.inFlight++
	if r.bulkheads != nil {
		r.bulkheads[x.tenant].inFlight++
	}
	r.host.Send(id, to.id, min(x.attemptTimeout, x.deadline-now), 0)
}

// finish gives the request its answer: refused where that is harmless.
func (r *reference) respond(id policy.RequestID, x *referenceRequest) {
	delete(r.requests, id)
	if x.mayHaveRun && r.cfg.Classes[x.class].Idempotency != policy.Idempotent {
		r.host.Fail(id)
	} else {
		r.host.Reject(id, 0)
	}
}

// AttemptEnded takes the end of an attempt: what may be sent again is.
func (r *reference) AttemptEnded(now time.Duration, o policy.AttemptOutcome) {
	x := r.requests[o.ID]
	if x == nil {
		return
	}
	a := x.sent[o.Attempt]
	a.to.inFlight--
	a.to.recordLatency(now, now-a.at)
	if r.bulkheads != nil {
		r.bulkheads[x.tenant].inFlight--
	}
	defer r.dispatchQueued(now, x.tenant)
	if o.Completed {
		delete(r.requests, o.ID)
		return
	}
	never := o.Result == policy.Rejected || o.Result == policy.ConnectionFailed || o.Result == policy.NotSent
	x.mayHaveRun = x.mayHaveRun || !never
	if r.mayRetry(x) {
		r.send(now, o.ID, x)
		return
	}
	r.respond(o.ID, x)
}

// again says whether a request goes out once more.
func (r *reference) mayRetry(x *referenceRequest) bool {
	if len(x.sent) >= r.cfg.MaxAttempts || x.mayHaveRun && r.cfg.Classes[x.class].Idempotency != policy.Idempotent {
		return false
	}
	if r.retries == RetryWithBudget {
		if r.retryBudget < 1 {
			return false
		}
		r.retryBudget--
	}
	return true
}

// feed gives a free slot to what waits.
func (r *reference) dispatchQueued(now time.Duration, tenant int) {
	if r.bulkheads == nil {
		return
	}
	for w := &r.bulkheads[tenant]; len(w.queue) > 0 && w.inFlight < w.slots; {
		id := w.queue[0]
		w.queue = w.queue[1:]
		if x := r.requests[id]; x != nil {
			r.send(now, id, x)
		}
	}
}

// ClientDisconnected lets a request go.
func (r *reference) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(r.requests, id) }
