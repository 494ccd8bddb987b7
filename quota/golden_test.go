package quota_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mothridge/internal/golden"
	"mothridge/quota"
)

const goldenSteps = 30_000

// goldenTree draws a tree of three levels with limits in every dimension.
func goldenTree(rng *rand.Rand, size float64) quota.Config {
	limits := func(share float64) []quota.Limit {
		all := []quota.Limit{{Dimension: quota.Requests, Rate: 100 * size * share, Window: 5 * time.Second}}
		if rng.IntN(2) == 0 {
			all = append(all, quota.Limit{Dimension: quota.Requests, Rate: 90 * size * share, Window: time.Minute})
		}
		if rng.IntN(2) == 0 {
			all = append(all, quota.Limit{
				Dimension: quota.Priority, Rate: 200 * size * share, Window: 10 * time.Second, Ceiling: 260 * size * share,
			})
		}
		if rng.IntN(2) == 0 {
			all = append(all, quota.Limit{Dimension: quota.Bytes, Rate: 40_000 * size * share, Window: 10 * time.Second})
		}
		if rng.IntN(2) == 0 {
			all = append(all, quota.Limit{Dimension: quota.Concurrent, Rate: 40 * size * share})
		}
		return all
	}
	c := quota.Config{
		Nodes:          []quota.Node{{Name: "root", Limits: limits(1.2)}},
		LenderReserve:  time.Duration(rng.IntN(4)) * time.Second,
		RepaymentShare: rng.Float64() / 3,
		DebtLifetime:   time.Duration(rng.IntN(90)) * time.Second,
	}
	for i := range 3 {
		club := fmt.Sprint("club-", i)
		c.Nodes = append(c.Nodes, quota.Node{Name: club, Parent: "root", Weight: float64(i), Limits: limits(0.3)})
		for j := range 3 {
			c.Nodes = append(c.Nodes, quota.Node{
				Name: fmt.Sprint(club, "-", j), Parent: club, Weight: float64(j), Limits: limits(0.09),
			})
		}
	}
	return c
}

// play returns the digest of all decisions on random requests.
func play(t *testing.T, seed uint64) string {
	t.Helper()
	rng, digest := rand.New(rand.NewPCG(seed, 4)), golden.NewDigest()
	config := goldenTree(rng, 1)
	tree, err := quota.New(config)
	if err != nil {
		t.Fatal(err)
	}
	var open []*quota.Receipt
	var outcomes [3]int
	now, busy := time.Hour, 0
	for i := range goldenSteps {
		now += time.Duration(rng.ExpFloat64() * 12 * float64(time.Millisecond))
		if i%1500 == 0 {
			busy = rng.IntN(len(config.Nodes))
		}
		if len(open) > 0 && rng.IntN(3) > 0 {
			k := rng.IntN(len(open))
			if rng.IntN(6) == 0 {
				tree.Refund(open[k])
			} else {
				tree.Release(open[k])
			}
			open[k] = open[len(open)-1]
			open = open[:len(open)-1]
		}
		node := config.Nodes[busy]
		if rng.IntN(3) == 0 {
			node = config.Nodes[rng.IntN(len(config.Nodes))]
		}
		d := tree.Admit(now, quota.Request{Node: node.Name, Retry: rng.IntN(8) == 0, Cost: quota.Cost{
			quota.Requests: 1, quota.Priority: rng.Float64() * 4, quota.Bytes: float64(rng.IntN(2000)), quota.Concurrent: 1,
		}})
		outcomes[d.Outcome]++
		if d.Receipt != nil {
			open = append(open, d.Receipt)
		}
		digest.Numbers('d', int64(d.Outcome), int64(d.RetryAfter), int64(d.Rejection.Dimension), int64(d.Rejection.Window))
		digest.Float('s', d.Rejection.Missing)
		digest.Text('n', d.Rejection.Node+"\t"+strings.Join(d.Lenders, "\t"))
		if i%1000 == 0 {
			record(digest, tree.Explain(now))
		}
		if i == goldenSteps/2 {
			config = goldenTree(rng, 1.5)
			grown, err := quota.New(config)
			if err != nil {
				t.Fatal(err)
			}
			grown.RestoreFrom(tree, now)
			tree, open = grown, nil
		}
	}
	return fmt.Sprintf("%s %d", digest, outcomes)
}

func record(digest golden.Digest, states []quota.State) {
	for _, state := range states {
		usage := state.Usage
		digest.Numbers('u', int64(state.Depth), int64(usage.WithinShare), int64(usage.Borrowed),
			int64(usage.Rejected), int64(usage.Lent), int64(usage.Repaid))
		for _, limit := range state.Limits {
			digest.Float('l', limit.Left)
		}
		for _, debt := range state.Debts {
			digest.Text('o', debt.To)
			digest.Float('a', debt.Amount)
		}
	}
}

// The decisions stay as they were recorded. Record them anew with
//
//	go test ./quota -run Golden -update
func TestGoldenDecisions(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(8) {
		fmt.Fprintf(&got, "seed %d: %s\n", seed, play(t, seed))
	}
	golden.Check(t, "decisions", got.String())
}
