package rig

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

var interval = flag.Duration("interval", 50*time.Millisecond, "how often the sidecar polls its registry in the test of flips under load")

var long = flag.Bool("long", false, "run the long form of the tests that have one")

// Whatever a rig started has ended when the tests have.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ask sends a request and fails the test if its answer is late or lost.
func ask(t *testing.T, client peers.Client, c peers.Call) peers.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), c.Timeout+5*time.Second)
	defer cancel()
	began := time.Now()
	got := client.Do(ctx, c)
	// The rule allows 50 ms; a busy machine of two cores may add its own.
	if took := time.Since(began); took > c.Timeout+500*time.Millisecond {
		t.Errorf("%s: answered after %v of %v", c.ID, took, c.Timeout)
	}
	if got.Outcome == peers.Lost || got.Outcome == peers.InvalidRequest {
		t.Errorf("%s: %+v", c.ID, got)
	}
	return got
}

// One connection interleaves requests to a node that then hangs for 19 s: those
// of the other nodes and those answered already go on, each hung one ends at
// its own deadline, and new requests do not pile up behind the hang.
func TestHangBehindOneConnection(t *testing.T) {
	var hangs sync.Map
	r := start(t, Options{Front: peers.RPC, Nodes: peers.RPC, Number: 4, Slots: 200, Open: 400, Times: true})
	for _, n := range r.Nodes {
		n.IgnoreCancels(true) // the worst: what is given up runs on for all of the 19 s
		n.SetScript(func(peers.Call) peers.Response {
			if _, hung := hangs.Load(n.Name); hung {
				return peers.Response{Delay: 19 * time.Second}
			}
			return peers.Response{Delay: 2 * time.Millisecond}
		})
	}
	client := r.Client()
	defer client.Close()
	for i := range 20 {
		if got := ask(t, client, Request(Once, fmt.Sprint("before-", i), "north")); got.Outcome != peers.Served {
			t.Fatalf("before the hang: %+v", got)
		}
	}
	hangs.Store(r.Nodes[0].Name, true)
	earlier := len(r.Ledger.AttemptTimes(r.Nodes[0].Name))
	var mu sync.Mutex
	verdicts := make(map[peers.Outcome]int)
	var wg sync.WaitGroup
	const n = 600
	for i := range n {
		wg.Go(func() {
			c := Request(Once, fmt.Sprint("during-", i), Tenant(i))
			c.Timeout = time.Duration(400+i%5*100) * time.Millisecond
			got := ask(t, client, c)
			mu.Lock()
			verdicts[got.Outcome]++
			mu.Unlock()
		})
		time.Sleep(2 * time.Millisecond) // an even load: 500 a second
	}
	wg.Wait()
	hung := len(r.Ledger.AttemptTimes(r.Nodes[0].Name)) - earlier
	t.Logf("served %d, refused %d, failed %d; %d sends to the node that hangs", verdicts[peers.Served], verdicts[peers.Rejected], verdicts[peers.Failed], hung)
	if verdicts[peers.Failed] != hung || hung == 0 {
		t.Errorf("%d failed and %d hang: each one that hangs must fail, and no other", verdicts[peers.Failed], hung)
	}
	// The walls bound what may be at one node; trials come on top now and then.
	if hung > n/4 || verdicts[peers.Served] < n*6/10 {
		t.Errorf("%d of %d requests went to the node that hangs, %d were served", hung, n, verdicts[peers.Served])
	}
	if a := r.Nodes[0].Accepted(); a > 4+20 {
		t.Errorf("%d connections to the node that hangs", a)
	}
	for _, what := range r.Ledger.ExecutedTwice(func(string) bool { return true }) {
		t.Error(what)
	}
}

// Connections to nodes break again and again with requests out: an unsafe one
// runs at most once, and each request gets its one answer.
func TestThousandBreaks(t *testing.T) {
	for p := range pairings {
		if testing.Short() && p > 0 {
			break
		}
		t.Run(pairing(p), func(t *testing.T) {
			t.Parallel()
			r := start(t, Options{Front: pairings[p].front, Nodes: pairings[p].nodes, Number: 3, Slots: 300, Open: 300, Script: func(c peers.Call) peers.Response {
				return peers.Response{Delay: time.Duration(len(c.ID)%3) * time.Millisecond}
			}})
			clients := make([]peers.Client, 8)
			for i := range clients {
				clients[i] = r.Client()
				defer clients[i].Close()
			}
			breaks := 250 // by pairing: a thousand over the four
			if *long {
				breaks = 5000
			}
			over := make(chan struct{})
			var wg sync.WaitGroup
			var mu sync.Mutex
			verdicts := make(map[peers.Outcome]int)
			for w := range 50 { // outstanding all the time
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-over:
							return
						default:
						}
						class := []string{Once, Once, Entry, Read}[i%4]
						got := ask(t, clients[w%len(clients)], Request(class, fmt.Sprintf("%s-%d-%d", class, w, i), Tenant(i)))
						mu.Lock()
						verdicts[got.Outcome]++
						mu.Unlock()
						if got.Outcome == peers.Rejected { // its pause, cut short
							time.Sleep(min(got.RetryAfter, 3*time.Millisecond))
						}
					}
				})
			}
			for i := range breaks {
				before := r.Nodes[i%3].Served()
				for end := time.Now().Add(50 * time.Millisecond); r.Nodes[i%3].Served() == before && time.Now().Before(end); {
					time.Sleep(200 * time.Microsecond)
				}
				r.Nodes[i%3].ResetConnections()
			}
			close(over)
			wg.Wait()
			t.Logf("%d breaks: served %d, refused %d, failed %d", breaks, verdicts[peers.Served], verdicts[peers.Rejected], verdicts[peers.Failed])
			if verdicts[peers.Served] == 0 || verdicts[peers.Failed] == 0 {
				t.Errorf("verdicts %v: breaks with requests out fail some and leave others", verdicts)
			}
			for _, what := range r.Ledger.ExecutedTwice(func(id string) bool { return strings.HasPrefix(id, Once) }) {
				t.Error(what)
			}
		})
	}
}

