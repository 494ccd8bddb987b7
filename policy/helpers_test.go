package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// sent is one attempt that a test host was asked to start.
type sent struct {
	id      RequestID
	to      EndpointID
	timeout time.Duration
}

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	sends     []sent
	refused   map[RequestID]time.Duration
	failed    map[RequestID]bool
	cancelled []RequestID
	wakes     []time.Duration
	at        []time.Duration // when the sends went out, where a test notes that
	probes    []EndpointID
	asks      int
	trace     []string
}

func newFakeHost() *fakeHost {
	return &fakeHost{refused: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, to EndpointID, timeout, within time.Duration) {
	h.sends = append(h.sends, sent{id, to, timeout})
	h.note("send %d %d %v", id, to, timeout)
}

func (h *fakeHost) Reject(id RequestID, pause time.Duration) {
	h.refused[id] = pause
	h.note("refuse %d %v", id, pause)
}

func (h *fakeHost) Fail(id RequestID) {
	h.failed[id] = true
	h.note("fail %d", id)
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.cancelled = append(h.cancelled, id)
	h.note("cancel %d %d", id, attempt)
}

func (h *fakeHost) SetTimer(d time.Duration) {
	h.wakes = append(h.wakes, d)
	h.note("wake %v", d)
}

func (h *fakeHost) Probe(to EndpointID) {
	h.probes = append(h.probes, to)
	h.note("probe %d", to)
}

func (h *fakeHost) RequestWatch() {
	h.asks++
	h.note("watch")
}

// sentTo counts the attempts sent to a server.
func (h *fakeHost) sentTo(id EndpointID) int {
	n := 0
	for _, s := range h.sends {
		if s.to == id {
			n++
		}
	}
	return n
}

// The classes of testConfig.
const (
	safeClass = iota
	keyedAll
	keyedZone
	keyedCell
	unsafeClass
)

func testConfig() Config {
	class := func(e Idempotency, s DedupScope) Class {
		return Class{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: e, DedupScope: s, DedupWindow: 700 * ms}
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

func ready(ids ...EndpointID) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
	}
	return list
}

// start makes a Balancer that holds a list of servers.
func start(t testing.TB, cfg Config, list []Endpoint) (*Balancer, *fakeHost) {
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

// ask hands in a request of tenant 0.
func ask(b *Balancer, now time.Duration, id RequestID, class int) {
	b.RequestReceived(now, Request{ID: id, Class: class, Timeout: 2 * time.Second})
}

// end ends an attempt of a request.
func end(b *Balancer, now time.Duration, id RequestID, attempt int, e AttemptResult) {
	b.AttemptEnded(now, AttemptOutcome{ID: id, Attempt: attempt, Result: e, Completed: e == Served})
}

// thinConfig has so many balancers that each sees too little of a server.
func thinConfig() Config {
	cfg := testConfig()
	cfg.FleetSize, cfg.ProbesAllowed, cfg.Slots = 1000, true, 8
	return cfg
}
