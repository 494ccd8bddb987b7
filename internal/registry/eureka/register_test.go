package eureka

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// It registers as STARTING, is UP once ready, renews, registers anew when its
// lease is lost or another replica takes over, and leaves at the end.
func TestRegistration(t *testing.T) {
	a, b := startRegistry(t), startRegistry(t)
	var ready atomic.Bool
	r, err := NewRegistrar(Registration{
		Replicas: []string{a.URL(), b.URL() + "/"}, App: "mothridge", VIP: "sidecars", Addr: "127.0.0.1:7070", Renew: 10 * time.Millisecond,
		Metadata: map[string]string{"zone": "a"}, Ready: ready.Load,
	})
	if err != nil {
		t.Fatal(err)
	}
	leave, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.Run(leave)
		close(ended)
	}()
	status := func(e *peers.Eureka) string {
		i, _ := e.Instance(r.ID())
		return i.Status
	}
	peertest.Until(t, "the registration", func() bool { return status(a) == "STARTING" })
	ready.Store(true)
	peertest.Until(t, "UP", func() bool { return status(a) == "UP" })
	if i, _ := a.Instance(r.ID()); i.App != "MOTHRIDGE" || i.Port != 7070 || i.IP != "127.0.0.1" || i.VIP != "sidecars" || i.Metadata["zone"] != "a" {
		t.Errorf("registered as %+v", i)
	}
	renewed := a.Calls("renew")
	peertest.Until(t, "renewals", func() bool { return a.Calls("renew") > renewed+2 })
	a.Cancel(r.ID()) // as if its lease had run out
	peertest.Until(t, "registering again", func() bool { return status(a) == "UP" })
	a.Fault(peers.ServerFail)
	peertest.Until(t, "the other replica", func() bool { return status(b) == "UP" })
	end()
	peertest.Await(t, "the end", ended)
	if _, there := b.Instance(r.ID()); there || b.Calls("status") != 1 || b.Calls("cancel") != 1 {
		t.Errorf("after leaving: still there %v, %d and %d calls", there, b.Calls("status"), b.Calls("cancel"))
	}
}

func TestRegistrationThatCannotBe(t *testing.T) {
	for name, c := range map[string]Registration{
		"no address": {Replicas: []string{"http://x"}, App: "a", Addr: "host:1"}, "no replica": {App: "a", Addr: "127.0.0.1:1"},
		"no app": {Replicas: []string{"http://x"}, Addr: "127.0.0.1:1"},
	} {
		if _, err := NewRegistrar(c); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
