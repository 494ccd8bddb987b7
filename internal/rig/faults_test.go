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
)

// runCounts counts the results of a run, at the client and at the nodes.
type runCounts struct {
	served, rejected, failed, unexpected int
	attempts                             int // attempts that a node read completely
	executedTwice                        int // requests that are not idempotent and were executed more than once
}

func (c runCounts) String() string {
	return fmt.Sprintf("%4d %4d %4d %4d %5d %4d", c.served, c.rejected, c.failed, c.unexpected, c.attempts, c.executedTwice)
}

// fault is a scripted fault: first is the response to the first attempt of a request, later the response to
// every further attempt.
type fault struct {
	name     string
	first    peers.Response
	later    peers.Response
	timeout  time.Duration // 0: the timeout of the class
	requests int
}

var faults = []fault{
	{name: "none", requests: 40},
	{name: "error, then served", first: peers.Response{Action: peers.Error}, requests: 20},
	alwaysFault("error always", peers.Response{Action: peers.Error}, 10),
	{name: "rejected, then served", first: peers.Response{Action: peers.Reject}, requests: 20},
	alwaysFault("rejected always", peers.Response{Action: peers.Reject}, 10),
	{name: "reset, then served", first: peers.Response{Action: peers.Reset}, requests: 20},
	{name: "truncated, then served", first: peers.Response{Action: peers.Truncate, TruncateAt: 7}, requests: 20},
	{name: "malformed, then served", first: peers.Response{Action: peers.Malformed}, requests: 20},
	alwaysFault("duplicate response", peers.Response{Action: peers.Duplicate}, 20),
	alwaysFault("unsolicited response", peers.Response{Action: peers.Unsolicited}, 20),
	timeoutFault("hangs", peers.Response{Action: peers.Hang}),
	timeoutFault("late response", peers.Response{Delay: 300 * time.Millisecond}),
}

// alwaysFault returns a fault that applies to each attempt.
func alwaysFault(name string, action peers.Response, requests int) fault {
	return fault{name: name, first: action, later: action, requests: requests}
}

// timeoutFault returns a fault that applies to each attempt of requests with a timeout of 200 ms.
func timeoutFault(name string, action peers.Response) fault {
	return fault{name: name, first: action, later: action, timeout: 200 * time.Millisecond, requests: 4}
}

// script returns the response to an attempt.
func (f fault) script(call peers.Call) peers.Response {
	if call.Attempt == 1 {
		return f.first
	}
	return f.later
}

// runFault injects one fault into requests of one class and returns the counts. It sends the requests one
// after the other, so that the counts do not depend on the machine's speed.
func runFault(t *testing.T, f fault, class string, pair pairing) (counts runCounts) {
	t.Helper()
	rig, err := Start(Options{ClientProtocol: pair.front, NodeProtocol: pair.nodes, Script: f.script})
	if err != nil {
		t.Error(err)
		return runCounts{}
	}
	defer rig.Close() // closed here and not with the test, because the rigs of the pairings run concurrently
	client := rig.Client()
	defer client.Close()
	for i := range f.requests {
		call := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
		if f.timeout > 0 {
			call.Timeout = f.timeout
		}
		counts.add(t, call, doWithinDeadline(t, client, call))
		counts.attempts += rig.Ledger.Attempts(call.ID)
	}
	counts.executedTwice = len(rig.Ledger.DescribeRepeatedExecutions(func(string) bool { return class == NonIdempotent }))
	return counts
}

// doWithinDeadline sends a request and fails the test if the result arrives later than one second after the
// request's deadline.
func doWithinDeadline(t *testing.T, client peers.Client, call peers.Call) peers.Result {
	t.Helper()
	// Without this limit, a lost request would block its client. The limit exceeds the bound checked below.
	ctx, cancel := context.WithTimeout(t.Context(), call.Timeout+3*time.Second)
	defer cancel()
	startedAt := time.Now()
	got := client.Do(ctx, call)
	if took := time.Since(startedAt); took > call.Timeout+time.Second {
		t.Errorf("%s: got a result after %v, want one within %v plus 1s", call.ID, took, call.Timeout)
	}
	return got
}

// add counts a result.
func (c *runCounts) add(t *testing.T, call peers.Call, got peers.Result) {
	t.Helper()
	switch got.Outcome {
	case peers.Served:
		if c.served++; string(got.Body) != call.ID {
			t.Errorf("%s: got body %q, want the request's id", call.ID, got.Body)
		}
	case peers.Rejected:
		c.rejected++
	case peers.Failed:
		c.failed++
	default:
		c.unexpected++
		t.Errorf("%s: got %+v, want outcome served, rejected or failed", call.ID, got)
	}
}

// The same faults give the same counts with every pairing of protocols, because the protocol must not change
// decisions. Run the test with -v to print the table.
func TestFaultsWithAllPairings(t *testing.T) {
	var mu sync.Mutex
	rows := make(map[string]bool)
	t.Run("faults", func(t *testing.T) {
		for _, class := range []string{Read, Keyed, NonIdempotent} {
			for _, f := range faults {
				t.Run(class+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					row := testFault(t, f, class)
					mu.Lock()
					defer mu.Unlock()
					rows[row] = true
				})
			}
		}
	})
	t.Log(countsTable(slices.Sorted(maps.Keys(rows))))
}

// testFault compares the counts of the pairings and returns their row of the table.
func testFault(t *testing.T, f fault, class string) (row string) {
	t.Helper()
	var got [len(pairings)]runCounts
	var wg sync.WaitGroup
	for i, pair := range pairings {
		wg.Go(func() { got[i] = runFault(t, f, class, pair) })
	}
	wg.Wait()
	row = fmt.Sprintf("%-14s %-24s %3d", class, f.name, f.requests)
	for i, pair := range pairings {
		row += " | " + got[i].String()
		if got[i] != got[0] {
			t.Errorf("%s: got counts %v, but %s: got %v; want the same counts", pair, got[i], pairings[0], got[0])
		}
		if got[i].executedTwice > 0 {
			t.Errorf("%s: got %d effects executed twice, want 0", pair, got[i].executedTwice)
		}
	}
	return row
}

// countsTable returns the rows of the table below the column headings.
func countsTable(rows []string) string {
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-43s", "served, rejected, failed, other, attempts,")
	for _, pair := range pairings {
		fmt.Fprintf(&table, " | %-27s", pair)
	}
	fmt.Fprintf(&table, "\n%-43s", "effects executed twice")
	for range pairings {
		fmt.Fprintf(&table, " | %4s %4s %4s %4s %5s %4s ", "serv", "rej", "fail", "oth", "att", "dble")
	}
	for _, row := range rows {
		table.WriteString("\n" + row)
	}
	return table.String()
}
