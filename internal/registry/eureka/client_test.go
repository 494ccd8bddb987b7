package eureka

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// TestListThenDeltas checks that after one complete list each poll publishes exactly the changes of its delta,
// without another fetch of the complete list.
func TestListThenDeltas(t *testing.T) {
	for _, useXML := range []bool{false, true} {
		t.Run(fmt.Sprint("xml=", useXML), func(t *testing.T) {
			registry := peertest.NewEureka(t)
			registry.Register(testInstance(1, "UP"))
			client := newManualClient(t, Config{XML: useXML}, registry)
			checkAllFields(t, client.expectList(t, "1 UP"))
			for _, step := range []struct {
				change func()
				want   string
			}{
				{func() {}, ""},
				{func() { registry.Register(testInstance(2, "UP")) }, "ADDED 2 UP"},
				{func() { registry.Override("records-2:80", "OUT_OF_SERVICE") }, "MODIFIED 2 OUT_OF_SERVICE"},
				{func() {
					registry.Override("records-2:80", "DOWN")
					registry.Override("records-2:80", "")
				}, "MODIFIED 2 DOWN, MODIFIED 2 UP"},
				{func() { registry.Cancel("records-1:80") }, "DELETED 1 UP"},
				{func() { registry.Register(testInstance(1, "STARTING")) }, "ADDED 1 STARTING"},
				{func() {}, ""},
			} {
				step.change()
				client.expectChanges(t, step.want)
			}
			if registry.CallCount("/apps") != 1 {
				t.Errorf("got %d fetches of the complete list, want 1", registry.CallCount("/apps"))
			}
		})
	}
}

// checkAllFields checks that each field of the first instance of an update has the registered value.
func checkAllFields(t *testing.T, update Update) {
	t.Helper()
	if len(update.Instances) == 0 {
		t.Fatal("got no instance, want at least one")
	}
	got := update.Instances[0]
	if got.LastDirty == 0 || got.LastUpdated == 0 || got.ServiceUpTime == 0 {
		t.Errorf("got %+v, want nonzero times", got)
	}
	if got.Port != 7001 || got.SecurePort != 0 || got.IP != "127.0.0.1" {
		t.Errorf("got %+v, want port 7001, no secure port and IP 127.0.0.1", got)
	}
	if got.App != "RECORDS" || got.VIP != "records" || got.OverriddenStatus != "UNKNOWN" || got.Metadata["zone"] != "a" {
		t.Errorf("got %+v, want app RECORDS, VIP records, override UNKNOWN and zone a", got)
	}
}

// TestHashMismatch checks that the client fetches the complete list if the hash after a delta differs from the
// registry's hash, which happens after a missed change. If the complete list does not match its own hash either,
// the poll must return an error.
func TestHashMismatch(t *testing.T) {
	registry := peertest.NewEureka(t)
	registry.Register(testInstance(1, "UP"))
	client := newManualClient(t, Config{}, registry)
	client.pollOnce(t)
	client.list.countByStatus["UP"] = 7 // simulates a missed change
	registry.Register(testInstance(2, "UP"))
	client.expectList(t, "1 UP, 2 UP")
	registry.SetFault(peers.WrongHash)
	if err := client.poll(t.Context()); !errors.Is(err, errHashMismatch) || !strings.Contains(err.Error(), "list: computed") {
		t.Errorf("complete list with a wrong hash: got error %v, want a hash mismatch", err)
	}
	registry.SetFault(peers.NoFault)
	client.expectList(t, "1 UP, 2 UP")
}

// TestRegistryFaults checks that a poll returns a one-line error and publishes no update when the registry
// returns an error status, a truncated body or invalid JSON, or does not respond. The first poll after the fault
// must succeed and continue with deltas.
func TestRegistryFaults(t *testing.T) {
	for name, fault := range map[string]peers.EurekaFault{
		"fails": peers.ServerError, "cut": peers.TruncatedBody, "garbage": peers.NotJSON, "silent": peers.NoResponse,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry := peertest.NewEureka(t)
			registry.Register(testInstance(1, "UP"))
			client := newManualClient(t, Config{Timeout: 200 * time.Millisecond}, registry)
			client.pollOnce(t)
			registry.SetFault(fault)
			for range 2 {
				if err := client.poll(t.Context()); err == nil || strings.Contains(err.Error(), "\n") {
					t.Errorf("got error %v, want a one-line error", err)
				}
			}
			if len(client.updates) != 1 {
				t.Errorf("got %d updates from failed polls, want 0", len(client.updates)-1)
			}
			registry.SetFault(peers.NoFault)
			client.cfg.Timeout = time.Second
			client.expectChanges(t, "")
		})
	}
}

