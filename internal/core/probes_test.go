package core

import (
	"testing"

	"mothridge/policy"
)

// The Balancer matches an endpoint's probe results to its requests by their order.
func TestProbeResultsKeepTheirOrder(t *testing.T) {
	core := newTestCore(t, upEndpoint("s-1", "127.0.0.1:7"))
	endpoint := core.endpoints.byName["s-1"]
	first, second := &probe{endpoint: endpoint}, &probe{endpoint: endpoint}
	endpoint.probes = []*probe{first, second}
	probeCompleted{probe: second, load: policy.LoadReport{InFlight: 1}}.handle(core)
	if len(endpoint.probes) != 2 {
		t.Fatal("the second result was delivered before the first")
	}
	probeCompleted{probe: first, load: policy.LoadReport{InFlight: -1}, err: ErrNotSent}.handle(core)
	if len(endpoint.probes) != 0 {
		t.Errorf("%d results are not delivered", len(endpoint.probes))
	}
}
