package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures Admit and Release in trees of several sizes, both for requests
// within the node's own share and for requests that take a loan.
func BenchmarkAdmit(b *testing.B) {
	for _, siblings := range []int{2, 20, 200} {
		config := siblingsConfig(siblings)
		for name, interval := range map[string]time.Duration{"own": time.Microsecond, "borrowed": 0} {
			b.Run(fmt.Sprintf("%s/%d", name, siblings), func(b *testing.B) {
				tree, now := newTree(b, config), time.Duration(0)
				if name == "borrowed" {
					first := &tree.nodes[1].buckets[Requests][0]
					first.tokens, first.Rate = 0, 1e-9
				}
				b.ReportAllocs()
				for b.Loop() {
					now += interval
					tree.Release(tree.Admit(now, oneRequest("0")).Receipt)
				}
			})
		}
	}
}

// siblingsConfig returns the configuration of a root and its children, each with one limit.
func siblingsConfig(siblings int) Config {
	limits := func(rate float64) []Limit {
		return []Limit{{Dimension: Requests, Rate: rate, Window: time.Second}}
	}
	config := Config{
		Nodes:          []Node{{Name: "root", Limits: limits(1e9)}},
		LenderReserve:  100 * time.Millisecond,
		RepaymentShare: 0.1,
		DebtLifetime:   time.Minute,
	}
	for i := range siblings {
		rate := 1e9 / float64(siblings+1)
		config.Nodes = append(config.Nodes, Node{Name: fmt.Sprint(i), Parent: "root", Limits: limits(rate)})
	}
	return config
}
