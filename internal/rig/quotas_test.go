package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"mothridge/internal/admin"
	"mothridge/internal/peers"
	"mothridge/internal/quotas"
)

const twoTenants = `
[quotas]
reclaim = "500ms"
part = 1.0
[[quota]]
name = "service"
requests = 200.0
windows = ["1s"]
[[quota]]
name = "north"
parent = "service"
tenant = "north"
requests = 150.0
windows = ["1s"]
[[quota]]
name = "south"
parent = "service"
tenant = "south"
requests = 50.0
windows = ["1s"]
`

// Two tenants through the real program, with either protocol: the busy one has what
// the quiet one leaves; the quiet one has its share when it comes back; of both
// busy each has its share within 5%; every request has one response, and rejections
// say when to come back.
func TestQuotasOfTwoTenants(t *testing.T) {
	for _, pair := range oneProtocol {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testQuotasOfTwoTenants(t, pair)
		})
	}
}

func testQuotasOfTwoTenants(t *testing.T, pair pairing) {
	socket := filepath.Join(t.TempDir(), "s")
	file := newOperatorsFile(t, fmt.Sprintf("[admin]\nsocket = %q\n", socket)+twoTenants)
	rig := start(t, Options{
		Front: pair.front, Nodes: pair.nodes, Operators: file.load, Slots: 256, Open: 512, Sockets: 2048,
	})
	client := startClient(t, rig)
	if got := sendAtRates(t, client, 2*time.Second, [2]int{0, 300}); got[1] < 300 {
		t.Errorf("alone, a tenant of 50 a second was served %d in two seconds, want nearly 200 a second", got[1])
	}
	sendAtRates(t, client, time.Second, [2]int{300, 300}) // uses up what was saved and lent
	got := sendAtRates(t, client, 4*time.Second, [2]int{300, 300})
	if got[0] < 570 || got[0] > 680 || got[1] < 180 || got[1] > 215 {
		t.Errorf("both busy: %d and %d in four seconds, want 600 and 200, and a tenth of the debt", got[0], got[1])
	}
	var nodes []quotas.NodeView
	err := admin.Query(t.Context(), socket, "quotas", &nodes)
	if err != nil || len(nodes) != 3 ||
		nodes[2].Usage.Borrowed == 0 || nodes[1].Usage.Lent == 0 || nodes[2].Rejection == "" {
		t.Errorf("%v, %+v", err, nodes)
	}
}

// sendAtRates sends the requests of each tenant at an even rate a second, and returns
// how many were served.
func sendAtRates(t *testing.T, client peers.Client, duration time.Duration, rates [2]int) (served [2]int) {
	t.Helper()
	var lock sync.Mutex
	var running sync.WaitGroup
	sendOne := func(tenant, i int) {
		id := fmt.Sprintf("%d-%d-%d", tenant, i, time.Now().UnixNano())
		got := client.Do(context.Background(), Request(Read, id, Tenant(tenant)))
		lock.Lock()
		defer lock.Unlock()
		switch {
		case got.Outcome == peers.Served:
			served[tenant]++
		case got.Outcome != peers.Rejected || got.RetryAfter <= 0:
			t.Errorf("tenant %d: %+v", tenant, got)
		}
	}
	for tenant, rate := range rates {
		if rate == 0 {
			continue
		}
		interval := time.Second / time.Duration(rate)
		schedule := func(i int) (time.Duration, bool) {
			at := time.Duration(i) * interval
			return at, at < duration
		}
		running.Go(func() {
			peers.OpenLoop(context.Background(), time.Now(), schedule, func(i int, _ time.Time) {
				running.Go(func() { sendOne(tenant, i) })
			})
		})
	}
	running.Wait()
	return served
}

// A reload takes other quotas, and a file that is wrong changes nothing.
func TestQuotasReload(t *testing.T) {
	const name = "mothridge.toml"
	quotasOf := func(rate float64) string {
		return fmt.Sprintf("[quotas]\npart = 1.0\n[[quota]]\nname = \"all\"\nrequests = %.1f\nwindows = [\"1s\"]\n", rate)
	}
	file := newOperatorsFile(t, quotasOf(5))
	reload := make(chan os.Signal)
	rig := start(t, Options{Reload: reload, Operators: file.load})
	client := startClient(t, rig)
	first := countServed(t, client, "a")
	file.write(name, quotasOf(1000)+"[[quota]]\nname = \"x\"\nparent = \"nobody\"\ntenant = \"north\"\n")
	reloadTwice(reload)
	second := countServed(t, client, "b")
	file.write(name, quotasOf(1000))
	reloadTwice(reload)
	time.Sleep(50 * time.Millisecond) // of 1,000 a second: enough for all of the requests
	if third := countServed(t, client, "c"); first < 5 || first > 7 || second > 3 || third != 40 {
		t.Errorf("served %d of 40 at five a second, %d after a file that is wrong, %d after one of a thousand",
			first, second, third)
	}
}

// countServed sends 40 requests, one after the other.
func countServed(t *testing.T, client peers.Client, prefix string) (served int) {
	t.Helper()
	for i := range 40 {
		call := Request(Read, fmt.Sprint(prefix, i), Tenant(0))
		if client.Do(t.Context(), call).Outcome == peers.Served {
			served++
		}
	}
	return served
}
