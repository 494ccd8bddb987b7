package policy

import (
	"testing"
	"time"
)

// Guards against this: all walls together let servers pass into their slower state.
func TestReportedLoadWallsTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	b.ProbeCompleted(ms, 1, true, LoadReport{InFlight: 50})
	for id := range RequestID(4) {
		ask(b, ms, id, safeClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 {
		t.Fatalf("sent %d to the full server", h.sentTo(1))
	}
	if len(h.probes) != 2 {
		t.Fatalf("%d probes for 4 requests, want 2", len(h.probes))
	}
	b.ProbeCompleted(2*ms, 9, true, LoadReport{InFlight: 1})   // a server not listed
	b.ProbeCompleted(2*ms, 1, false, LoadReport{InFlight: -1}) // a failed probe
	for id := RequestID(10); id < 12; id++ {
		ask(b, 2*time.Second, id, safeClass) // the report is old by now
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an old report still bars the server")
	}
}

// A report of a server's load is older than most requests take: at one request
// more than the rest of the balancers usually hold there, it is not full.
func TestReportedLoadLeavesRoom(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	room := b.weights.proportionalShare(b.fleetInFlight, b.endpointsByID[1])
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(0, id, true, LoadReport{InFlight: room + 1})
	}
	ask(b, ms, 1, safeClass)
	if len(h.sends) != 1 {
		t.Error("nothing is sent with a place free at each server")
	}
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(2*ms, id, true, LoadReport{InFlight: room + 4})
	}
	ask(b, 3*ms, 2, safeClass)
	if len(h.sends) != 1 {
		t.Error("sent to servers that report to be full")
	}
}
