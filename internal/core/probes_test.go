package core

import (
	"testing"

	"mothridge/policy"
)

// The Balancer matches an endpoint's probe results to its probe requests by their order. A probe that
// completes before an earlier probe must not be reported first.
func TestProbeResultsKeepTheirOrder(t *testing.T) {
	core := newTestCore(t, readyEndpoint("s-1", "127.0.0.1:7"))
	endpoint := core.endpoints.byName["s-1"]
	first, second := &probe{endpoint: endpoint}, &probe{endpoint: endpoint}
	endpoint.probes = []*probe{first, second}
	probeCompleted{probe: second, load: policy.LoadReport{InFlight: 1}}.handle(core)
	if len(endpoint.probes) != 2 {
		t.Fatal("the second probe's result was reported before the first, want it to be kept")
	}
	probeCompleted{probe: first, load: policy.LoadReport{InFlight: -1}, err: ErrNotSent}.handle(core)
	if len(endpoint.probes) != 0 {
		t.Errorf("got %d unreported probe results, want 0", len(endpoint.probes))
	}
}
