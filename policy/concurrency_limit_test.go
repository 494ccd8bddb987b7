package policy

import (
	"testing"
	"time"
)

// An endpoint with slow responses gets fewer attempts, whether the endpoint itself is slow or the other
// balancers overload it.
func TestSlowEndpointHasLowerLimit(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for range 50 {
		b.endpointsByID[1].squaredLatencyRatio += (0.8*0.8 - b.endpointsByID[1].squaredLatencyRatio) / 8
	}
	if slow, fast := b.concurrencyLimit(b.endpointsByID[1]), b.concurrencyLimit(b.endpointsByID[2]); slow != 1 || fast != 4 {
		t.Fatalf("got limits %v and %v, want 1 and 4", slow, fast)
	}
}

// When endpoints leave the list, the remaining endpoints must not get the attempts of the endpoints that
// left, or the remaining endpoints would be overloaded.
func TestLimitDoesNotGrowWhenEndpointsLeave(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2, 3, 4))
	b.EndpointsUpdated(ms, FullUpdate, readyEndpoints(1))
	for id := range RequestID(6) {
		receive(b, ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 2 {
		t.Fatalf("got %d of 8 slots at the last of four endpoints, want its share of 2", h.attemptsAt(1))
	}
	// At full quotas, the fleet has 12 attempts in flight, a quarter of them at one endpoint.
	b.ProbeCompleted(2*ms, 1, true, LoadReport{InFlight: 6})
	endAttempt(b, 3*ms, h.sends[0].id, 0, Served)
	receive(b, 3*ms, 10, idempotentClass)
	if h.attemptsAt(1) != 2 {
		t.Fatal("the last of four endpoints got an attempt above a quarter of the fleet's attempts plus 2")
	}
}

// During a deployment, new endpoints and the endpoints that they replace are ready together, so that
// the total weight is higher than usual. If the peak weight were kept, the concurrency limits would
// stay too low. If it were dropped at once, the other endpoints would be overloaded while some
// endpoints are unavailable for a short time.
func TestPeakWeightDecaysAfterReplacement(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	limit := func() float64 { return b.concurrencyLimit(b.endpointsByID[1]) }
	before := limit()
	b.EndpointsUpdated(time.Second, FullUpdate, readyEndpoints(1, 2, 3, 4))
	during := limit()
	b.EndpointsUpdated(2*time.Second, FullUpdate, readyEndpoints(1, 3))
	after := limit()
	b.EndpointsUpdated(10*time.Minute, DeltaUpdate, nil)
	if longAfter := limit(); during > before*0.6 || after > during*1.1 || longAfter < before*0.99 {
		t.Errorf("got limits %v before, %v during, %v right after and %v long after the overlap",
			before, during, after, longAfter)
	}
}
