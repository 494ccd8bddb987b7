package policy

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingEndpointGetsNoAttempt(t *testing.T) {
	for _, state := range []Health{Draining, Removed} {
		b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
		b.EndpointsUpdated(10*ms, DeltaUpdate, []Endpoint{{ID: 1, Health: state, Weight: 1}})
		for id := range RequestID(10) {
			receive(b, 10*ms, id, idempotentClass)
			endAttempt(b, 20*ms, id, 0, Served)
		}
		if h.attemptsAt(1) != 0 || h.attemptsAt(2) != 10 {
			t.Fatalf("state %v: %d attempts", state, h.attemptsAt(1))
		}
	}
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	b.EndpointsUpdated(10*ms, FullUpdate, readyEndpoints(2)) // absent from a full list
	for id := range RequestID(4) {
		receive(b, 10*ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 0 {
		t.Fatal("an attempt at an endpoint that left the full list")
	}
}

func TestWatchIsRequestedAgainAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1))
	if h.watchRequests != 1 {
		t.Fatalf("%d watch requests at the start", h.watchRequests)
	}
	gaps, last, requested := []time.Duration{}, time.Duration(0), 1
	b.EndpointsUpdated(0, FailedUpdate, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.watchRequests > requested {
			requested = h.watchRequests
			gaps = append(gaps, now-last)
			last = now
			b.EndpointsUpdated(now, FailedUpdate, nil)
		}
	}
	// With 3 s until a call is given up and 2 s until the next one is answered, a change is
	// known 8 s after it was available: it counts as known after 6 s, and is obeyed 2 s later.
	if len(gaps) < 4 || slices.Max(gaps) >= 3*time.Second || slices.Max(gaps) >= cfg.WatchRequestWithin || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.WatchRequestWithin)
	}
	if b.endpointsByID[1] == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.EndpointsUpdated(40*time.Second, FullUpdate, readyEndpoints(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests != requested {
		t.Fatal("requested again though it is subscribed")
	}
}

func TestSilentWatchRequestIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.WatchRequestWithin; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests < 2 {
		t.Fatal("a change would have counted as known, though the list service was silent")
	}
}

// Where WatchRequestWithin is unknown a request is repeated, but not at every timer.
func TestSilentWatchRequestIsRepeatedWithoutBound(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.WatchRequestWithin = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.watchRequests != 3 {
		t.Fatalf("%d watch requests in 10 s, want one at the start and every 4 s", h.watchRequests)
	}
}
