package platform

import (
	"encoding/json"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// Entries that are invalid must not make the other entries of the list unusable, and an unknown
// health must count as draining.
func TestInvalidEntriesAreIsolated(t *testing.T) {
	text := peertest.RequireJSON(t, peertest.EndpointListJSON(1, true,
		`{"host":7,"dial":"127.0.0.1:7","health":"up"}`,
		`"nonsense"`,
		peertest.EndpointJSON("s-1", "127.0.0.1:7", "up", 4000),
		`{"host":"s-3","dial":"127.0.0.1:8","health":"a later word","later":{"x":1}}`))
	var listing Listing
	if err := json.Unmarshal([]byte(text), &listing); err != nil {
		t.Fatal(err)
	}
	update := listing.EndpointUpdate()
	if update.Version != 1 || !update.Complete || len(update.Endpoints) != 4 {
		t.Fatalf("got %+v, want a complete list of version 1 with 4 endpoints", update)
	}
	if update.Endpoints[0].Name != "" || update.Endpoints[1].Name != "" {
		t.Fatalf("got %+v, want the invalid entries without a name", update)
	}
	valid := update.Endpoints[2]
	if valid.Name != "s-1" || valid.Health != core.Ready || valid.StartedAt.Seconds() != 4 ||
		valid.Weight != 1 || *valid.Cell != 3 {
		t.Errorf("valid entry: got %+v, want s-1, ready, cell 3, weight 1, started at 4s", valid)
	}
	if unknown := update.Endpoints[3]; unknown.Name != "s-3" || unknown.Health != core.Draining {
		t.Errorf("unknown health: got %+v, want s-3 draining", unknown)
	}
}
