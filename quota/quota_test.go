package quota

import (
	"math"
	"testing"
	"time"
)

// twoTenants returns the quotas of two tenants with unequal shares of a service, whose
// rate is in requests a second over 10 s.
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

func newTree(t testing.TB, config Config) *Tree {
	t.Helper()
	tree, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func oneRequest(node string) Request { return Request{Node: node, Cost: Cost{Requests: 1}} }

func oneRetry(node string) Request {
	request := oneRequest(node)
	request.Retry = true
	return request
}

// admitted sends requests at even intervals, at each node's rate a second, and counts
// those that are admitted.
func admitted(
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

// A busy tenant uses what an idle one leaves; the idle one has its share at once when it
// becomes busy; the loan is repaid; in the long run each is within 5% of its share.
func TestLendAndRepay(t *testing.T) {
	tree := newTree(t, twoTenants(100))
	alone := admitted(tree, 0, 60*time.Second, map[string]float64{"lockyer": 200}, oneRequest)
	if n := float64(alone["lockyer"]); n < 0.8*100*60 || n > 100*60+1000 {
		t.Errorf("alone a tenant of 21 a second had %v in a minute, want nearly all of 100 a second", n)
	}
	debts := tree.Explain(60 * time.Second)[2].Debts
	if len(debts) != 1 || debts[0].To != "downs" || debts[0].Amount > 21*0.1*60+1 || debts[0].Amount < 60 {
		t.Errorf("its debts are %+v, want something up to a tenth of its minute", debts)
	}
	both := map[string]float64{"downs": 300, "lockyer": 300}
	firstSecond := admitted(tree, 60*time.Second, 61*time.Second, both, oneRequest)
	if firstSecond["downs"] < 79 {
		t.Errorf("busy again, the lender had %d of its 79 in the first second", firstSecond["downs"])
	}
	nextMinute := admitted(tree, 61*time.Second, 121*time.Second, both, oneRequest)
	if ratio := float64(nextMinute["downs"]) / (79 * 60); ratio < 1.005 || ratio > 1.05 {
		t.Errorf("in the minute after, the lender had %.3f of its share, want a little more than all", ratio)
	}
	longRun := admitted(tree, 121*time.Second, 1321*time.Second, both, oneRequest)
	for name, share := range map[string]float64{"downs": 79, "lockyer": 21} {
		if ratio := float64(longRun[name]) / (share * 1200); math.Abs(ratio-1) > 0.05 {
			t.Errorf("%s had %.3f of its share in the long run", name, ratio)
		}
	}
}

// A storm of marked retries is charged to the node's own share alone.
func TestRetriesBorrowNothing(t *testing.T) {
	tree := newTree(t, twoTenants(100))
	got := admitted(tree, 0, 60*time.Second, map[string]float64{"lockyer": 500}, oneRetry)["lockyer"]
	if got > 21*60+210+1 {
		t.Errorf("retries had %d in a minute, want its 21 a second and what was saved", got)
	}
	if tree.Explain(60 * time.Second)[1].Usage.Lent > 0 {
		t.Error("retries borrowed")
	}
}

// Borrowers share by their weight, and one at its ceiling does not hold up the others.
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
	admitted(tree, 0, 30*time.Second, rates, oneRequest)
	counts := admitted(tree, 30*time.Second, 90*time.Second, rates, oneRequest)
	light, heavy := float64(counts["light"])/60-10, float64(counts["heavy"])/60-10
	capped := float64(counts["capped"]) / 60
	if light+heavy < 85 || heavy/light < 2.5 || heavy/light > 3.5 {
		t.Errorf("borrowed a second: %.1f and %.1f, want 95 as 1 to 3", light, heavy)
	}
	if capped > 15.5 || capped < 14 {
		t.Errorf("capped at 15 a second: %.1f", capped)
	}
}

// After RetryAfter, and not before, the own share suffices.
func TestRetryAfter(t *testing.T) {
	tree := newTree(t, twoTenants(10))
	for tree.Admit(0, oneRetry("lockyer")).Outcome != Rejected {
	}
	decision := tree.Admit(0, oneRetry("lockyer"))
	if decision.RetryAfter <= 0 || decision.Rejection.Node != "lockyer" || decision.Receipt != nil {
		t.Fatalf("%+v", decision)
	}
	if early := tree.Admit(decision.RetryAfter-time.Millisecond, oneRetry("lockyer")); early.Outcome != Rejected {
		t.Error("admitted before RetryAfter has passed")
	}
	if onTime := tree.Admit(decision.RetryAfter, oneRetry("lockyer")); onTime.Outcome != WithinShare {
		t.Errorf("after RetryAfter: %+v", onTime)
	}
}

// A tree that replaces another takes over its balances, as shares of its limits.
func TestRestoreFrom(t *testing.T) {
	const reloadAt = 30 * time.Second
	old := newTree(t, twoTenants(100))
	admitted(old, 0, reloadAt, map[string]float64{"lockyer": 200}, oneRequest)
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
			t.Errorf("node %d is %s, want %s", i, state.Name, name)
		}
		previous, restored := before[name]
		if !restored {
			continue
		}
		doubled := 2 * previous.Limits[0].Left
		if math.Abs(state.Limits[0].Left-doubled) > 1e-6 {
			t.Errorf("%s: %v left, before %v", name, state.Limits, previous.Limits)
		}
		if state.Usage != previous.Usage || len(state.Debts) != len(previous.Debts) {
			t.Errorf("%s: %+v, before %+v", name, state, previous)
		}
	}
}
