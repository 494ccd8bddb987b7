package policy

import (
	"testing"
	"time"
)

// The concurrency limits of all balancers together would let an endpoint be overloaded.
func TestReportedFullEndpointIsSkipped(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.ProbeCompleted(ms, 1, true, LoadReport{InFlight: 50})
	for id := range RequestID(4) {
		receive(b, ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 0 || h.attemptsAt(2) != 4 {
		t.Fatalf("%d attempts at the full endpoint", h.attemptsAt(1))
	}
	if len(h.probes) != 2 {
		t.Fatalf("%d probes for 4 requests, want 2", len(h.probes))
	}
	b.ProbeCompleted(2*ms, 9, true, LoadReport{InFlight: 1})   // an unknown endpoint
	b.ProbeCompleted(2*ms, 1, false, LoadReport{InFlight: -1}) // a failed probe
	for id := RequestID(10); id < 12; id++ {
		receive(b, 2*time.Second, id, idempotentClass) // the report is old by now
	}
	if h.attemptsAt(1) == 0 {
		t.Fatal("an old report still counts")
	}
}

// A report is older than most requests take: an endpoint with one request above its share
// of what the fleet holds at the quotas is not full.
func TestReportedLoadTolerance(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	share := b.weights.proportionalShare(b.fleetInFlight, b.endpointsByID[1])
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(0, id, true, LoadReport{InFlight: share + 1})
	}
	receive(b, ms, 1, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("no attempt though each endpoint is within the tolerance")
	}
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(2*ms, id, true, LoadReport{InFlight: share + 4})
	}
	receive(b, 3*ms, 2, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("an attempt at an endpoint that reports to be full")
	}
}
