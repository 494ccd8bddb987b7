package eureka

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// testInstance returns the instance with number n of the app RECORDS, for registration with the stand-in
// registry.
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

// manualClient is a Client whose Run is not started: it polls only when the test calls one of its methods.
type manualClient struct {
	*Client
	updates []Update // published since the start of the last pollOnce
}

func newManualClient(t *testing.T, config Config, registries ...*peers.EurekaRegistry) *manualClient {
	t.Helper()
	for _, registry := range registries {
		config.Replicas = append(config.Replicas, registry.URL())
	}
	if config.Timeout == 0 {
		config.Timeout = 2 * time.Second
	}
	manual := new(manualClient)
	client, err := NewClient(config, func(update Update) { manual.updates = append(manual.updates, update) })
	if err != nil {
		t.Fatal(err)
	}
	manual.Client = client
	t.Cleanup(client.http.CloseIdleConnections)
	return manual
}

// pollOnce polls once and returns the published update. The test fails on an error or another number of updates.
func (c *manualClient) pollOnce(t *testing.T) Update {
	t.Helper()
	c.updates = nil
	if err := c.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(c.updates) != 1 {
		t.Fatalf("got %d updates from one poll, want 1", len(c.updates))
	}
	return c.updates[0]
}

// expectList polls once and checks that the update is a complete list whose summary is want.
func (c *manualClient) expectList(t *testing.T, want string) Update {
	t.Helper()
	update := c.pollOnce(t)
	if !update.Complete || summarize(update) != want {
		t.Errorf("got %+v, want the complete list %q", update, want)
	}
	return update
}

// expectChanges polls once and checks that the update contains only changes and that their summary is want.
func (c *manualClient) expectChanges(t *testing.T, want string) {
	t.Helper()
	if update := c.pollOnce(t); update.Complete || summarize(update) != want {
		t.Errorf("got %+v, want the changes %q", update, want)
	}
}

// summarize returns the number and status of each instance of an update. For a change, the action precedes them.
func summarize(update Update) string {
	var summaries []string
	for i := range update.Instances {
		instance := &update.Instances[i]
		text := strings.TrimSuffix(strings.TrimPrefix(instance.ID, "records-"), ":80") + " " + instance.Status
		if !update.Complete {
			text = instance.Action + " " + text
		}
		summaries = append(summaries, text)
	}
	return strings.Join(summaries, ", ")
}
