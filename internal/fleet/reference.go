package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/policy"
)

// reference is a reference policy: it selects endpoints with a simple selector and sends further attempts according to
// its retry mode.
type reference struct {
	config  policy.Config
	host    policy.Host
	retries RetryMode

	selector    selector
	ready       []*target // in list order
	targets     map[policy.EndpointID]*target
	requests    map[policy.RequestID]*referenceRequest
	retryBudget float64             // number of further attempts that may start
	bulkheads   []referenceBulkhead // by tenant; nil: submissions do not wait for a slot
}

// selector selects one of the ready endpoints, of which there is at least one.
type selector interface {
	selectTarget(now time.Duration, ready []*target) *target
}

// target is the state that a reference policy keeps for an endpoint.
type target struct {
	id              policy.EndpointID
	inFlight        int           // attempts of this sidecar in flight
	smoothedLatency float64       // seconds
	smoothedAt      time.Duration // when smoothedLatency was last updated
}

// referenceRequest is a submission that a reference policy has not yet responded to.
type referenceRequest struct {
	class, tenant  int
	deadline       time.Duration
	attemptTimeout time.Duration
	attempts       []referenceAttempt
	mayHaveRun     bool // at least one of the attempts may have run
}

type referenceAttempt struct {
	target    *target
	startedAt time.Duration
}

func newReference(scenario *Scenario, config policy.Config, seed uint64, host policy.Host) *reference {
	created := &reference{
		config:      config,
		host:        host,
		retries:     scenario.Retries,
		selector:    newSelector(scenario.Policy, randomStream(seed, "reference", 0)),
		targets:     make(map[policy.EndpointID]*target),
		requests:    make(map[policy.RequestID]*referenceRequest),
		retryBudget: maxRetryBudget,
	}
	if scenario.Policy == Bulkhead {
		created.bulkheads = newBulkheads(scenario)
	}
	return created
}

func newSelector(name Policy, random *rand.Rand) selector {
	switch name {
	case RoundRobin, Bulkhead:
		return &roundRobinSelector{}
	case TwoChoices:
		return &twoChoicesSelector{random, inFlightCost}
	case PeakEWMA:
		return &twoChoicesSelector{random, expectedLatencyCost}
	case Random, Mothridge:
	}
	return &randomSelector{random}
}

// Start implements balancer; a reference policy needs no start.
func (reference *reference) Start(time.Duration) {}

// ProbeCompleted implements balancer; a reference policy sends no probes.
func (reference *reference) ProbeCompleted(time.Duration, policy.EndpointID, bool, policy.LoadReport) {
}

// TimerFired implements balancer; a reference policy sets no timer.
func (reference *reference) TimerFired(time.Duration) {}

// EndpointsUpdated implements balancer: it updates the ready endpoints.
func (reference *reference) EndpointsUpdated(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	switch kind {
	case policy.FailedUpdate:
		return
	case policy.DeltaUpdate:
	default:
		reference.ready = nil
	}
	for _, entry := range entries {
		reference.updateTarget(entry)
	}
}

func (reference *reference) updateTarget(entry policy.Endpoint) {
	updated := reference.targets[entry.ID]
	if updated == nil {
		updated = &target{id: entry.ID}
		reference.targets[entry.ID] = updated
	}
	at := slices.Index(reference.ready, updated)
	switch {
	case entry.Health == policy.Ready && at < 0:
		reference.ready = append(reference.ready, updated)
	case entry.Health != policy.Ready && at >= 0:
		reference.ready = slices.Delete(reference.ready, at, at+1)
	}
}

// RequestReceived implements balancer: it sends a first attempt, or passes the submission to its tenant's bulkhead.
func (reference *reference) RequestReceived(now time.Duration, received policy.Request) {
	request := &referenceRequest{
		class:          received.Class,
		tenant:         received.Tenant,
		deadline:       now + received.Timeout,
		attemptTimeout: received.Timeout,
	}
	if reference.retries != RetryUnstarted {
		request.attemptTimeout = received.Timeout / time.Duration(reference.config.MaxAttempts)
	}
	reference.requests[received.ID] = request
	reference.addRetryBudget()
	if reference.bulkheads == nil {
		reference.send(now, received.ID, request)
		return
	}
	reference.admitToBulkhead(now, received.ID, request)
}

func (reference *reference) send(now time.Duration, id policy.RequestID, request *referenceRequest) {
	if len(reference.ready) == 0 || now >= request.deadline {
		reference.respond(id, request)
		return
	}
	selected := reference.selector.selectTarget(now, reference.ready)
	request.attempts = append(request.attempts, referenceAttempt{selected, now})
	selected.inFlight++
	if reference.bulkheads != nil {
		reference.bulkheads[request.tenant].inFlight++
	}
	reference.host.Send(id, selected.id, min(request.attemptTimeout, request.deadline-now), 0)
}

// respond rejects a submission if a retry is safe, and fails the submission otherwise.
func (reference *reference) respond(id policy.RequestID, request *referenceRequest) {
	delete(reference.requests, id)
	if request.mayHaveRun && !reference.isIdempotent(request) {
		reference.host.Fail(id)
	} else {
		reference.host.Reject(id, 0)
	}
}

func (reference *reference) isIdempotent(request *referenceRequest) bool {
	return reference.config.Classes[request.class].Idempotency == policy.Idempotent
}

// AttemptEnded implements balancer: it releases the attempt, then sends a further attempt or responds.
func (reference *reference) AttemptEnded(now time.Duration, outcome policy.AttemptOutcome) {
	request := reference.requests[outcome.ID]
	if request == nil {
		return
	}
	attempt := request.attempts[outcome.Attempt]
	attempt.target.inFlight--
	attempt.target.recordLatency(now, now-attempt.startedAt)
	if reference.bulkheads != nil {
		reference.bulkheads[request.tenant].inFlight--
	}
	defer reference.dispatchQueued(now, request.tenant)
	if outcome.Completed {
		delete(reference.requests, outcome.ID)
		return
	}
	if !neverRan(outcome.Result) {
		request.mayHaveRun = true
	}
	if reference.mayRetry(request) {
		reference.send(now, outcome.ID, request)
		return
	}
	reference.respond(outcome.ID, request)
}

// neverRan reports whether the result proves that the request did not run.
func neverRan(result policy.AttemptResult) bool {
	return result == policy.Rejected || result == policy.ConnectionFailed || result == policy.NotSent
}

// ClientDisconnected implements balancer: it removes the submission.
func (reference *reference) ClientDisconnected(_ time.Duration, id policy.RequestID) {
	delete(reference.requests, id)
}
