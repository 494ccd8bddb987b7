package policy

import (
	"slices"
	"testing"
	"time"
)

// An endpoint that is draining, removed or no longer in a full list must get no attempt.
func TestDrainingEndpointGetsNoAttempt(t *testing.T) {
	for _, state := range []Health{Draining, Removed} {
		b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
		b.EndpointsUpdated(10*ms, DeltaUpdate, []Endpoint{{ID: 1, Health: state, Weight: 1}})
		for id := range RequestID(10) {
			receive(b, 10*ms, id, idempotentClass)
			endAttempt(b, 20*ms, id, 0, Served)
		}
		if h.attemptsAt(1) != 0 || h.attemptsAt(2) != 10 {
			t.Fatalf("health %v: got %d attempts at endpoint 1, want 0", state, h.attemptsAt(1))
		}
	}
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	b.EndpointsUpdated(10*ms, FullUpdate, readyEndpoints(2)) // a full list without endpoint 1
	for id := range RequestID(4) {
		receive(b, 10*ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 0 {
		t.Fatal("got an attempt at an endpoint that is no longer in the full list, want none")
	}
}

// After failed watch requests, the balancer must retry with growing pauses, keep its endpoint list,
// and learn of changes in time.
func TestWatchIsRequestedAgainAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1))
	if h.watchRequests != 1 {
		t.Fatalf("got %d watch requests at the start, want 1", h.watchRequests)
	}
	intervals, last, requested := []time.Duration{}, time.Duration(0), 1
	b.EndpointsUpdated(0, FailedUpdate, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.watchRequests > requested {
			requested = h.watchRequests
			intervals = append(intervals, now-last)
			last = now
			b.EndpointsUpdated(now, FailedUpdate, nil)
		}
	}
	// A watch request fails after 3 s at the latest, and the next one gets its response within 2 s. With pauses
	// below 3 s, the balancer knows of a change 8 s after it was available. The balancer is expected to know of
	// a change after 6 s, and to apply it within 2 more seconds.
	if len(intervals) < 4 || slices.Max(intervals) >= 3*time.Second ||
		slices.Max(intervals) >= cfg.WatchRequestWithin || intervals[0] >= intervals[len(intervals)-1] {
		t.Fatalf("got intervals %v between watch requests, want at least 4 growing ones below 3s and %v",
			intervals, cfg.WatchRequestWithin)
	}
	if b.endpointsByID[1] == nil {
		t.Fatal("a failed watch request removed the endpoints of the previous list")
	}
	b.EndpointsUpdated(40*time.Second, FullUpdate, readyEndpoints(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests != requested {
		t.Fatal("the watch was requested again after it succeeded")
	}
}

// A registry may not respond to a watch request. The balancer must repeat the request before it is
// expected to know of a change.
func TestUnansweredWatchRequestIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.WatchRequestWithin; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests < 2 {
		t.Fatal("watch request without a response was not repeated within WatchRequestWithin")
	}
}

// If WatchRequestWithin is unknown, a watch request without a response is repeated at the default
// interval, not at every timer.
func TestUnansweredWatchRequestIsRepeatedAtDefaultInterval(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.WatchRequestWithin = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests != 3 {
		t.Fatalf("got %d watch requests in 10 s, want 3: one at the start and one every 4 s", h.watchRequests)
	}
}
