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

var long = flag.Bool("long", false, "run the long form of tests that have a long form")

// TestMain fails if goroutines that a rig started still run when the tests have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pairing is a combination of the protocols of the clients (front) and of the nodes.
type pairing struct{ front, nodes peers.Protocol }

func (p pairing) String() string { return fmt.Sprintf("%s to %s", p.front, p.nodes) }

var pairings = [...]pairing{
	{peers.HTTP, peers.HTTP}, {peers.HTTP, peers.RPC}, {peers.RPC, peers.HTTP}, {peers.RPC, peers.RPC},
}

// sameProtocol contains the pairings in which clients and nodes use the same protocol.
var sameProtocol = []pairing{pairings[0], pairings[3]}

// start starts a rig that is closed at the end of the test.
func start(t testing.TB, options Options) *Rig {
	t.Helper()
	rig, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := rig.Close(); err != nil {
			t.Errorf("sidecar: got error %v, want nil", err)
		}
	})
	return rig
}

// startClient returns a client of a rig. The client is closed before the rig.
func startClient(t testing.TB, rig *Rig) peers.Client {
	t.Helper()
	client := rig.Client()
	t.Cleanup(func() { client.Close() })
	return client
}

// delayed returns a script that serves each request after a delay.
func delayed(delay time.Duration) peers.Script {
	return func(peers.Call) peers.Response { return peers.Response{Delay: delay} }
}

// doRequest sends a request. It fails the test if the response is late or missing, or if the sidecar
// considers the request invalid.
func doRequest(t *testing.T, client peers.Client, call peers.Call) peers.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), call.Timeout+5*time.Second)
	defer cancel()
	startedAt := time.Now()
	got := client.Do(ctx, call)
	// The rule allows 50 ms after the deadline. The rest of the 500 ms is for delays of a busy machine with
	// two cores.
	if took := time.Since(startedAt); took > call.Timeout+500*time.Millisecond {
		t.Errorf("%s: got a response after %v, want one within %v plus 500ms", call.ID, took, call.Timeout)
	}
	if got.Outcome == peers.Lost || got.Outcome == peers.InvalidRequest {
		t.Errorf("%s: got %+v, want outcome served, rejected or failed", call.ID, got)
	}
	return got
}

// expectServed sends a request and fails the test unless the request is served.
func expectServed(t *testing.T, what string, client peers.Client, call peers.Call) {
	t.Helper()
	if got := doRequest(t, client, call); got.Outcome != peers.Served {
		t.Errorf("%s: got %+v, want outcome served", what, got)
	}
}

// mixedRequest returns the i-th request of a worker. Successive requests cycle through the classes and
// tenants.
func mixedRequest(worker, i int) peers.Call {
	return Request([]string{Read, Keyed, NonIdempotent}[i%3], fmt.Sprintf("%d-%d", worker, i), Tenant(i))
}

// sendContinuously starts workers, each of which sends one request after the other. stop ends the workers and
// waits for their last requests.
func sendContinuously(workers int, sendOne func(worker, i int)) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
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
		wg.Wait()
	}
}

// outcomeCounts counts results by outcome. It is safe for concurrent use.
type outcomeCounts struct {
	mu                 sync.Mutex
	counts             map[peers.Outcome]int
	unservedRun        int // consecutive unserved results so far, over all clients
	longestUnservedRun int // maximum of unservedRun
}

func newOutcomeCounts() *outcomeCounts { return &outcomeCounts{counts: make(map[peers.Outcome]int)} }

func (c *outcomeCounts) add(got peers.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[got.Outcome]++
	c.unservedRun++
	if got.Outcome == peers.Served {
		c.unservedRun = 0
	}
	c.longestUnservedRun = max(c.longestUnservedRun, c.unservedRun)
}

func (c *outcomeCounts) String() string {
	return fmt.Sprintf("served %d, rejected %d, failed %d",
		c.counts[peers.Served], c.counts[peers.Rejected], c.counts[peers.Failed])
}

// expectNoneExecutedTwice fails the test if the effect of a request for whose id included returns true was
// executed more than once.
func expectNoneExecutedTwice(t *testing.T, rig *Rig, included func(id string) bool) {
	t.Helper()
	for _, description := range rig.Ledger.DescribeRepeatedExecutions(included) {
		t.Error(description)
	}
}

func anyID(string) bool { return true }
