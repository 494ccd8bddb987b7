package eureka

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// testInstance returns an instance to register: the n-th one of the app RECORDS.
func testInstance(n int, status string) peers.EurekaInstance {
	return peers.EurekaInstance{
		ID:       fmt.Sprint("records-", n, ":80"),
		App:      "RECORDS",
		Host:     "127.0.0.1",
		IP:       "127.0.0.1",
		Port:     7000 + n,
		VIP:      "records",
		Status:   status,
		Metadata: map[string]string{"zone": "a"},
	}
}

// manualClient is a Client that polls when the test calls it.
type manualClient struct {
	*Client
	updates []Update // since the last successful poll
}

func newManualClient(t *testing.T, config Config, registries ...*peers.Eureka) *manualClient {
	t.Helper()
	for _, registry := range registries {
		config.Replicas = append(config.Replicas, registry.URL())
	}
	if config.Timeout == 0 {
		config.Timeout = 2 * time.Second
	}
	polled := new(manualClient)
	client, err := NewClient(config, func(update Update) { polled.updates = append(polled.updates, update) })
	if err != nil {
		t.Fatal(err)
	}
	polled.Client = client
	t.Cleanup(client.http.CloseIdleConnections)
	return polled
}

// pollOnce polls once, without error, and returns the one update of it.
func (c *manualClient) pollOnce(t *testing.T) Update {
	t.Helper()
	c.updates = nil
	if err := c.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(c.updates) != 1 {
		t.Fatalf("%d updates by one poll", len(c.updates))
	}
	return c.updates[0]
}

// expectList polls once and checks that the update is a complete list.
func (c *manualClient) expectList(t *testing.T, want string) Update {
	t.Helper()
	update := c.pollOnce(t)
	if !update.Complete || summarize(update) != want {
		t.Errorf("got %+v, want the complete list %q", update, want)
	}
	return update
}

// expectChanges polls once and checks that the update holds changes alone.
func (c *manualClient) expectChanges(t *testing.T, want string) {
	t.Helper()
	if update := c.pollOnce(t); update.Complete || summarize(update) != want {
		t.Errorf("got %+v, want the changes %q", update, want)
	}
}

// summarize returns the number and status of each instance, with the action where it is a change.
func summarize(update Update) string {
	var all []string
	for i := range update.Instances {
		instance := &update.Instances[i]
		text := strings.TrimSuffix(strings.TrimPrefix(instance.ID, "records-"), ":80") + " " + instance.Status
		if !update.Complete {
			text = instance.Action + " " + text
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}
