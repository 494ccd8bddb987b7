package policy

import (
	"testing"
	"time"
)

// Guards against this: servers that answer late, slow themselves
// or crowded by others, keep an even part of the attempts.
func TestSlowServerHoldsLess(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpointsByID[1].squaredLatencyRatio += (0.8*0.8 - b.endpointsByID[1].squaredLatencyRatio) / 8
	}
	if slow, well := b.concurrencyLimit(b.endpointsByID[1]), b.concurrencyLimit(b.endpointsByID[2]); slow != 1 || well != 4 {
		t.Fatalf("portions %v and %v, want 1 and 4", slow, well)
	}
}

// Guards against this: a fleet shrinks, and what is left is handed the portions of what went.
func TestPortionsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed = true
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.EndpointsUpdated(ms, FullUpdate, ready(1))
	for id := range RequestID(6) {
		ask(b, ms, id, safeClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("%d of 8 slots at the last of four servers, want its portion of 2", h.sentTo(1))
	}
	b.ProbeCompleted(2*ms, 1, true, LoadReport{InFlight: 6}) // 12 at the quotas, a fourth of it at one server
	end(b, 3*ms, h.sends[0].id, 0, Served)
	ask(b, 3*ms, 10, safeClass)
	if h.sentTo(1) != 2 {
		t.Fatal("the last of four servers may hold more than a fourth and two of the whole fleet's attempts")
	}
}

// While replacements overlap with what they replace there is more than there will
// be. Were that kept, each server's portion would be too small for good; were it
// forgotten at once, servers that are out for a moment would leave the others overrun.
func TestOverlapOfReplacementsIsForgotten(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	portion := func() float64 { return b.concurrencyLimit(b.endpointsByID[1]) }
	alone := portion()
	b.EndpointsUpdated(time.Second, FullUpdate, ready(1, 2, 3, 4))
	overlap := portion()
	b.EndpointsUpdated(2*time.Second, FullUpdate, ready(1, 3))
	after := portion()
	b.EndpointsUpdated(10*time.Minute, DeltaUpdate, nil)
	if late := portion(); overlap > alone*0.6 || after > overlap*1.1 || late < alone*0.99 {
		t.Errorf("portions: %v, in the overlap %v, right after it %v, much later %v", alone, overlap, after, late)
	}
}
