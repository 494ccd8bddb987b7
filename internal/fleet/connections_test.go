package fleet

import (
	"testing"
)

// A connection serves many requests, a connection is closed after its idle timeout, and a node accepts no more
// connections than its bound.
func TestConnections(t *testing.T) {
	scenario := steadyScenario(2, 0.5)
	scenario.Network = Network{Delay: ms / 4, HandshakeWork: ms, HandshakeRoundTrips: 2}
	kept := mustRun(t, scenario)
	scenario.Network.IdleTimeout = 5 * ms
	closed := mustRun(t, scenario)
	scenario.Network.IdleTimeout, scenario.Network.MaxConnections = 0, 1
	bounded := mustRun(t, scenario)
	if kept.Handshakes > kept.Requests/20 {
		t.Errorf("connections kept: got %d handshakes for %d requests, want at most 1 per 20 requests",
			kept.Handshakes, kept.Requests)
	}
	if closed.Handshakes < kept.Handshakes*5 {
		t.Errorf("idle connections closed: got %d handshakes, want at least 5 times the %d of kept connections",
			closed.Handshakes, kept.Handshakes)
	}
	if bounded.Handshakes > kept.Handshakes || bounded.Attempts > bounded.Served+uint64(scenario.Nodes) {
		t.Errorf("1 connection per node: got %d handshakes, want at most %d; got %d attempts, want at most %d + 2",
			bounded.Handshakes, kept.Handshakes, bounded.Attempts, bounded.Served)
	}
}
