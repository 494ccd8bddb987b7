package platform

import (
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// A watch publishes each change once and in order, and the next watch starts from the last version.
func TestWatchPublishesChangesInOrder(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	updates := startDiscovery(t, registry, knownList(41))
	watch := wantWatchFrom(t, registry, "41")
	watch.Lines <- peertest.EndpointListJSON(43, false, endpointText("up"))
	watch.Lines <- ""
	watch.Lines <- peertest.EndpointListJSON(43, false, endpointText("up")) // same version again: already known
	watch.Lines <- peertest.EndpointListJSON(47, false, endpointText("draining"))
	for i, want := range []struct {
		version   uint64
		endpoints int
		health    core.Health
	}{{43, 1, core.Ready}, {43, 0, 0}, {47, 1, core.Draining}} {
		update := peertest.Await(t, "a change", updates)
		if update.Version != want.version || len(update.Endpoints) != want.endpoints {
			t.Errorf("change %d: got %+v, want %+v", i, update, want)
		} else if want.endpoints > 0 && update.Endpoints[0].Health != want.health {
			t.Errorf("change %d: got %+v, want %+v", i, update, want)
		}
	}
	close(watch.Lines) // ends the watch
	wantWatchFrom(t, registry, "47")
}

// After an unreadable message or a lower version, the client fetches the complete list and then
// watches from the version of that list.
func TestGapFetchesCompleteList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable": `{"seq":42,"whole":false,"hosts":[{"ho`,
		"backwards":  peertest.EndpointListJSON(30, false),
		"no list":    `{"seq":42,"hosts":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			registry := peertest.NewDiscovery(t)
			updates := startDiscovery(t, registry, knownList(41))
			watch := peertest.Await(t, "the watch", registry.Watches)
			watch.Lines <- line
			peertest.Await(t, "the call for the complete list", registry.ListRequests)
			registry.ListResponses <- peertest.EndpointListJSON(45, true, endpointText("up"))
			wantList(t, updates, 45)
			wantWatchFrom(t, registry, "45")
		})
	}
}

// A watch that receives no data for watchSilence is closed and reopened from the same version.
func TestSilentWatchIsReopened(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	startDiscovery(t, registry, knownList(1))
	silent := peertest.Await(t, "the watch", registry.Watches)
	start := time.Now()
	wantWatchFrom(t, registry, "1")
	if took := time.Since(start); took < watchSilence/2 {
		t.Errorf("reopened after %v, want at least half of watchSilence", took)
	}
	peertest.Await(t, "the end of the silent watch", silent.Ended)
}

// Empty lines after an incomplete message do not count as data, because the rest of the message
// may never arrive. The watch must be reopened although empty lines still arrive.
func TestPartialMessageCountsAsSilence(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	updates := startDiscovery(t, registry, knownList(41))
	watch := peertest.Await(t, "the watch", registry.Watches)
	change := peertest.EndpointListJSON(43, false, endpointText("draining"))
	watch.Bytes <- change[:strings.Index(change, ",\"health\"")]
	start := time.Now()
	ticker := time.NewTicker(watchSilence / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			select {
			case watch.Lines <- "":
			case <-watch.Ended:
			}
			if time.Since(start) > 2*watchSilence {
				t.Fatal("empty lines kept a watch with an incomplete message open")
			}
			continue
		case next := <-registry.Watches:
			if next.From != "41" {
				t.Errorf("the next watch starts from version %s, want 41", next.From)
			}
		}
		break
	}
	wantNoMore(t, updates)
}
