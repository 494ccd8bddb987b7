package quota

import (
	"math"
	"testing"
	"time"
)

// twoTenants returns the configuration of a service with two tenants, which have 79% and
// 21% of its rate. rate is the service's limit in requests a second, over a window of 10 s.
func twoTenants(rate float64) Config {
	limits := func(share float64) []Limit {
		return []Limit{{Dimension: Requests, Rate: rate * share, Window: 10 * time.Second}}
	}
	return Config{
		Nodes: []Node{
			{Name: "service", Limits: limits(1)},
			{Name: "downs", Parent: "service", Weight: 0.79, Limits: limits(0.79)},
			{Name: "lockyer", Parent: "service", Weight: 0.21, Limits: limits(0.21)},
		},
		LenderReserve:  2 * time.Second,
		RepaymentShare: 0.1,
		DebtLifetime:   time.Minute,
	}
}

// newTree builds a tree and ends the test on an error.
func newTree(t testing.TB, config Config) *Tree {
	t.Helper()
	tree, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// oneRequest returns a request that costs 1 in the dimension Requests.
func oneRequest(node string) Request { return Request{Node: node, Cost: Cost{Requests: 1}} }

// oneRetry returns the request of oneRequest, marked as a retry by the client.
func oneRetry(node string) Request {
	request := oneRequest(node)
	request.Retry = true
	return request
}

// admittedCounts sends requests to each node at even intervals, at the node's rate in
// requests a second, and returns the number of admitted requests by node.
func admittedCounts(
	tree *Tree, from, to time.Duration, rates map[string]float64, request func(node string) Request,
) map[string]int {
	counts := make(map[string]int)
	nextAt := make(map[string]time.Duration)
	var senders []string
	for _, n := range tree.nodes {
		if rates[n.Name] > 0 {
			senders = append(senders, n.Name)
			nextAt[n.Name] = from
		}
	}
	for len(senders) > 0 {
		first := senders[0]
		for _, name := range senders[1:] {
			if nextAt[name] < nextAt[first] {
				first = name
			}
		}
		if nextAt[first] >= to {
			break
		}
		if tree.Admit(nextAt[first], request(first)).Outcome != Rejected {
			counts[first]++
		}
		nextAt[first] += time.Duration(float64(time.Second) / rates[first])
	}
	return counts
}

// TestLendAndRepay checks that a busy tenant uses the capacity that an idle tenant leaves
// unused, that the idle tenant has its share within the first second after it becomes busy,
// that the loan is repaid, and that in the long run each tenant is within 5% of its share.
func TestLendAndRepay(t *testing.T) {
	tree := newTree(t, twoTenants(100))
	alone := admittedCounts(tree, 0, 60*time.Second, map[string]float64{"lockyer": 200}, oneRequest)
	if n := float64(alone["lockyer"]); n < 0.8*100*60 || n > 100*60+1000 {
		t.Errorf("lockyer alone: admitted %v requests in 60 s, want between 4800 and 7000", n)
	}
	debts := tree.Explain(60 * time.Second)[2].Debts
	if len(debts) != 1 || debts[0].To != "downs" || debts[0].Amount > 21*0.1*60+1 || debts[0].Amount < 60 {
		t.Errorf("lockyer's debts: got %+v, want one debt to downs between 60 and 127", debts)
	}
	rates := map[string]float64{"downs": 300, "lockyer": 300}
	firstSecond := admittedCounts(tree, 60*time.Second, 61*time.Second, rates, oneRequest)
	if firstSecond["downs"] < 79 {
		t.Errorf("lender in its first busy second: admitted %d requests, want at least 79", firstSecond["downs"])
	}
	nextMinute := admittedCounts(tree, 61*time.Second, 121*time.Second, rates, oneRequest)
	if ratio := float64(nextMinute["downs"]) / (79 * 60); ratio < 1.005 || ratio > 1.05 {
		t.Errorf("lender in the next minute: admitted %.3f of its share, want between 1.005 and 1.05", ratio)
	}
	longRun := admittedCounts(tree, 121*time.Second, 1321*time.Second, rates, oneRequest)
	for name, share := range map[string]float64{"downs": 79, "lockyer": 21} {
		if ratio := float64(longRun[name]) / (share * 1200); math.Abs(ratio-1) > 0.05 {
			t.Errorf("%s in the long run: admitted %.3f of its share, want between 0.95 and 1.05", name, ratio)
		}
	}
}

// TestRetriesBorrowNothing guards against a retry storm that uses up loans: requests
// marked as retries are charged only to the node's own share.
func TestRetriesBorrowNothing(t *testing.T) {
	tree := newTree(t, twoTenants(100))
	got := admittedCounts(tree, 0, 60*time.Second, map[string]float64{"lockyer": 500}, oneRetry)["lockyer"]
	if got > 21*60+210+1 {
		t.Errorf("admitted %d retries in 60 s, want at most 1471: 21 a second and a full bucket of 210", got)
	}
	if tree.Explain(60 * time.Second)[1].Usage.Lent > 0 {
		t.Error("retries took loans from downs, want none")
	}
}

// TestBorrowersShareByWeight checks that borrowers share loans in proportion to their
// weights, and that a borrower at its ceiling does not keep its siblings from borrowing.
func TestBorrowersShareByWeight(t *testing.T) {
	limits := func(rate, ceiling float64) []Limit {
		return []Limit{{Dimension: Requests, Rate: rate, Window: 10 * time.Second, Ceiling: ceiling}}
	}
	tree := newTree(t, Config{Nodes: []Node{
		{Name: "root", Limits: limits(130, 0)},
		{Name: "idle", Parent: "root", Limits: limits(100, 0)},
		{Name: "light", Parent: "root", Weight: 1, Limits: limits(10, 0)},
		{Name: "heavy", Parent: "root", Weight: 3, Limits: limits(10, 0)},
		{Name: "capped", Parent: "root", Weight: 10, Limits: limits(10, 15)},
	}})
	rates := map[string]float64{"light": 200, "heavy": 200, "capped": 200}
	admittedCounts(tree, 0, 30*time.Second, rates, oneRequest)
	counts := admittedCounts(tree, 30*time.Second, 90*time.Second, rates, oneRequest)
	light, heavy := float64(counts["light"])/60-10, float64(counts["heavy"])/60-10
	capped := float64(counts["capped"]) / 60
	if light+heavy < 85 || heavy/light < 2.5 || heavy/light > 3.5 {
		t.Errorf("borrowed a second: light %.1f, heavy %.1f, want a sum of at least 85 and heavy/light of 2.5 to 3.5",
			light, heavy)
	}
	if capped > 15.5 || capped < 14 {
		t.Errorf("capped: admitted %.1f a second, want between 14 and 15.5", capped)
	}
}

// TestRetryAfter checks that a rejected retry is admitted within its node's own share once
// RetryAfter has passed, and not before.
func TestRetryAfter(t *testing.T) {
	tree := newTree(t, twoTenants(10))
	for tree.Admit(0, oneRetry("lockyer")).Outcome != Rejected {
	}
	decision := tree.Admit(0, oneRetry("lockyer"))
	if decision.RetryAfter <= 0 || decision.Rejection.Node != "lockyer" || decision.Receipt != nil {
		t.Fatalf("got %+v, want a rejection by lockyer with a RetryAfter and without a receipt", decision)
	}
	if early := tree.Admit(decision.RetryAfter-time.Millisecond, oneRetry("lockyer")); early.Outcome != Rejected {
		t.Error("admitted 1 ms before RetryAfter has passed")
	}
	if onTime := tree.Admit(decision.RetryAfter, oneRetry("lockyer")); onTime.Outcome != WithinShare {
		t.Errorf("after RetryAfter: got %+v, want the outcome WithinShare", onTime)
	}
}

// TestRestoreFrom checks that a tree that replaces another one takes over the tokens of each
// limit as a share of its capacity, and the counters and debts of each node.
func TestRestoreFrom(t *testing.T) {
	const reloadAt = 30 * time.Second
	old := newTree(t, twoTenants(100))
	admittedCounts(old, 0, reloadAt, map[string]float64{"lockyer": 200}, oneRequest)
	before := make(map[string]State)
	for _, state := range old.Explain(reloadAt) {
		before[state.Name] = state
	}
	config := twoTenants(200)
	config.Nodes = append(config.Nodes[:2:2], Node{Name: "new", Parent: "service"}, config.Nodes[2])
	tree := newTree(t, config)
	tree.RestoreFrom(old, reloadAt)
	for i, name := range []string{"service", "downs", "new", "lockyer"} {
		state := tree.Explain(reloadAt)[i]
		if state.Name != name {
			t.Errorf("name of node %d: got %s, want %s", i, state.Name, name)
		}
		previous, restored := before[name]
		if !restored {
			continue
		}
		doubled := 2 * previous.Limits[0].Tokens
		if math.Abs(state.Limits[0].Tokens-doubled) > 1e-6 {
			t.Errorf("%s: got limits %v, want twice the tokens of %v", name, state.Limits, previous.Limits)
		}
		if state.Usage != previous.Usage || len(state.Debts) != len(previous.Debts) {
			t.Errorf("%s: got state %+v, want the usage and debts of %+v", name, state, previous)
		}
	}
}
