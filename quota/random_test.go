package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// openRequest is an admitted request that was neither released nor refunded yet.
type openRequest struct {
	node    string
	receipt *Receipt
}

// randomRun sends random requests to a random tree. It counts the admitted requests itself,
// independently of the tree's arithmetic.
type randomRun struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	config  Config
	tree    *Tree
	rate    float64 // of the root, in requests a second
	windows []time.Duration
	now     time.Duration

	admitted map[string]float64 // requests by node, without refunded ones
	inFlight map[string]int     // requests by node
	open     []openRequest
	borrowed int
	refunds  int
}

// TestRandomRequests checks these invariants on random trees and requests: no more is
// admitted than the buckets held and gained; Release and Refund take effect once; a refund
// never decreases the tokens; requests in flight stay within their limits; debts are
// bounded.
func TestRandomRequests(t *testing.T) {
	borrowed, refunds, repaid := 0, 0, uint64(0)
	for seed := range uint64(150) {
		run := newRandomRun(t, seed)
		for step := range 2000 {
			run.step(step)
		}
		borrowed += run.borrowed
		refunds += run.refunds
		for _, state := range run.tree.Explain(run.now) {
			repaid += state.Usage.Repaid
		}
	}
	if borrowed < 1000 || repaid < 10 || refunds < 1000 {
		t.Errorf("got %d loans, %d repayments, %d refunds, want at least 1000, 10 and 1000", borrowed, repaid, refunds)
	}
}

// newRandomRun returns a run with a random tree: a root and 2 to 5 leaves.
func newRandomRun(t *testing.T, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 1))
	config := Config{
		LenderReserve:  time.Duration(rng.IntN(3)) * time.Second,
		RepaymentShare: 0.3 * rng.Float64(),
		DebtLifetime:   time.Duration(1+rng.IntN(60)) * time.Second,
	}
	rate := 20 + 80*rng.Float64()
	windows := []time.Duration{time.Second, 10 * time.Second}[:1+rng.IntN(2)]
	config.Nodes = []Node{{Name: "0", Limits: []Limit{{Dimension: Requests, Rate: rate, Window: windows[0]}}}}
	leaves := 2 + rng.IntN(4)
	for i := range leaves {
		config.Nodes = append(config.Nodes, Node{
			Name: fmt.Sprint(i + 1), Parent: "0", Weight: 0.5 + rng.Float64(),
			Limits: randomLimits(rng, windows, rate/float64(leaves)),
		})
	}
	return &randomRun{
		t: t, seed: seed, rng: rng, config: config, tree: newTree(t, config), rate: rate, windows: windows,
		admitted: make(map[string]float64), inFlight: make(map[string]int),
	}
}

// randomLimits returns a limit of requests for each window, some with a ceiling, and in half
// of the cases a Concurrent limit.
func randomLimits(rng *rand.Rand, windows []time.Duration, rate float64) []Limit {
	var limits []Limit
	for _, window := range windows {
		limit := Limit{Dimension: Requests, Rate: rate, Window: window}
		if rng.IntN(3) == 0 {
			limit.Ceiling = rate * (1 + 2*rng.Float64())
		}
		limits = append(limits, limit)
	}
	if rng.IntN(2) == 0 {
		limits = append(limits, Limit{Dimension: Concurrent, Rate: float64(1 + rng.IntN(6))})
	}
	return limits
}

// step either ends an open request or sends a new one, and checks the invariants.
func (run *randomRun) step(step int) {
	run.now += time.Duration(run.rng.ExpFloat64() * float64(time.Second) / run.rate / 1.5)
	leaves := len(run.config.Nodes) - 1
	node := fmt.Sprint(1 + run.rng.IntN(leaves)*run.rng.IntN(2)) // more requests for the first leaf
	if len(run.open) > 0 && run.rng.IntN(4) == 0 {
		run.endRequest(step)
		return
	}
	if run.sendRequest(node) {
		run.checkAdmitted(step)
		run.checkDebts()
		run.checkInFlight()
	}
}

