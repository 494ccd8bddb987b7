package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// startedAttempt is one call of Send.
type startedAttempt struct {
	id      RequestID
	to      EndpointID
	timeout time.Duration
}

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	sends         []startedAttempt
	rejected      map[RequestID]time.Duration
	failed        map[RequestID]bool
	cancelled     []RequestID
	startedAt     []time.Duration // when the sends were, for a test that notes it
	probes        []EndpointID
	watchRequests int
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) Send(id RequestID, to EndpointID, timeout, _ time.Duration) {
	h.sends = append(h.sends, startedAttempt{id, to, timeout})
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

// attemptsAt counts the attempts at an endpoint.
func (h *fakeHost) attemptsAt(id EndpointID) int {
	n := 0
	for _, attempt := range h.sends {
		if attempt.to == id {
			n++
		}
	}
	return n
}

// The classes of testConfig.
const (
	idempotentClass = iota
	keyedClass
	keyedInZoneClass
	keyedInCellClass
	notIdempotentClass
)

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

func readyEndpoints(ids ...EndpointID) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
	}
	return list
}

// newTestBalancer makes a Balancer that has started and holds a list of endpoints.
func newTestBalancer(t testing.TB, cfg Config, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(0)
	b.EndpointsUpdated(0, FullUpdate, list)
	return b, h
}

// receive passes on a request of tenant 0.
func receive(b *Balancer, now time.Duration, id RequestID, class int) {
	b.RequestReceived(now, Request{ID: id, Class: class, Timeout: 2 * time.Second})
}

// endAttempt ends an attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id RequestID, attempt int, result AttemptResult) {
	b.AttemptEnded(now, AttemptOutcome{ID: id, Attempt: attempt, Result: result, Completed: result == Served})
}

// lowTrafficConfig has so many balancers that each sees too little of an endpoint.
func lowTrafficConfig() Config {
	cfg := testConfig()
	cfg.FleetSize, cfg.ProbesAllowed, cfg.Slots = 1000, true, 8
	return cfg
}
