package platform

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// In whatever form a message arrives, a drain in it is published once its last byte has come, on
// the watch that is open.
func TestMessagesInAllForms(t *testing.T) {
	up, other := endpointText("up"), peertest.HostText("s-2", "127.0.0.1:8", "up", 0)
	change := peertest.ListText(43, false, endpointText("draining"))
	between := strings.Index(change, ",\"health\"") // two fields
	for name, pieces := range map[string][]string{
		"a line":                    {change + "\n"},
		"no line break after it":    {change},
		"indented":                  {indented(t, change) + "\n"},
		"carriage returns":          {strings.ReplaceAll(indented(t, change), "\n", "\r\n") + "\r\n\r\n"},
		"byte by byte":              strings.Split(change+"\n", ""),
		"indented, byte by byte":    strings.Split(indented(t, change), ""),
		"after another":             {peertest.ListText(42, false, up) + "\n" + change + "\n"},
		"cut where another one was": {peertest.ListText(42, false, up) + change[:30], change[30:]},
		"empty lines in its middle": {change[:between], "\n", "\n", change[between:]},
		"a list without it":         {peertest.ListText(43, true, other) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			registry := peertest.NewDiscovery(t)
			updates := startDiscovery(t, registry, knownList(41))
			watch := peertest.Await(t, "the watch", registry.Watches)
			for _, piece := range pieces {
				select {
				case watch.Bytes <- piece:
				case <-watch.Ended:
					t.Fatal("the watch was ended")
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

// wantDrainOrRemoval waits for the update of a version and checks that the endpoint s-1 is
// draining in it, or absent from a complete list with s-2.
func wantDrainOrRemoval(t *testing.T, updates <-chan core.EndpointUpdate, version uint64) {
	t.Helper()
	update := peertest.Await(t, "the change", updates)
	for update.Version != version {
		update = peertest.Await(t, "the change", updates)
	}
	removed := update.Complete && len(update.Endpoints) == 1 && update.Endpoints[0].Name == "s-2"
	if !removed && update.Endpoints[0].Health != core.Draining {
		t.Errorf("published %+v", update)
	}
}

// wantStillOpen checks that a watch is still read and that there was no other call.
func wantStillOpen(t *testing.T, registry *peertest.Discovery, watch *peertest.Watch) {
	t.Helper()
	select {
	case watch.Lines <- "":
	case <-watch.Ended:
		t.Error("the watch was ended")
	}
	if len(registry.Watches) > 0 || len(registry.ListRequests) > 0 {
		t.Error("another call was needed")
	}
}
