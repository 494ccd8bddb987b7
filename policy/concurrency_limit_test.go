package policy

import (
	"testing"
	"time"
)

// An endpoint with slow responses, by itself or by the load of others, holds fewer attempts.
func TestSlowEndpointHasLowerLimit(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for range 50 {
		b.endpointsByID[1].squaredLatencyRatio += (0.8*0.8 - b.endpointsByID[1].squaredLatencyRatio) / 8
	}
	if slow, fast := b.concurrencyLimit(b.endpointsByID[1]), b.concurrencyLimit(b.endpointsByID[2]); slow != 1 || fast != 4 {
		t.Fatalf("limits %v and %v, want 1 and 4", slow, fast)
	}
}

// When a fleet shrinks, the endpoints that remain do not get the share of those that left.
func TestLimitDoesNotGrowWhenEndpointsLeave(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2, 3, 4))
	b.EndpointsUpdated(ms, FullUpdate, readyEndpoints(1))
	for id := range RequestID(6) {
		receive(b, ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 2 {
		t.Fatalf("%d of 8 slots at the last of four endpoints, want its share of 2", h.attemptsAt(1))
	}
	b.ProbeCompleted(2*ms, 1, true, LoadReport{InFlight: 6}) // 12 at the quotas, a fourth of that at one endpoint
	endAttempt(b, 3*ms, h.sends[0].id, 0, Served)
	receive(b, 3*ms, 10, idempotentClass)
	if h.attemptsAt(1) != 2 {
		t.Fatal("the last of four endpoints may hold more than a fourth and two of the whole fleet's attempts")
	}
}

// While replacements overlap with what they replace there is more weight than usual. If that
// were kept, limits would be too low for good; if it were forgotten at once, endpoints that
// are out for a moment would leave the others overloaded.
func TestPeakWeightDecaysAfterReplacement(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	limit := func() float64 { return b.concurrencyLimit(b.endpointsByID[1]) }
	alone := limit()
	b.EndpointsUpdated(time.Second, FullUpdate, readyEndpoints(1, 2, 3, 4))
	overlap := limit()
	b.EndpointsUpdated(2*time.Second, FullUpdate, readyEndpoints(1, 3))
	after := limit()
	b.EndpointsUpdated(10*time.Minute, DeltaUpdate, nil)
	if late := limit(); overlap > alone*0.6 || after > overlap*1.1 || late < alone*0.99 {
		t.Errorf("limits: %v, in the overlap %v, right after it %v, much later %v", alone, overlap, after, late)
	}
}
