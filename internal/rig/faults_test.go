package rig

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// pairings are all that a request can come by and go on by.
var pairings = []struct{ front, nodes peers.Protocol }{
	{peers.HTTP, peers.HTTP}, {peers.HTTP, peers.RPC}, {peers.RPC, peers.HTTP}, {peers.RPC, peers.RPC},
}

func pairing(i int) string { return fmt.Sprintf("%s to %s", pairings[i].front, pairings[i].nodes) }

// start puts a rig together that ends with the test.
func start(t testing.TB, o Options) *Rig {
	t.Helper()
	r, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	})
	return r
}

// count is what a client and the nodes saw of a run.
type count struct {
	served, refused, failed, other int
	sends                          int // attempts that reached a node whole
	doubled                        int // effects of unsafe requests that ran more than once
}

func (c count) String() string {
	return fmt.Sprintf("%4d %4d %4d %4d %5d %4d", c.served, c.refused, c.failed, c.other, c.sends, c.doubled)
}

// fault is one scripted trouble. first is what the first try of a request
// meets, later what every other one does.
type fault struct {
	name    string
	first   peers.Response
	later   peers.Response
	timeout time.Duration
	n       int
}

var faults = []fault{
	{name: "none", n: 40},
	{name: "error, then served", first: peers.Response{Action: peers.Error}, n: 20},
	{name: "error always", first: peers.Response{Action: peers.Error}, later: peers.Response{Action: peers.Error}, n: 10},
	{name: "turned away, then served", first: peers.Response{Action: peers.Reject}, n: 20},
	{name: "turned away always", first: peers.Response{Action: peers.Reject}, later: peers.Response{Action: peers.Reject}, n: 10},
	{name: "reset, then served", first: peers.Response{Action: peers.Reset}, n: 20},
	{name: "answer cut, then served", first: peers.Response{Action: peers.Truncate, TruncateAt: 7}, n: 20},
	{name: "no answer at all, spoiled", first: peers.Response{Action: peers.Malformed}, n: 20},
	{name: "answered twice", first: peers.Response{Action: peers.Duplicate}, later: peers.Response{Action: peers.Duplicate}, n: 20},
	{name: "an answer to nobody", first: peers.Response{Action: peers.Unsolicited}, later: peers.Response{Action: peers.Unsolicited}, n: 20},
	{name: "hangs", first: peers.Response{Action: peers.Hang}, later: peers.Response{Action: peers.Hang}, timeout: 200 * time.Millisecond, n: 4},
	{name: "answers late", first: peers.Response{Delay: 300 * time.Millisecond}, later: peers.Response{Delay: 300 * time.Millisecond}, timeout: 200 * time.Millisecond, n: 4},
}

// play runs one fault with requests of one class, one after the other, so that
// the counts do not depend on the machine.
func play(t *testing.T, f fault, class string, p int) count {
	r, err := Start(Options{Front: pairings[p].front, Nodes: pairings[p].nodes, Script: func(c peers.Call) peers.Response {
		if c.Attempt == 1 {
			return f.first
		}
		return f.later
	}})
	if err != nil {
		t.Error(err)
		return count{}
	}
	defer r.Close() // here and not when the test ends: the pairings end side by side
	client := r.Client()
	defer client.Close()
	var c count
	for i := range f.n {
		call := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
		if f.timeout > 0 {
			call.Timeout = f.timeout
		}
		// A lost request would keep its client waiting: the deadline and the rule's slack.
		ctx, cancel := context.WithTimeout(t.Context(), call.Timeout+3*time.Second)
		began := time.Now()
		got := client.Do(ctx, call)
		cancel()
		if took := time.Since(began); took > call.Timeout+time.Second {
			t.Errorf("%s: answered after %v of %v", call.ID, took, call.Timeout)
		}
		switch got.Outcome {
		case peers.Served:
			if c.served++; string(got.Body) != call.ID {
				t.Errorf("%s: served with %q", call.ID, got.Body)
			}
		case peers.Rejected:
			c.refused++
		case peers.Failed:
			c.failed++
		default:
			c.other++
			t.Errorf("%s: %+v", call.ID, got)
		}
		c.sends += r.Ledger.Attempts(call.ID)
	}
	c.doubled = len(r.Ledger.ExecutedTwice(func(id string) bool { return class == Once }))
	return c
}

