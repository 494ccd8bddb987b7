package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/admin"
	"mothridge/internal/operator"
	"mothridge/internal/peers"
	"mothridge/internal/quotas"
)

const twoClubs = `
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

// Two clubs through the real program, over either protocol: the busy one has what
// the quiet one leaves; the quiet one has its share when it comes back; of both
// busy each has its share within 5%; every request has one answer, and refusals
// say when to come back.
func TestTwoClubs(t *testing.T) {
	for p, pair := range pairings {
		if pair.front != pair.nodes {
			continue
		}
		t.Run(pairing(p), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			set, _ := operators(t, fmt.Sprintf("[admin]\nsocket = %q\n", filepath.Join(dir, "s"))+twoClubs)
			r := start(t, Options{Front: pair.front, Nodes: pair.nodes, Operators: set, Slots: 256, Open: 512, Sockets: 2048})
			client := r.Client()
			defer client.Close()
			// load asks at an even rate, and gives the served of each club.
			load := func(d time.Duration, rates [2]int) (served [2]int) {
				var mu sync.Mutex
				var wg sync.WaitGroup
				for club, rate := range rates {
					if rate == 0 {
						continue
					}
					every := time.Second / time.Duration(rate)
					wg.Go(func() {
						peers.OpenLoop(context.Background(), time.Now(), func(i int) (time.Duration, bool) { return time.Duration(i) * every, time.Duration(i)*every < d }, func(i int, _ time.Time) {
							wg.Go(func() {
								got := client.Do(context.Background(), Request(Read, fmt.Sprintf("%d-%d-%d", club, i, time.Now().UnixNano()), Tenant(club)))
								mu.Lock()
								defer mu.Unlock()
								switch {
								case got.Outcome == peers.Served:
									served[club]++
								case got.Outcome != peers.Rejected || got.RetryAfter <= 0:
									t.Errorf("club %d: %+v", club, got)
								}
							})
						})
					})
				}
				wg.Wait()
				return served
			}
			if got := load(2*time.Second, [2]int{0, 300}); got[1] < 300 {
				t.Errorf("alone, a club of 50 a second was served %d in two seconds, want nearly 200 a second", got[1])
			}
			load(time.Second, [2]int{300, 300}) // what was saved up and lent is gone after it
			if got := load(4*time.Second, [2]int{300, 300}); got[0] < 570 || got[0] > 680 || got[1] < 180 || got[1] > 215 {
				t.Errorf("both busy: %d and %d in four seconds, want 600 and 200, and a tenth of the debt", got[0], got[1])
			}
			var nodes []quotas.NodeView
			if err := admin.Query(t.Context(), filepath.Join(dir, "s"), "quotas", &nodes); err != nil || len(nodes) != 3 || nodes[2].Usage.Borrowed == 0 || nodes[1].Usage.Lent == 0 || nodes[2].Rejection == "" {
				t.Errorf("%v, %+v", err, nodes)
			}
		})
	}
}

// A reload takes other quotas, and a file that is wrong changes nothing.
func TestQuotasReload(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "mothridge.toml")
	write := func(rate float64, more string) {
		text := fmt.Sprintf("[quotas]\npart = 1.0\n[[quota]]\nname = \"all\"\nrequests = %.1f\nwindows = [\"1s\"]\n", rate) + more
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(5, "")
	reload := make(chan os.Signal)
	r := start(t, Options{Reload: reload, Operators: func(f *operator.File) {
		own, err := operator.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		*f = *own
	}})
	client := r.Client()
	defer client.Close()
	served := func(name string) (n int) {
		for i := range 40 {
			if client.Do(t.Context(), Request(Read, fmt.Sprint(name, i), Tenant(0))).Outcome == peers.Served {
				n++
			}
		}
		return n
	}
	first := served("a")
	write(1000, "[[quota]]\nname = \"x\"\nparent = \"nobody\"\ntenant = \"north\"\n")
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	second := served("b")
	write(1000, "")
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	time.Sleep(50 * time.Millisecond) // of 1,000 a second: as much as is asked
	if third := served("c"); first < 5 || first > 7 || second > 3 || third != 40 {
		t.Errorf("served %d of 40 at five a second, %d after a file that is wrong, %d after one of a thousand", first, second, third)
	}
}
