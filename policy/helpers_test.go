package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// sentAttempt records one call of Send.
type sentAttempt struct {
	id      RequestID
	to      EndpointID
	timeout time.Duration
}

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	sends         []sentAttempt
	rejected      map[RequestID]time.Duration
	failed        map[RequestID]bool
	cancelled     []RequestID
	startedAt     []time.Duration // times of the sends, in tests that record them
	probes        []EndpointID
	watchRequests int
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) Send(id RequestID, to EndpointID, timeout, _ time.Duration) {
	h.sends = append(h.sends, sentAttempt{id, to, timeout})
}

func (h *fakeHost) Reject(id RequestID, pause time.Duration) {
	h.rejected[id] = pause
}

func (h *fakeHost) Fail(id RequestID) {
	h.failed[id] = true
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.cancelled = append(h.cancelled, id)
}

func (h *fakeHost) SetTimer(time.Duration) {}

func (h *fakeHost) Probe(to EndpointID) {
	h.probes = append(h.probes, to)
}

func (h *fakeHost) RequestWatch() {
	h.watchRequests++
}

// attemptsAt returns the number of attempts at an endpoint.
func (h *fakeHost) attemptsAt(id EndpointID) int {
	n := 0
	for _, attempt := range h.sends {
		if attempt.to == id {
			n++
		}
	}
	return n
}

// The indexes of the classes of testConfig.
const (
	idempotentClass = iota
	keyedClass
	keyedInZoneClass
	keyedInCellClass
	notIdempotentClass
)

// testConfig returns a valid configuration with one class for each kind of idempotency.
func testConfig() Config {
	class := func(idempotency Idempotency, scope DedupScope) Class {
		return Class{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: idempotency, DedupScope: scope, DedupWindow: 700 * ms}
	}
	return Config{
		FleetSize: 2,
		Classes: []Class{
			class(Idempotent, ScopeAll), class(IdempotentByKey, ScopeAll), class(IdempotentByKey, ScopeZone), class(IdempotentByKey, ScopeCell),
			class(NotIdempotent, ScopeAll),
		},
		Tenants:                 []Tenant{{Share: 0.75, Quota: 75}, {Share: 0.25, Quota: 25}},
		Slots:                   8,
		MaxAttempts:             3,
		CancelAllowed:           true,
		MaxRetryAfter:           time.Second,
		EventResolution:         5 * ms,
		WatchRequestWithin:      10 * time.Second,
		SlowStartInitialShare:   0.3,
		SlowStartDuration:       8 * time.Second,
		SlowStartOverloadFactor: 3,
	}
}

// readyEndpoints returns an endpoint list in which all endpoints are ready and have weight 1.
func readyEndpoints(ids ...EndpointID) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
	}
	return list
}

// newTestBalancer returns a started Balancer with an endpoint list.
func newTestBalancer(t testing.TB, cfg Config, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	return newSeededBalancer(t, cfg, 1, list)
}

func newSeededBalancer(t testing.TB, cfg Config, seed uint64, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(0)
	b.EndpointsUpdated(0, FullUpdate, list)
	return b, h
}

// receive delivers a request of tenant 0 with a timeout of 2 s.
func receive(b *Balancer, now time.Duration, id RequestID, class int) {
	b.RequestReceived(now, Request{ID: id, Class: class, Timeout: 2 * time.Second})
}

// endAttempt reports the end of an attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id RequestID, attempt int, result AttemptResult) {
	b.AttemptEnded(now, AttemptOutcome{ID: id, Attempt: attempt, Result: result, Completed: result == Served})
}

// lowTrafficConfig returns a configuration with a fleet so large that the traffic of each balancer
// counts as low.
func lowTrafficConfig() Config {
	cfg := testConfig()
	cfg.FleetSize, cfg.ProbesAllowed, cfg.Slots = 1000, true, 8
	return cfg
}