// The same faults over every pairing give the same counts: what a protocol
// carries is no matter of the decisions. Run with -v for the table.
func TestFaultsOverAllPairings(t *testing.T) {
	var mu sync.Mutex
	rows := make(map[string]string)
	t.Run("faults", func(t *testing.T) {
		for _, class := range []string{Read, Entry, Once} {
			for _, f := range faults {
				t.Run(class+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					var got [4]count
					var wg sync.WaitGroup
					for p := range pairings {
						wg.Go(func() { got[p] = play(t, f, class, p) })
					}
					wg.Wait()
					row := fmt.Sprintf("%-14s %-24s %3d", class, f.name, f.n)
					for p := range pairings {
						row += " | " + got[p].String()
						if got[p] != got[0] {
							t.Errorf("%s gives %v, %s gives %v", pairing(p), got[p], pairing(0), got[0])
						}
						if got[p].doubled > 0 {
							t.Errorf("%s: %d effects ran twice", pairing(p), got[p].doubled)
						}
					}
					mu.Lock()
					rows[row] = row
					mu.Unlock()
				})
			}
		}
	})
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-43s", "served, refused, failed, other, sends,")
	for p := range pairings {
		fmt.Fprintf(&table, " | %-27s", pairing(p))
	}
	fmt.Fprintf(&table, "\n%-43s", "effects that ran twice")
	for range pairings {
		fmt.Fprintf(&table, " | %4s %4s %4s %4s %5s %4s ", "serv", "refu", "fail", "oth", "sends", "dble")
	}
	for _, row := range slices.Sorted(maps.Keys(rows)) {
		table.WriteString("\n" + row)
	}
	t.Log(table.String())
}

// Nothing is sent to a node later than 2 s after the news that it drains, nor
// after it has left, however busy the sidecar is. Counted at the node.
func TestDrainOverAllPairings(t *testing.T) {
	for p := range pairings {
		t.Run(pairing(p), func(t *testing.T) {
			t.Parallel()
			r := start(t, Options{Front: pairings[p].front, Nodes: pairings[p].nodes, Number: 3, Times: true, Script: func(peers.Call) peers.Response {
				return peers.Response{Delay: time.Millisecond}
			}})
			clients := []peers.Client{r.Client(), r.Client()}
			over := make(chan struct{})
			var wg sync.WaitGroup
			for w := range 6 {
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-over:
							return
						default:
							ask(t, clients[w%2], Request([]string{Read, Entry, Once}[i%3], fmt.Sprintf("%d-%d", w, i), Tenant(i)))
						}
					}
				})
			}
			peertest.Until(t, "each node to be in use", func() bool { return r.Nodes[0].Served() > 20 && r.Nodes[1].Served() > 20 && r.Nodes[2].Served() > 20 })
			drains, leaves := r.Nodes[0], r.Nodes[1]
			r.List(drains, "draining", 0)
			r.List(leaves, "removed", 0)
			told := time.Now()
			time.Sleep(DrainWithin + 300*time.Millisecond) // the rule is about time
			busy := r.Nodes[2].Served()
			peertest.Until(t, "the load to go on", func() bool { return r.Nodes[2].Served() > busy+100 })
			close(over)
			wg.Wait()
			for _, c := range clients {
				c.Close()
			}
			for _, n := range []*peers.Upstream{drains, leaves} {
				times := r.Ledger.AttemptTimes(n.Name)
				if last := times[len(times)-1]; last.After(told.Add(DrainWithin)) {
					t.Errorf("%s was sent something %v after the news", n.Name, last.Sub(told))
				}
			}
		})
	}
}
