package policy

import (
	"testing"
	"time"
)

// The concurrency limit covers the attempts of one balancer only, so that all balancers together could
// overload an endpoint. An endpoint that reports a high load must be skipped while its report is
// fresh.
func TestReportedFullEndpointIsSkipped(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.ProbeCompleted(ms, 1, true, LoadReport{InFlight: 50})
	for id := range RequestID(4) {
		receive(b, ms, id, idempotentClass)
	}
	if h.attemptsAt(1) != 0 || h.attemptsAt(2) != 4 {
		t.Fatalf("got %d attempts at the full endpoint, want 0", h.attemptsAt(1))
	}
	if len(h.probes) != 2 {
		t.Fatalf("got %d probes for 4 requests, want 2", len(h.probes))
	}
	b.ProbeCompleted(2*ms, 9, true, LoadReport{InFlight: 1})   // an unknown endpoint
	b.ProbeCompleted(2*ms, 1, false, LoadReport{InFlight: -1}) // a failed probe
	for id := RequestID(10); id < 12; id++ {
		receive(b, 2*time.Second, id, idempotentClass) // the report is no longer fresh
	}
	if h.attemptsAt(1) == 0 {
		t.Fatal("an outdated load report is still in use")
	}
}

// A load report is older than the duration of most requests. An endpoint with one request above its
// share of the requests that the fleet has in flight at full quotas must not count as full.
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
		t.Error("got no attempt while each endpoint is within the tolerance, want 1")
	}
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(2*ms, id, true, LoadReport{InFlight: share + 4})
	}
	receive(b, 3*ms, 2, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("got an attempt at an endpoint that is full by its load report, want none")
	}
}
