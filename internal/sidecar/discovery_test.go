package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A module that asks gets its watch again after a failure, through the whole program.
func TestAskingSidecarWatches(t *testing.T) {
	g := peertest.NewDiscovery(t)
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{ask: true}, g.Addr, peertest.HostText("s-0", "127.0.0.1:1", "draining", 0)))
	close(peertest.Await(t, "the watch", g.Watches).Lines)
	w := peertest.Await(t, "the next watch", g.Watches)
	w.Lines <- peertest.ListText(2, false, peertest.HostText("s-1", u.Addr, "up", 0))
	serveSoon(t, addr)
}

// serveSoon sends requests until one is served: news of the list is on its way.
func serveSoon(t *testing.T, addr string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint("soon-", i)}).Do(t, addr); got.Status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("never served")
		}
	}
}

func TestDrainActsAtOnce(t *testing.T) {
	g := peertest.NewDiscovery(t)
	a, b := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("a"))), peertest.NewUpstream(t, peertest.Always(peertest.Answer200("b")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, g.Addr, peertest.HostText("s-1", a.Addr, "up", 0)))
	w := peertest.Await(t, "the watch", g.Watches)
	serveSoon(t, addr)
	peertest.Await(t, "a request", a.Requests)
	w.Lines <- peertest.ListText(2, false, peertest.HostText("s-1", a.Addr, "draining", 0), peertest.HostText("s-2", b.Addr, "up", 0))
	for i := range 1000 { // until the news has arrived; from then on everything goes to the other
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, addr); got.Body == "b" {
			break
		}
	}
	clear := len(a.Requests)
	for i := range 20 {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint("later-", i)}).Do(t, addr); got.Body != "b" {
			t.Errorf("got %+v", got)
		}
	}
	if len(a.Requests) != clear {
		t.Error("a request went to a draining upstream")
	}
}
