package peertest

import (
	"testing"

	"mothridge/internal/peers"
)

// NewEureka starts a stand-in Eureka registry on a free loopback port. It is closed at the end of
// the test.
func NewEureka(t testing.TB) *peers.EurekaRegistry {
	t.Helper()
	registry, err := peers.StartEureka("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	return registry
}
