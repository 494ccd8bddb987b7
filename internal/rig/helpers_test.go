package rig

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mothridge/internal/peers"
)

var long = flag.Bool("long", false, "run the long form of the tests that have one")

// Whatever a rig started has ended when the tests have.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pairing is the protocols of a request's clients and nodes.
type pairing struct{ front, nodes peers.Protocol }

func (p pairing) String() string { return fmt.Sprintf("%s to %s", p.front, p.nodes) }

var pairings = [...]pairing{
	{peers.HTTP, peers.HTTP}, {peers.HTTP, peers.RPC}, {peers.RPC, peers.HTTP}, {peers.RPC, peers.RPC},
}

// oneProtocol are the pairings in which clients and nodes speak the same.
var oneProtocol = []pairing{pairings[0], pairings[3]}

// start puts a rig together that ends with the test.
func start(t testing.TB, options Options) *Rig {
	t.Helper()
	rig, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := rig.Close(); err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	})
	return rig
}

// startClient makes a client that is closed before the rig is.
func startClient(t testing.TB, rig *Rig) peers.Client {
	t.Helper()
	client := rig.Client()
	t.Cleanup(func() { client.Close() })
	return client
}

// delayed is a script whose nodes take their time to respond.
func delayed(delay time.Duration) peers.Script {
	return func(peers.Call) peers.Response { return peers.Response{Delay: delay} }
}

// doRequest sends a request and fails the test if its response is late or lost.
func doRequest(t *testing.T, client peers.Client, call peers.Call) peers.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), call.Timeout+5*time.Second)
	defer cancel()
	startedAt := time.Now()
	got := client.Do(ctx, call)
	// The rule allows 50 ms; a busy machine of two cores may add its own.
	if took := time.Since(startedAt); took > call.Timeout+500*time.Millisecond {
		t.Errorf("%s: answered after %v of %v", call.ID, took, call.Timeout)
	}
	if got.Outcome == peers.Lost || got.Outcome == peers.InvalidRequest {
		t.Errorf("%s: %+v", call.ID, got)
	}
	return got
}

// expectServed sends a request that must be served.
func expectServed(t *testing.T, what string, client peers.Client, call peers.Call) {
	t.Helper()
	if got := doRequest(t, client, call); got.Outcome != peers.Served {
		t.Errorf("%s: %+v", what, got)
	}
}

// mixedRequest is the i-th request of a worker; the classes and tenants take turns.
func mixedRequest(worker, i int) peers.Call {
	return Request([]string{Read, Entry, Once}[i%3], fmt.Sprintf("%d-%d", worker, i), Tenant(i))
}

// keepSending runs workers that send one request after the other until stop is
// called, which waits for the last ones.
func keepSending(workers int, sendOne func(worker, i int)) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				sendOne(worker, i)
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// verdictCounts counts results by verdict.
type verdictCounts struct {
	lock          sync.Mutex
	counts        map[peers.Outcome]int
	unserved      int // in a row, of all clients
	worstUnserved int
}

func newVerdictCounts() *verdictCounts { return &verdictCounts{counts: make(map[peers.Outcome]int)} }

func (c *verdictCounts) add(got peers.Result) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts[got.Outcome]++
	c.unserved++
	if got.Outcome == peers.Served {
		c.unserved = 0
	}
	c.worstUnserved = max(c.worstUnserved, c.unserved)
}

func (c *verdictCounts) String() string {
	return fmt.Sprintf("served %d, rejected %d, failed %d",
		c.counts[peers.Served], c.counts[peers.Rejected], c.counts[peers.Failed])
}

// expectNoneDoubled checks the effects of the requests whose id is of interest.
func expectNoneDoubled(t *testing.T, rig *Rig, ofInterest func(id string) bool) {
	t.Helper()
	for _, what := range rig.Ledger.ExecutedTwice(ofInterest) {
		t.Error(what)
	}
}

func anyID(string) bool { return true }
