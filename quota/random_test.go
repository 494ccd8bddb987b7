package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// openRequest is an admitted request that has not ended.
type openRequest struct {
	node    string
	receipt *Receipt
}

// randomRun sends random requests to a random tree, and counts what is admitted without
// the tree's arithmetic.
type randomRun struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	config  Config
	tree    *Tree
	rate    float64 // of the root
	windows []time.Duration
	now     time.Duration

	admitted map[string]float64 // requests by node, without those that were refunded
	inFlight map[string]int     // by node
	open     []openRequest
	borrowed int
	refunds  int
}

// On random trees and requests: no more is admitted than the buckets held and gained; a
// charge is returned once and wholly; requests in flight stay within their limit; debts
// are bounded.
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
		t.Errorf("%d loans, %d repayments, %d refunds: that shows little", borrowed, repaid, refunds)
	}
}

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

// step ends an open request or sends one, and checks the invariants.
func (run *randomRun) step(step int) {
	run.now += time.Duration(run.rng.ExpFloat64() * float64(time.Second) / run.rate / 1.5)
	leaves := len(run.config.Nodes) - 1
	node := fmt.Sprint(1 + run.rng.IntN(leaves)*run.rng.IntN(2)) // the first sends more
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

// endRequest ends a random open request, then a second time, which must have no effect.
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
		run.t.Fatalf("seed %d, step %d: tokens %v, after the return %v, after a second one %v",
			run.seed, step, before, after, again)
	}
}

// sendRequest reports whether a request was admitted.
func (run *randomRun) sendRequest(node string) bool {
	request := Request{Node: node, Cost: Cost{Requests: 1, Concurrent: 1}, Retry: run.rng.IntN(5) == 0}
	decision := run.tree.Admit(run.now, request)
	switch decision.Outcome {
	case Rejected:
		if decision.Receipt != nil || decision.Rejection == (Rejection{}) {
			run.t.Fatalf("seed %d: %+v", run.seed, decision)
		}
		return false
	case Borrowed:
		run.borrowed++
		if len(decision.Lenders) == 0 {
			run.t.Fatalf("seed %d: borrowed without a lender", run.seed)
		}
	}
	run.admitted[node]++
	run.inFlight[node]++
	run.open = append(run.open, openRequest{node, decision.Receipt})
	return true
}

// checkAdmitted bounds what was admitted by what all buckets of a window held at first,
// gained since, and may be below 0 by repayments.
func (run *randomRun) checkAdmitted(step int) {
	sum := 0.0
	for _, n := range run.admitted {
		sum += n
	}
	for _, window := range run.windows {
		bound := run.rate * (window + run.now).Seconds() * (1 + run.config.RepaymentShare)
		if sum > bound+1e-6 {
			run.t.Fatalf("seed %d, step %d at %v: %v admitted, %v at the most over %v",
				run.seed, step, run.now, sum, bound, window)
		}
	}
}

func (run *randomRun) checkDebts() {
	lifetime := run.config.DebtLifetime.Seconds() * float64(len(run.windows))
	for _, n := range run.tree.nodes[1:] {
		bound := n.buckets[Requests][0].Rate * run.config.RepaymentShare * lifetime
		for _, debt := range n.debts {
			if debt.dimension == Requests && debt.amount > bound+1e-9 {
				run.t.Fatalf("seed %d: %s owes %v, %v at the most", run.seed, n.Name, debt.amount, bound)
			}
		}
	}
}

// checkInFlight applies to trees where every leaf has a Concurrent limit.
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
		run.t.Fatalf("seed %d: %d in flight at %d nodes, %v at the most", run.seed, total, len(leaves), bound)
	}
}

// totalTokens is what all buckets hold.
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
