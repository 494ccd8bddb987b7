package policy

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingServerGetsNothingMore(t *testing.T) {
	for _, state := range []Health{Draining, Removed} {
		b, h := start(t, testConfig(), ready(1, 2))
		b.EndpointsUpdated(10*ms, DeltaUpdate, []Endpoint{{ID: 1, Health: state, Weight: 1}})
		for id := range RequestID(10) {
			ask(b, 10*ms, id, safeClass)
			end(b, 20*ms, id, 0, Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: sent %d to it", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), ready(1, 2))
	b.EndpointsUpdated(10*ms, FullUpdate, ready(2)) // absent from a full list
	for id := range RequestID(4) {
		ask(b, 10*ms, id, safeClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("sent to a server that left the full list")
	}
}

func TestAsksForTheListAndAgain(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	b, h := start(t, cfg, ready(1))
	if h.asks != 1 {
		t.Fatalf("asked %d times at the start", h.asks)
	}
	gaps, last, asked := []time.Duration{}, time.Duration(0), 1
	b.EndpointsUpdated(0, FailedUpdate, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.asks > asked {
			asked = h.asks
			gaps = append(gaps, now-last)
			last = now
			b.EndpointsUpdated(now, FailedUpdate, nil)
		}
	}
	// With 3 s after which a call is given up and 2 s that the next may wait, what could
	// be had is known 8 s later: told after 6 s, a drain is kept after 2 s more.
	if len(gaps) < 4 || slices.Max(gaps) >= 3*time.Second || slices.Max(gaps) >= cfg.WatchRequestWithin || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.WatchRequestWithin)
	}
	if b.endpointsByID[1] == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.EndpointsUpdated(40*time.Second, FullUpdate, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.asks != asked {
		t.Fatal("asks again though it is subscribed")
	}
}

func TestUnansweredCallIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.WatchRequestWithin; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.asks < 2 {
		t.Fatal("silence of the list service would have counted as being told")
	}
}

// Guards against asking at every Wake, or never again, where it is not known how soon silence counts.
func TestUnansweredCallIsRepeatedNowAndThenWithoutALimit(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.WatchRequestWithin = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.asks != 3 {
		t.Fatalf("asked %d times in 10 s, want at the start and every 4 s", h.asks)
	}
}