// TestFailover checks that after a failed poll the client continues with the next replica in the configured
// order, and that the first update from that replica is a complete list.
func TestFailover(t *testing.T) {
	first, second := peertest.NewEureka(t), peertest.NewEureka(t)
	first.Register(testInstance(1, "UP"))
	second.Register(testInstance(1, "UP"))
	second.Register(testInstance(2, "UP"))
	updates := make(chan Update, 100)
	client, err := NewClient(Config{
		Replicas: []string{first.URL(), second.URL()}, Interval: 5 * time.Millisecond, Timeout: time.Second, Seed: 1,
	}, func(update Update) { updates <- update })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	update := peertest.Await(t, "the first list", updates)
	if update.Replica != first.URL() || summarize(update) != "1 UP" {
		t.Errorf("got %+v, want the list \"1 UP\" of the first replica", update)
	}
	first.SetFault(peers.ServerError)
	if update := nextUpdateFrom(t, updates, second); !update.Complete || summarize(update) != "1 UP, 2 UP" {
		t.Errorf("got %+v, want the complete list \"1 UP, 2 UP\" of the second replica", update)
	}
	second.Close()
	first.SetFault(peers.NoFault)
	if update := nextUpdateFrom(t, updates, first); !update.Complete {
		t.Errorf("got %+v, want a complete list of the first replica", update)
	}
	cancel()
	peertest.Await(t, "the end of Run", done)
}

// nextUpdateFrom waits for the next update from a replica and discards updates from other replicas.
func nextUpdateFrom(t *testing.T, updates <-chan Update, replica *peers.EurekaRegistry) Update {
	t.Helper()
	for {
		if update := peertest.Await(t, "an update from the next replica", updates); update.Replica == replica.URL() {
			return update
		}
	}
}

// TestSelectedApps checks that the client publishes only instances of the configured apps and VIP addresses, each
// instance once, and that an app or VIP address without instances does not cause an error.
func TestSelectedApps(t *testing.T) {
	registry := peertest.NewEureka(t)
	registry.Register(testInstance(1, "UP"))
	other := testInstance(2, "UP")
	other.App, other.VIP = "OTHER", "other"
	registry.Register(other)
	third := testInstance(3, "UP")
	third.App = "THIRD"
	registry.Register(third)
	client := newManualClient(t, Config{Apps: []string{"records", "none"}, VIPs: []string{"records", "none"}}, registry)
	client.expectList(t, "1 UP, 3 UP")
}

// TestInvalidConfig checks that NewClient rejects a configuration without replicas or with an invalid URL.
func TestInvalidConfig(t *testing.T) {
	if _, err := NewClient(Config{}, nil); !errors.Is(err, ErrNoReplica) {
		t.Errorf("no replica: got error %v, want ErrNoReplica", err)
	}
	if _, err := NewClient(Config{Replicas: []string{"127.0.0.1:8761"}}, nil); err == nil {
		t.Error("replica that is not a URL: got no error, want one")
	}
}

// TestOversizedResponse checks that a response of 50 MB is rejected once it exceeds the bound of 4 MB. The client
// must not read the rest of the response or publish an update.
func TestOversizedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"applications":{"application":[`))
		application := []byte(`{"name":"` + strings.Repeat("x", 1<<14) + `"},`)
		for range 50 << 6 {
			if _, err := w.Write(application); err != nil {
				return
			}
		}
		w.Write([]byte(`{}]}}`))
	}))
	defer server.Close()
	config := Config{Replicas: []string{server.URL}, MaxResponseMB: 4, Timeout: 5 * time.Second}
	client, err := NewClient(config, func(Update) { t.Error("got an update, want none") })
	if err != nil {
		t.Fatal(err)
	}
	defer client.http.CloseIdleConnections()
	err = client.poll(t.Context())
	if err == nil || !strings.Contains(err.Error(), "must be at most 4 MB") || client.bytesFetched > 6<<20 {
		t.Errorf("got error %v after %d bytes, want a size error after at most 6 MiB", err, client.bytesFetched)
	}
}

// TestLargeDelta checks that a delta of maxInstances entries is applied, and that the same delta, which a replica
// repeats for minutes, causes no changes when it is applied again.
func TestLargeDelta(t *testing.T) {
	client := newManualClient(t, Config{Replicas: []string{"http://127.0.0.1:1"}})
	client.applyList(&Applications{Instances: []Instance{{ID: "i0", Status: "UP", LastDirty: 1}}})
	client.updates = nil
	delta := &Applications{Hash: "UP_1000_"}
	for i := range maxInstances {
		entry := Instance{ID: fmt.Sprint("i", i%1000), Status: "UP", Action: "MODIFIED", LastDirty: int64(2 + i)}
		delta.Instances = append(delta.Instances, entry)
	}
	if !client.applyDelta(delta) || len(client.updates) != 1 || len(client.updates[0].Instances) != maxInstances {
		t.Fatalf("got %d updates, want 1 with every entry of the delta", len(client.updates))
	}
	if known := len(client.list.versions); known != 1000 {
		t.Errorf("got %d known instances, want 1000", known)
	}
	if !client.applyDelta(delta) || len(client.updates[1].Instances) != 0 {
		t.Error("the same delta again: got changes, want none")
	}
}
