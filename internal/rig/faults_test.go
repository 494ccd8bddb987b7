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

// outcome is what a client and the nodes saw of a run.
type outcome struct {
	served, rejected, failed, other int
	attempts                        int // that reached a node complete
	doubled                         int // effects of unsafe requests that ran more than once
}

func (o outcome) String() string {
	return fmt.Sprintf("%4d %4d %4d %4d %5d %4d", o.served, o.rejected, o.failed, o.other, o.attempts, o.doubled)
}

// fault is scripted: first is what the first attempt of a request
// meets, later what every other one does.
type fault struct {
	name     string
	first    peers.Response
	later    peers.Response
	timeout  time.Duration // 0: that of the class
	requests int
}

var faults = []fault{
	{name: "none", requests: 40},
	{name: "error, then served", first: peers.Response{Action: peers.Error}, requests: 20},
	alwaysFault("error always", peers.Response{Action: peers.Error}, 10),
	{name: "rejected, then served", first: peers.Response{Action: peers.Reject}, requests: 20},
	alwaysFault("rejected always", peers.Response{Action: peers.Reject}, 10),
	{name: "reset, then served", first: peers.Response{Action: peers.Reset}, requests: 20},
	{name: "answer cut, then served", first: peers.Response{Action: peers.Truncate, TruncateAt: 7}, requests: 20},
	{name: "no answer at all, spoiled", first: peers.Response{Action: peers.Malformed}, requests: 20},
	alwaysFault("answered twice", peers.Response{Action: peers.Duplicate}, 20),
	alwaysFault("an answer to no request", peers.Response{Action: peers.Unsolicited}, 20),
	timeoutFault("hangs", peers.Response{Action: peers.Hang}),
	timeoutFault("answers late", peers.Response{Delay: 300 * time.Millisecond}),
}

// alwaysFault meets each attempt.
func alwaysFault(name string, action peers.Response, requests int) fault {
	return fault{name: name, first: action, later: action, requests: requests}
}

// timeoutFault meets each attempt of requests that wait for 200 ms.
func timeoutFault(name string, action peers.Response) fault {
	return fault{name: name, first: action, later: action, timeout: 200 * time.Millisecond, requests: 4}
}

func (f fault) script(call peers.Call) peers.Response {
	if call.Attempt == 1 {
		return f.first
	}
	return f.later
}

// playFault runs one fault with requests of one class, one after the other, so that
// the counts do not depend on the machine.
func playFault(t *testing.T, f fault, class string, pair pairing) (seen outcome) {
	t.Helper()
	rig, err := Start(Options{Front: pair.front, Nodes: pair.nodes, Script: f.script})
	if err != nil {
		t.Error(err)
		return outcome{}
	}
	defer rig.Close() // here and not when the test ends: the pairings end side by side
	client := rig.Client()
	defer client.Close()
	for i := range f.requests {
		call := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
		if f.timeout > 0 {
			call.Timeout = f.timeout
		}
		seen.add(t, call, doWithinDeadline(t, client, call))
		seen.attempts += rig.Ledger.Attempts(call.ID)
	}
	seen.doubled = len(rig.Ledger.ExecutedTwice(func(string) bool { return class == Once }))
	return seen
}

// doWithinDeadline sends a request whose result must come within its deadline and a second.
func doWithinDeadline(t *testing.T, client peers.Client, call peers.Call) peers.Result {
	t.Helper()
	// A lost request would keep its client waiting: the deadline and the rule's slack.
	ctx, cancel := context.WithTimeout(t.Context(), call.Timeout+3*time.Second)
	defer cancel()
	startedAt := time.Now()
	got := client.Do(ctx, call)
	if took := time.Since(startedAt); took > call.Timeout+time.Second {
		t.Errorf("%s: answered after %v of %v", call.ID, took, call.Timeout)
	}
	return got
}

// add counts a result.
func (o *outcome) add(t *testing.T, call peers.Call, got peers.Result) {
	t.Helper()
	switch got.Outcome {
	case peers.Served:
		if o.served++; string(got.Body) != call.ID {
			t.Errorf("%s: served with %q", call.ID, got.Body)
		}
	case peers.Rejected:
		o.rejected++
	case peers.Failed:
		o.failed++
	default:
		o.other++
		t.Errorf("%s: %+v", call.ID, got)
	}
}

// The same faults with every pairing give the same counts: what a protocol
// carries is no matter of the decisions. Run with -v for the table.
func TestFaultsWithAllPairings(t *testing.T) {
	var lock sync.Mutex
	rows := make(map[string]bool)
	t.Run("faults", func(t *testing.T) {
		for _, class := range []string{Read, Entry, Once} {
			for _, f := range faults {
				t.Run(class+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					row := testFault(t, f, class)
					lock.Lock()
					defer lock.Unlock()
					rows[row] = true
				})
			}
		}
	})
	t.Log(outcomeTable(slices.Sorted(maps.Keys(rows))))
}

// testFault compares the pairings and returns their row of the table.
func testFault(t *testing.T, f fault, class string) (row string) {
	t.Helper()
	var got [len(pairings)]outcome
	var running sync.WaitGroup
	for i, pair := range pairings {
		running.Go(func() { got[i] = playFault(t, f, class, pair) })
	}
	running.Wait()
	row = fmt.Sprintf("%-14s %-24s %3d", class, f.name, f.requests)
	for i, pair := range pairings {
		row += " | " + got[i].String()
		if got[i] != got[0] {
			t.Errorf("%s gives %v, %s gives %v", pair, got[i], pairings[0], got[0])
		}
		if got[i].doubled > 0 {
			t.Errorf("%s: %d effects ran twice", pair, got[i].doubled)
		}
	}
	return row
}

// outcomeTable puts the heads of the columns above the rows.
func outcomeTable(rows []string) string {
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-43s", "served, rejected, failed, other, attempts,")
	for _, pair := range pairings {
		fmt.Fprintf(&table, " | %-27s", pair)
	}
	fmt.Fprintf(&table, "\n%-43s", "effects that ran twice")
	for range pairings {
		fmt.Fprintf(&table, " | %4s %4s %4s %4s %5s %4s ", "serv", "rej", "fail", "oth", "att", "dble")
	}
	for _, row := range rows {
		table.WriteString("\n" + row)
	}
	return table.String()
}
