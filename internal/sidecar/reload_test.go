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

// reloadText is a platform's file that differs from that of testConfig in what a reload may change.
func reloadText(discovery string) string {
	settings := fmt.Sprintf(testSettings, false, 500, "push")
	return fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, discovery, settings)
}

// A new configuration under way: requests that are held are answered, the held
// list stays in force until the new address has brought another, and a file
// that cannot be used changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	oldRegistry, newRegistry := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
	release := make(chan struct{})
	oldUpstream, newUpstream := newHoldingUpstream(t, "a", release), newServingUpstream(t, "b")
	config := testConfig(t, testOptions{}, oldRegistry.Addr, upEndpoint("s-1", oldUpstream.Addr))
	config.path = filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal)
	reload := func(text string) {
		t.Helper()
		writeFile(t, config.path, text)
		signals <- syscall.SIGHUP
	}
	address, _, _ := startReloadableSidecar(t, config, signals)
	watch := peertest.Await(t, "the watch", oldRegistry.Watches)
	held := peertest.Call{Class: "once", ID: "held"}.Start(t, address)
	peertest.Await(t, "the held one", oldUpstream.Requests)
	unresolved := peertest.ValidJSON(t, reloadText("discovery.internal"))
	for _, wrong := range []string{"", "{", unresolved, `{"discovery":"127.0.0.1:1"}`} {
		reload(wrong)
	}
	select {
	case watch.Lines <- peertest.ListText(2, false): // the old watch is still read
	case <-watch.Ended:
		t.Fatal("a wrong file ended the watch")
	}
	reload(peertest.ValidJSON(t, reloadText(newRegistry.Addr)))
	peertest.Await(t, "the call for the new list", newRegistry.ListRequests)
	if got := (peertest.Call{Class: "once", ID: "meanwhile"}).Do(t, address); got.Body != "a" {
		t.Errorf("without a new list: %+v", got)
	}
	newRegistry.ListResponses <- peertest.ListText(1, true, upEndpoint("s-2", newUpstream.Addr))
	peertest.Await(t, "the new watch", newRegistry.Watches)
	awaitBody(t, address, "b")
	close(release)
	if got := peertest.Await(t, "the held one's answer", held); got.Body != "a" {
		t.Errorf("the held one: %+v", got)
	}
}

// awaitBody sends requests until one is served with the body.
func awaitBody(t *testing.T, address, body string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		got := peertest.Call{Class: "once", ID: fmt.Sprint(i)}.Do(t, address)
		if got.Body == body {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the new list is not in force: %+v", got)
		}
	}
}
