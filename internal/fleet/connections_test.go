package fleet

import (
	"testing"
)

// A connection serves many requests, an idle one is closed, and a node accepts no more than its bound.
func TestConnections(t *testing.T) {
	scenario := steadyScenario(2, 0.5)
	scenario.Network = Network{Delay: ms / 4, HandshakeWork: ms, HandshakeRoundTrips: 2}
	kept := mustRun(t, scenario)
	scenario.Network.IdleTimeout = 5 * ms
	closed := mustRun(t, scenario)
	scenario.Network.IdleTimeout, scenario.Network.MaxConnections = 0, 1
	bounded := mustRun(t, scenario)
	if kept.Handshakes > kept.Requests/20 {
		t.Errorf("%d handshakes for %d requests where connections are kept", kept.Handshakes, kept.Requests)
	}
	if closed.Handshakes < kept.Handshakes*5 {
		t.Errorf("%d handshakes where idle connections are closed, %d where they are kept",
			closed.Handshakes, kept.Handshakes)
	}
	if bounded.Handshakes > kept.Handshakes || bounded.Attempts > bounded.Served+uint64(scenario.Nodes) {
		t.Errorf("where a node accepts one connection: %d handshakes (%d without a bound), %d attempts, %d served",
			bounded.Handshakes, kept.Handshakes, bounded.Attempts, bounded.Served)
	}
}
