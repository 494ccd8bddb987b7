package sidecar

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// reloadText returns a platform's file that differs from the file of testConfig only in values that a
// reload may change.
func reloadText(discovery string) string {
	settings := fmt.Sprintf(testSettings, false, 500, "push")
	return fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, discovery, settings)
}

// A reload moves discovery to another address while requests are in flight. The requests in flight
// must get their responses, the old endpoint list must be used until the new address has sent a list,
// and an invalid file must change nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	oldRegistry, newRegistry := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
	release := make(chan struct{})
	oldUpstream, newUpstream := newBlockingUpstream(t, "a", release), newServingUpstream(t, "b")
	config := testConfig(t, testOptions{}, oldRegistry.Addr, upEndpoint("s-1", oldUpstream.Addr))
	config.platformFile = filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal)
	reload := func(text string) {
		t.Helper()
		writeFile(t, config.platformFile, text)
		signals <- syscall.SIGHUP
	}
	address, _, _ := startReloadableSidecar(t, config, signals)
	watch := peertest.Await(t, "the watch", oldRegistry.Watches)
	inFlight := peertest.Call{Class: "once", ID: "held"}.Start(t, address)
	peertest.Await(t, "the request in flight", oldUpstream.Requests)
	unresolvedAddress := peertest.RequireJSON(t, reloadText("discovery.internal"))
	for _, invalid := range []string{"", "{", unresolvedAddress, `{"discovery":"127.0.0.1:1"}`} {
		reload(invalid)
	}
	select {
	case watch.Lines <- peertest.EndpointListJSON(2, false): // the sidecar still reads the old watch
	case <-watch.Ended:
		t.Fatal("reload of an invalid file: got the end of the watch, want it open")
	}
	reload(peertest.RequireJSON(t, reloadText(newRegistry.Addr)))
	peertest.Await(t, "the request for the new list", newRegistry.ListRequests)
	if got := (peertest.Call{Class: "once", ID: "meanwhile"}).Do(t, address); got.Body != "a" {
		t.Errorf("before the new list: got %+v, want body a", got)
	}
	newRegistry.ListResponses <- peertest.EndpointListJSON(1, true, upEndpoint("s-2", newUpstream.Addr))
	peertest.Await(t, "the new watch", newRegistry.Watches)
	awaitBody(t, address, "b")
	close(release)
	if got := peertest.Await(t, "the response to the request in flight", inFlight); got.Body != "a" {
		t.Errorf("request in flight: got %+v, want body a", got)
	}
}

// awaitBody sends requests until a response has the given body.
func awaitBody(t *testing.T, address, body string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		got := peertest.Call{Class: "once", ID: fmt.Sprint(i)}.Do(t, address)
		if got.Body == body {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("new list not used in time: got %+v", got)
		}
	}
}
