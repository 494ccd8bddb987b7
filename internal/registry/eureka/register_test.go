package eureka

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// TestRegistration checks that a Registrar registers as STARTING, changes to UP once Ready returns true, renews the
// lease, registers again after the lease has expired or the replica has failed, and deregisters when Run ends.
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
	done := make(chan struct{})
	go func() {
		registrar.Run(ctx)
		close(done)
	}()
	waitForStatus := func(what string, registry *peers.EurekaRegistry, want string) {
		t.Helper()
		peertest.WaitUntil(t, what, func() bool {
			registered, _ := registry.Instance(registrar.ID())
			return registered.Status == want
		})
	}
	waitForStatus("status STARTING", first, "STARTING")
	ready.Store(true)
	waitForStatus("UP", first, "UP")
	registered, _ := first.Instance(registrar.ID())
	if registered.App != "MOTHRIDGE" || registered.VIP != "sidecars" || registered.Metadata["zone"] != "a" ||
		registered.Port != 7070 || registered.IP != "127.0.0.1" {
		t.Errorf("got registration %+v, want app MOTHRIDGE, VIP sidecars, zone a and 127.0.0.1:7070", registered)
	}
	renewals := first.CallCount("renew")
	peertest.WaitUntil(t, "renewals", func() bool { return first.CallCount("renew") > renewals+2 })
	first.Cancel(registrar.ID()) // simulates an expired lease
	waitForStatus("registration after the lease has expired", first, "UP")
	first.SetFault(peers.ServerError)
	waitForStatus("registration with the second replica", second, "UP")
	cancel()
	peertest.Await(t, "the end of Run", done)
	if _, present := second.Instance(registrar.ID()); present {
		t.Error("got a registration after the end of Run, want none")
	}
	if second.CallCount("status") != 1 || second.CallCount("cancel") != 1 {
		t.Errorf("got %d calls of status and %d of cancel, want 1 of each", second.CallCount("status"), second.CallCount("cancel"))
	}
}

// TestInvalidRegistration checks that NewRegistrar rejects a Registration without a valid address, a replica or an app.
func TestInvalidRegistration(t *testing.T) {
	for name, config := range map[string]Registration{
		"no address": {Replicas: []string{"http://x"}, App: "a", Addr: "host:1"},
		"no replica": {App: "a", Addr: "127.0.0.1:1"},
		"no app":     {Replicas: []string{"http://x"}, Addr: "127.0.0.1:1"},
	} {
		if _, err := NewRegistrar(config); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
