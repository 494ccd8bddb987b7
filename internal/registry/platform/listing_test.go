package platform

import (
	"encoding/json"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// One wrong entry must not spoil the list it stands in.
func TestWrongEntriesSpoilNoOther(t *testing.T) {
	text := peertest.Valid(t, peertest.ListText(1, true, `{"host":7,"dial":"127.0.0.1:7","health":"up"}`, `"nonsense"`,
		peertest.HostText("s-1", "127.0.0.1:7", "up", 4000), `{"host":"s-3","dial":"127.0.0.1:8","health":"a later word","later":{"x":1}}`))
	var l Listing
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	n := l.EndpointUpdate()
	if n.Version != 1 || !n.Complete || len(n.Endpoints) != 4 || n.Endpoints[0].Name != "" || n.Endpoints[1].Name != "" {
		t.Fatalf("news %+v", n)
	}
	if i := n.Endpoints[2]; i.Name != "s-1" || i.Health != core.Up || i.StartedAt.Seconds() != 4 || i.Weight != 1 || *i.Cell != 3 {
		t.Errorf("the good entry is %+v", i)
	}
	if i := n.Endpoints[3]; i.Name != "s-3" || i.Health != core.Draining {
		t.Errorf("a health that is not known: %+v, want draining", i)
	}
}
