package platform

import (
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// knownList returns an empty complete list with the given version.
func knownList(version uint64) *Listing { return &Listing{Version: version, Complete: true} }

// newDiscovery returns a Discovery that is not yet running, and the channel of its updates.
func newDiscovery(addr string, known *Listing) (*Discovery, <-chan core.EndpointUpdate) {
	updates := make(chan core.EndpointUpdate, 10)
	return New(addr, known, func(update core.EndpointUpdate) { updates <- update }), updates
}

// startDiscovery runs a Discovery against a stand-in and returns the channel of its updates.
func startDiscovery(t *testing.T, registry *peertest.ScriptedDiscovery, known *Listing) <-chan core.EndpointUpdate {
	t.Helper()
	discovery, updates := newDiscovery(registry.Addr, known)
	go discovery.Run(t.Context())
	return updates
}

// endpointText returns the JSON entry of the endpoint s-1 with the given health.
func endpointText(health string) string {
	return peertest.EndpointJSON("s-1", "127.0.0.1:7", health, 0)
}

// wantWatchFrom waits for the next watch and checks the version that it starts from.
func wantWatchFrom(t *testing.T, registry *peertest.ScriptedDiscovery, version string) *peertest.Watch {
	t.Helper()
	watch := peertest.Await(t, "the watch", registry.Watches)
	if watch.From != version {
		t.Errorf("the watch starts from version %s, want %s", watch.From, version)
	}
	return watch
}

// wantList waits for an update and checks that it is a complete list of this version with one
// endpoint.
func wantList(t *testing.T, updates <-chan core.EndpointUpdate, version uint64) {
	t.Helper()
	update := peertest.Await(t, "the list", updates)
	if update.Version != version || !update.Complete || len(update.Endpoints) != 1 {
		t.Errorf("got the update %+v, want a complete list of version %d with one endpoint", update, version)
	}
}

// wantNoMore checks that no further update has been published.
func wantNoMore(t *testing.T, updates <-chan core.EndpointUpdate) {
	t.Helper()
	if len(updates) > 0 {
		t.Errorf("got the update %+v, want none", <-updates)
	}
}
