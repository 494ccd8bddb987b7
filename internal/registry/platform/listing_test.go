package platform

import (
	"encoding/json"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// An unusable entry makes no other entry of its list unusable.
func TestUnusableEntries(t *testing.T) {
	text := peertest.ValidJSON(t, peertest.ListText(1, true,
		`{"host":7,"dial":"127.0.0.1:7","health":"up"}`,
		`"nonsense"`,
		peertest.HostText("s-1", "127.0.0.1:7", "up", 4000),
		`{"host":"s-3","dial":"127.0.0.1:8","health":"a later word","later":{"x":1}}`))
	var listing Listing
	if err := json.Unmarshal([]byte(text), &listing); err != nil {
		t.Fatal(err)
	}
	update := listing.EndpointUpdate()
	if update.Version != 1 || !update.Complete || len(update.Endpoints) != 4 {
		t.Fatalf("update %+v", update)
	}
	if update.Endpoints[0].Name != "" || update.Endpoints[1].Name != "" {
		t.Fatalf("update %+v", update)
	}
	usable := update.Endpoints[2]
	if usable.Name != "s-1" || usable.Health != core.Ready || usable.StartedAt.Seconds() != 4 ||
		usable.Weight != 1 || *usable.Cell != 3 {
		t.Errorf("the usable entry is %+v", usable)
	}
	if unknown := update.Endpoints[3]; unknown.Name != "s-3" || unknown.Health != core.Draining {
		t.Errorf("an unknown health: %+v, want draining", unknown)
	}
}
