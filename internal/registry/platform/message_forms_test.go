package platform

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// A drain is published as soon as the last byte of its message has arrived, whatever white space
// the message contains and however it is split into pieces. The watch stays open and no further
// call is made.
func TestMessageFormats(t *testing.T) {
	ready, otherEndpoint := endpointText("up"), peertest.EndpointJSON("s-2", "127.0.0.1:8", "up", 0)
	change := peertest.EndpointListJSON(43, false, endpointText("draining"))
	fieldEnd := strings.Index(change, ",\"health\"") // offset between two fields of the message
	for name, pieces := range map[string][]string{
		"one line":                           {change + "\n"},
		"no final line break":                {change},
		"indented":                           {indented(t, change) + "\n"},
		"carriage returns":                   {strings.ReplaceAll(indented(t, change), "\n", "\r\n") + "\r\n\r\n"},
		"byte by byte":                       strings.Split(change+"\n", ""),
		"indented, byte by byte":             strings.Split(indented(t, change), ""),
		"after another message":              {peertest.EndpointListJSON(42, false, ready) + "\n" + change + "\n"},
		"start in piece of another message":  {peertest.EndpointListJSON(42, false, ready) + change[:30], change[30:]},
		"empty lines within the message":     {change[:fieldEnd], "\n", "\n", change[fieldEnd:]},
		"complete list without the endpoint": {peertest.EndpointListJSON(43, true, otherEndpoint) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			registry := peertest.NewDiscovery(t)
			updates := startDiscovery(t, registry, knownList(41))
			watch := peertest.Await(t, "the watch", registry.Watches)
			for _, piece := range pieces {
				select {
				case watch.Bytes <- piece:
				case <-watch.Ended:
					t.Fatal("the client closed the watch")
				}
			}
			wantDrainOrRemoval(t, updates, 43)
			wantStillOpen(t, registry, watch)
		})
	}
}

func indented(t *testing.T, text string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "\t"); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// wantDrainOrRemoval waits for the update with this version and checks that the endpoint s-1 is
// draining, or that the update is a complete list of only s-2.
func wantDrainOrRemoval(t *testing.T, updates <-chan core.EndpointUpdate, version uint64) {
	t.Helper()
	update := peertest.Await(t, "the change", updates)
	for update.Version != version {
		update = peertest.Await(t, "the change", updates)
	}
	removed := update.Complete && len(update.Endpoints) == 1 && update.Endpoints[0].Name == "s-2"
	if !removed && update.Endpoints[0].Health != core.Draining {
		t.Errorf("got the update %+v, want s-1 draining or removed", update)
	}
}

// wantStillOpen checks that the client still reads the watch and has made no other call.
func wantStillOpen(t *testing.T, registry *peertest.ScriptedDiscovery, watch *peertest.Watch) {
	t.Helper()
	select {
	case watch.Lines <- "":
	case <-watch.Ended:
		t.Error("the client closed the watch")
	}
	if len(registry.Watches) > 0 || len(registry.ListRequests) > 0 {
		t.Error("the client made another call")
	}
}
