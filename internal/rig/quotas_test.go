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

// Two tenants share a quota through the whole sidecar, with either protocol. While one tenant is idle, the
// other tenant may use the idle tenant's share. When the idle tenant returns, it gets its share again. While
// both tenants are busy for 4 s, 570 to 680 requests of the lender (its share is 600) and 180 to 215 of the
// borrower (its share is 200) are served. The bounds allow for the repayment of the loan. Each request gets one
// response, and each rejection contains the time to wait.
func TestQuotasOfTwoTenants(t *testing.T) {
	for _, pair := range sameProtocol {
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
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, ConfigureOperator: file.load,
		Slots: 256, MaxInFlightPerConn: 512, SocketLimit: 2048,
	})
	client := startClient(t, rig)
	if got := sendAtRates(t, client, 2*time.Second, [2]int{0, 300}); got[1] < 300 {
		t.Errorf("tenant with a quota of 50/s, alone, with 150/s to borrow: got %d served in 2 s, want at least 300",
			got[1])
	}
	sendAtRates(t, client, time.Second, [2]int{300, 300}) // uses up the saved and lent quota
	got := sendAtRates(t, client, 4*time.Second, [2]int{300, 300})
	if got[0] < 570 || got[0] > 680 || got[1] < 180 || got[1] > 215 {
		t.Errorf("both tenants busy: got %d and %d served in 4 s, want 570 to 680 and 180 to 215",
			got[0], got[1])
	}
	var nodes []quotas.NodeView
	err := admin.Query(t.Context(), socket, "quotas", &nodes)
	if err != nil || len(nodes) != 3 ||
		nodes[2].Usage.Borrowed == 0 || nodes[1].Usage.Lent == 0 || nodes[2].Rejection == "" {
		t.Errorf("quotas query: got error %v, nodes %+v, want 3 nodes with a borrower, a lender and a rejection",
			err, nodes)
	}
}

// sendAtRates sends the requests of each tenant at a constant rate per second and returns how many were
// served, by tenant. It fails the test for any other result than served or rejected with RetryAfter.
func sendAtRates(t *testing.T, client peers.Client, duration time.Duration, rates [2]int) (served [2]int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sendOne := func(tenant, i int) {
		id := fmt.Sprintf("%d-%d-%d", tenant, i, time.Now().UnixNano())
		got := client.Do(context.Background(), Request(Read, id, Tenant(tenant)))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case got.Outcome == peers.Served:
			served[tenant]++
		case got.Outcome != peers.Rejected || got.RetryAfter <= 0:
			t.Errorf("tenant %d: got %+v, want outcome served, or rejected with RetryAfter", tenant, got)
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
		wg.Go(func() {
			peers.OpenLoop(context.Background(), time.Now(), schedule, func(i int, _ time.Time) {
				wg.Go(func() { sendOne(tenant, i) })
			})
		})
	}
	wg.Wait()
	return served
}

// A reload applies changed quotas, and an invalid file changes nothing.
func TestQuotasReload(t *testing.T) {
	const name = "mothridge.toml"
	quotasOf := func(rate float64) string {
		return fmt.Sprintf("[quotas]\npart = 1.0\n[[quota]]\nname = \"all\"\nrequests = %.1f\nwindows = [\"1s\"]\n", rate)
	}
	file := newOperatorsFile(t, quotasOf(5))
	reload := make(chan os.Signal)
	rig := start(t, Options{Reload: reload, ConfigureOperator: file.load})
	client := startClient(t, rig)
	first := countServed(t, client, "a")
	file.write(name, quotasOf(1000)+"[[quota]]\nname = \"x\"\nparent = \"nobody\"\ntenant = \"north\"\n")
	reloadTwice(reload)
	second := countServed(t, client, "b")
	file.write(name, quotasOf(1000))
	reloadTwice(reload)
	time.Sleep(50 * time.Millisecond) // at 1,000 per second, enough quota for all 40 requests
	if third := countServed(t, client, "c"); first < 5 || first > 7 || second > 3 || third != 40 {
		t.Errorf("got %d of 40 served at 5/s, %d after an invalid file, %d at 1000/s; want 5 to 7, at most 3, 40",
			first, second, third)
	}
}

// countServed sends 40 requests one after the other and returns how many were served.
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