// The cancel notification is lost or ignored: an unsafe request that was given
// up is not sent again, and a keyed one runs its effect once.
func TestIgnoredCancelDoublesNothing(t *testing.T) {
	r := start(t, Options{Front: peers.RPC, Nodes: peers.RPC, Script: func(c peers.Call) peers.Response {
		if c.Attempt == 1 {
			return peers.Response{Delay: 700 * time.Millisecond} // over the client's time, and it runs on
		}
		return peers.Response{}
	}})
	for _, n := range r.Nodes {
		n.IgnoreCancels(true)
	}
	client := r.Client()
	defer client.Close()
	var wg sync.WaitGroup
	for i := range 4 {
		for _, class := range []string{Once, Entry} {
			wg.Go(func() {
				c := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
				c.Timeout = 300 * time.Millisecond
				ask(t, client, c)
				if tries := r.Ledger.Attempts(c.ID); class == Once && tries != 1 {
					t.Errorf("%s was sent %d times", c.ID, tries)
				}
			})
		}
	}
	wg.Wait()
	for _, what := range r.Ledger.ExecutedTwice(func(string) bool { return true }) {
		t.Error(what)
	}
	if r.Nodes[0].Cancels()+r.Nodes[1].Cancels() == 0 {
		t.Error("no node was told of a cancel")
	}
}

// A client leaves with 100 open: the nodes are told, and the sidecar holds nothing.
func TestClientLeavesWithHundredOpen(t *testing.T) {
	r := start(t, Options{Front: peers.RPC, Nodes: peers.RPC, Slots: 400, Open: 200, Script: func(peers.Call) peers.Response {
		return peers.Response{Action: peers.Hang}
	}})
	client := r.Client()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { client.Do(t.Context(), Request(Read, fmt.Sprint("r-", i), Tenant(i))) })
	}
	inFlight := func() int64 { return r.Nodes[0].InFlight() + r.Nodes[1].InFlight() }
	peertest.Until(t, "100 to be out", func() bool { return inFlight() == 100 })
	client.Close()
	wg.Wait()
	peertest.Until(t, "the nodes to be told", func() bool { return inFlight() == 0 && r.Nodes[0].Cancels()+r.Nodes[1].Cancels() == 100 })
	other := r.Client()
	defer other.Close()
	for _, n := range r.Nodes {
		n.SetScript(peers.ServeAll)
	}
	if got := ask(t, other, Request(Read, "after", "north")); got.Outcome != peers.Served {
		t.Errorf("after it: %+v", got)
	}
}

// A planned restart with answers open: each request that was taken, and each
// that crosses the word of the drain, is answered.
func TestPlannedRestartOverAllPairings(t *testing.T) {
	for p := range pairings {
		t.Run(pairing(p), func(t *testing.T) {
			t.Parallel()
			r, err := Start(Options{Front: pairings[p].front, Nodes: pairings[p].nodes, Slots: 400, Open: 200, Script: func(peers.Call) peers.Response {
				return peers.Response{Delay: 400 * time.Millisecond}
			}})
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			client := r.Client()
			defer client.Close()
			var wg sync.WaitGroup
			send := func(name string) {
				for i := range 30 {
					wg.Go(func() {
						if got := ask(t, client, Request(Once, fmt.Sprint(name, i), Tenant(i))); got.Outcome != peers.Served {
							t.Errorf("%s%d: %+v", name, i, got)
						}
					})
				}
			}
			send("taken-")
			peertest.Until(t, "them to be out", func() bool { return r.Nodes[0].InFlight()+r.Nodes[1].InFlight() == 30 })
			r.Stop()
			send("crossing-")
			wg.Wait()
			select {
			case err := <-r.Ended():
				if r.ended <- err; err != nil {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(10 * time.Second):
				t.Error("the sidecar does not end")
			}
		})
	}
}
