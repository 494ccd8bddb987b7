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

func TestListThenDeltas(t *testing.T) {
	for _, asXML := range []bool{false, true} {
		t.Run(fmt.Sprint("xml=", asXML), func(t *testing.T) {
			registry := peertest.NewEureka(t)
			registry.Register(testInstance(1, "UP"))
			client := newManualClient(t, Config{XML: asXML}, registry)
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
			if registry.Calls("/apps") != 1 {
				t.Errorf("the complete list was fetched %d times", registry.Calls("/apps"))
			}
		})
	}
}

// checkAllFields checks that each field of the first instance has arrived.
func checkAllFields(t *testing.T, update Update) {
	t.Helper()
	if len(update.Instances) == 0 {
		t.Fatal("no instance")
	}
	got := update.Instances[0]
	if got.Dirty == 0 || got.Updated == 0 || got.ServiceUpTime == 0 {
		t.Errorf("times of %+v", got)
	}
	if got.Port != 7001 || got.SecurePort != 0 || got.IP != "127.0.0.1" {
		t.Errorf("address of %+v", got)
	}
	if got.App != "RECORDS" || got.VIP != "records" || got.Override != "UNKNOWN" || got.Metadata["zone"] != "a" {
		t.Errorf("texts of %+v", got)
	}
}

// After a delta that does not add up to the registry's hash the complete list is fetched.
func TestHashMismatch(t *testing.T) {
	registry := peertest.NewEureka(t)
	registry.Register(testInstance(1, "UP"))
	client := newManualClient(t, Config{}, registry)
	client.pollOnce(t)
	client.list.countByStatus["UP"] = 7 // as if a change had been missed
	registry.Register(testInstance(2, "UP"))
	client.expectList(t, "1 UP, 2 UP")
	registry.SetFault(peers.WrongHash)
	if err := client.poll(t.Context()); !errors.Is(err, errHashMismatch) || !strings.Contains(err.Error(), "adds up") {
		t.Errorf("a complete list that does not add up either: %v", err)
	}
	registry.SetFault(peers.NoFault)
	client.expectList(t, "1 UP, 2 UP")
}

// Each fault of a registry is an error without an update; the next good poll goes on.
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
					t.Errorf("error %v", err)
				}
			}
			if len(client.updates) != 1 {
				t.Errorf("%d updates came of it", len(client.updates)-1)
			}
			registry.SetFault(peers.NoFault)
			client.cfg.Timeout = time.Second
			client.expectChanges(t, "")
		})
	}
}

// A failed poll goes on with the next replica, in their order, from its complete list.
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
	ended := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(ended)
	}()
	update := peertest.Await(t, "the first list", updates)
	if update.Replica != first.URL() || summarize(update) != "1 UP" {
		t.Errorf("got %+v", update)
	}
	first.SetFault(peers.ServerError)
	if update := nextUpdateFrom(t, updates, second); !update.Complete || summarize(update) != "1 UP, 2 UP" {
		t.Errorf("got %+v", update)
	}
	second.Close()
	first.SetFault(peers.NoFault)
	if update := nextUpdateFrom(t, updates, first); !update.Complete {
		t.Errorf("got %+v", update)
	}
	cancel()
	peertest.Await(t, "the end", ended)
}

// nextUpdateFrom waits for the next update from a replica.
func nextUpdateFrom(t *testing.T, updates <-chan Update, replica *peers.Eureka) Update {
	t.Helper()
	for {
		if update := peertest.Await(t, "the next replica's update", updates); update.Replica == replica.URL() {
			return update
		}
	}
}

// Only some apps and VIP addresses are followed; one without an instance is no error.
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

func TestInvalidConfig(t *testing.T) {
	if _, err := NewClient(Config{}, nil); !errors.Is(err, ErrNoReplica) {
		t.Errorf("without a replica: error %v", err)
	}
	if _, err := NewClient(Config{Replicas: []string{"127.0.0.1:8761"}}, nil); err == nil {
		t.Error("a replica that is no URL: no error")
	}
}

// A response of 50 MB is rejected at its bound and not read to its end.
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
	client, err := NewClient(config, func(Update) { t.Error("it was published") })
	if err != nil {
		t.Fatal(err)
	}
	defer client.http.CloseIdleConnections()
	err = client.poll(t.Context())
	if err == nil || !strings.Contains(err.Error(), "more than 4 MB") || client.bytesFetched > 6<<20 {
		t.Errorf("error %v after %d bytes", err, client.bytesFetched)
	}
}

// A delta of maxInstances entries is applied; one that is repeated changes nothing.
func TestLargeDelta(t *testing.T) {
	client := newManualClient(t, Config{Replicas: []string{"http://127.0.0.1:1"}})
	client.applyList(&Applications{Instances: []Instance{{ID: "i0", Status: "UP", Dirty: 1}}})
	client.updates = nil
	delta := &Applications{Hash: "UP_1000_"}
	for i := range maxInstances {
		entry := Instance{ID: fmt.Sprint("i", i%1000), Status: "UP", Action: "MODIFIED", Dirty: int64(2 + i)}
		delta.Instances = append(delta.Instances, entry)
	}
	if !client.applyDelta(delta) || len(client.updates) != 1 || len(client.updates[0].Instances) != maxInstances {
		t.Fatalf("%d updates", len(client.updates))
	}
	if known := len(client.list.versions); known != 1000 {
		t.Errorf("%d instances are known", known)
	}
	if !client.applyDelta(delta) || len(client.updates[1].Instances) != 0 {
		t.Error("the same delta again has changes")
	}
}
