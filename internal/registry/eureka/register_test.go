package eureka

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// It registers as STARTING, is UP once ready, renews, registers again when its lease is lost or
// another replica is in use, and deregisters at the end.
func TestRegistration(t *testing.T) {
	first, second := peertest.NewEureka(t), peertest.NewEureka(t)
	var ready atomic.Bool
	registrar, err := NewRegistrar(Registration{
		Replicas:      []string{first.URL(), second.URL() + "/"},
		App:           "mothridge",
		VIP:           "sidecars",
		Addr:          "127.0.0.1:7070",
		RenewInterval: 10 * time.Millisecond,
		Metadata:      map[string]string{"zone": "a"},
		Ready:         ready.Load,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		registrar.Run(ctx)
		close(ended)
	}()
	waitForStatus := func(what string, registry *peers.Eureka, want string) {
		t.Helper()
		peertest.Until(t, what, func() bool {
			registered, _ := registry.Instance(registrar.ID())
			return registered.Status == want
		})
	}
	waitForStatus("the registration", first, "STARTING")
	ready.Store(true)
	waitForStatus("UP", first, "UP")
	registered, _ := first.Instance(registrar.ID())
	if registered.App != "MOTHRIDGE" || registered.VIP != "sidecars" || registered.Metadata["zone"] != "a" ||
		registered.Port != 7070 || registered.IP != "127.0.0.1" {
		t.Errorf("registered as %+v", registered)
	}
	renewals := first.Calls("renew")
	peertest.Until(t, "renewals", func() bool { return first.Calls("renew") > renewals+2 })
	first.Cancel(registrar.ID()) // as if its lease had run out
	waitForStatus("registering again", first, "UP")
	first.SetFault(peers.ServerError)
	waitForStatus("the other replica", second, "UP")
	cancel()
	peertest.Await(t, "the end", ended)
	if _, present := second.Instance(registrar.ID()); present {
		t.Error("still registered after the end")
	}
	if second.Calls("status") != 1 || second.Calls("cancel") != 1 {
		t.Errorf("at the end %d calls of status and %d of cancel", second.Calls("status"), second.Calls("cancel"))
	}
}

func TestInvalidRegistration(t *testing.T) {
	for name, config := range map[string]Registration{
		"no address": {Replicas: []string{"http://x"}, App: "a", Addr: "host:1"},
		"no replica": {App: "a", Addr: "127.0.0.1:1"},
		"no app":     {Replicas: []string{"http://x"}, Addr: "127.0.0.1:1"},
	} {
		if _, err := NewRegistrar(config); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