// endRequest releases or refunds a random open request, then does both again, which must
// have no effect.
func (run *randomRun) endRequest(step int) {
	i := run.rng.IntN(len(run.open))
	request := run.open[i]
	run.open = append(run.open[:i], run.open[i+1:]...)
	before := run.tree.totalTokens()
	if run.rng.IntN(3) == 0 {
		run.tree.Refund(request.receipt)
		run.admitted[request.node]--
		run.refunds++
	} else {
		run.tree.Release(request.receipt)
	}
	run.inFlight[request.node]--
	after := run.tree.totalTokens()
	run.tree.Refund(request.receipt)
	run.tree.Release(request.receipt)
	if again := run.tree.totalTokens(); math.Abs(again-after) > 1e-9 || after < before-1e-9 {
		run.t.Fatalf("seed %d, step %d: %v tokens, %v after the end (want no fewer), %v after a second end (want the same)",
			run.seed, step, before, after, again)
	}
}

// sendRequest sends a request to a node and reports whether it was admitted.
func (run *randomRun) sendRequest(node string) bool {
	request := Request{Node: node, Cost: Cost{Requests: 1, Concurrent: 1}, Retry: run.rng.IntN(5) == 0}
	decision := run.tree.Admit(run.now, request)
	switch decision.Outcome {
	case Rejected:
		if decision.Receipt != nil || decision.Rejection == (Rejection{}) {
			run.t.Fatalf("seed %d: got %+v, want a rejection without a receipt and with its limit", run.seed, decision)
		}
		return false
	case Borrowed:
		run.borrowed++
		if len(decision.Lenders) == 0 {
			run.t.Fatalf("seed %d: got outcome borrowed without a lender, want at least one lender", run.seed)
		}
	}
	run.admitted[node]++
	run.inFlight[node]++
	run.open = append(run.open, openRequest{node, decision.Receipt})
	return true
}

// checkAdmitted checks, for each window, that no more was admitted than the root's rate
// allows: its bucket's initial tokens and what it gained since then, plus the share by which
// repayments may take buckets below 0.
func (run *randomRun) checkAdmitted(step int) {
	sum := 0.0
	for _, n := range run.admitted {
		sum += n
	}
	for _, window := range run.windows {
		bound := run.rate * (window + run.now).Seconds() * (1 + run.config.RepaymentShare)
		if sum > bound+1e-6 {
			run.t.Fatalf("seed %d, step %d at %v: admitted %v requests, want at most %v over a window of %v",
				run.seed, step, run.now, sum, bound, window)
		}
	}
}

// checkDebts checks that each debt is within RepaymentShare of what the debtor's limits gain
// in DebtLifetime. The bound is generous: it is the sum over all windows.
func (run *randomRun) checkDebts() {
	lifetime := run.config.DebtLifetime.Seconds() * float64(len(run.windows))
	for _, n := range run.tree.nodes[1:] {
		bound := n.buckets[Requests][0].Rate * run.config.RepaymentShare * lifetime
		for _, debt := range n.debts {
			if debt.dimension == Requests && debt.amount > bound+1e-9 {
				run.t.Fatalf("seed %d: %s owes %v, want at most %v", run.seed, n.Name, debt.amount, bound)
			}
		}
	}
}

// checkInFlight checks that the requests in flight are within the sum of the Concurrent
// limits. It applies only to trees in which every leaf has a Concurrent limit.
func (run *randomRun) checkInFlight() {
	leaves := run.tree.nodes[1:]
	total, bound := 0, 0.0
	for _, n := range leaves {
		if len(n.buckets[Concurrent]) == 0 {
			return
		}
		total += run.inFlight[n.Name]
		for _, b := range n.buckets[Concurrent] {
			bound += b.Rate
		}
	}
	if float64(total) > bound {
		run.t.Fatalf("seed %d: %d requests in flight at %d nodes, want at most %v", run.seed, total, len(leaves), bound)
	}
}

// totalTokens returns the sum of the tokens of all buckets.
func (t *Tree) totalTokens() float64 {
	sum := 0.0
	for _, n := range t.nodes {
		for dimension := range dimensions {
			for _, b := range n.buckets[dimension] {
				sum += b.tokens
			}
		}
	}
	return sum
}
