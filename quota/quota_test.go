package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const s = time.Second

// clubs are two clubs under one service, with the shares of the site, of so many
// requests a second over 10 s.
func clubs(rate float64) Config {
	limit := func(share float64) []Limit { return []Limit{{Dimension: Requests, Rate: rate * share, Window: 10 * s}} }
	return Config{
		Nodes:         []Node{{Name: "service", Limits: limit(1)}, {Name: "downs", Parent: "service", Weight: 0.79, Limits: limit(0.79)}, {Name: "lockyer", Parent: "service", Weight: 0.21, Limits: limit(0.21)}},
		LenderReserve: 2 * s, RepaymentShare: 0.1, DebtLifetime: time.Minute,
	}
}

func tree(t testing.TB, c Config) *Tree {
	t.Helper()
	q, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func one(name string) Request { return Request{Node: name, Cost: Cost{Requests: 1}} }

// play asks at even times for each node's rate from a time on, and counts what
// was admitted.
func play(q *Tree, from, to time.Duration, rates map[string]float64, again bool) map[string]int {
	got, next := make(map[string]int), make(map[string]time.Duration)
	order := []string{}
	for _, n := range q.nodes {
		if rates[n.Name] > 0 {
			order, next[n.Name] = append(order, n.Name), from
		}
	}
	for {
		first := ""
		for _, name := range order {
			if first == "" || next[name] < next[first] {
				first = name
			}
		}
		if first == "" || next[first] >= to {
			return got
		}
		r := one(first)
		r.Retry = again
		if q.Admit(next[first], r).Outcome != Rejected {
			got[first]++
		}
		next[first] += time.Duration(float64(s) / rates[first])
	}
}

// A busy club has what a quiet one leaves; the quiet one has its share at once
// when it comes back; what was lent is paid back; in the long run each is within
// 5% of its share.
func TestLendAndReturn(t *testing.T) {
	q := tree(t, clubs(100))
	alone := play(q, 0, 60*s, map[string]float64{"lockyer": 200}, false)
	if n := float64(alone["lockyer"]); n < 0.8*100*60 || n > 100*60+1000 {
		t.Errorf("alone a club of 21 a second had %v in a minute, want nearly all of 100 a second", n)
	}
	owes := q.Explain(60 * s)[2].Debts
	if len(owes) != 1 || owes[0].To != "downs" || owes[0].Amount > 21*0.1*60+1 || owes[0].Amount < 60 {
		t.Errorf("it owes %+v, want something up to a tenth of its minute", owes)
	}
	both := map[string]float64{"downs": 300, "lockyer": 300}
	back := play(q, 60*s, 61*s, both, false)
	if back["downs"] < 79 {
		t.Errorf("back, the lender had %d of its 79 in the first second", back["downs"])
	}
	minute := play(q, 61*s, 121*s, both, false)
	if more := float64(minute["downs"]) / (79 * 60); more < 1.005 || more > 1.05 {
		t.Errorf("in the minute after, the lender had %.3f of its share, want a little more than all", more)
	}
	long := play(q, 121*s, 1321*s, both, false)
	for name, share := range map[string]float64{"downs": 79, "lockyer": 21} {
		if got := float64(long[name]) / (share * 1200); math.Abs(got-1) > 0.05 {
			t.Errorf("%s had %.3f of its share in the long run", name, got)
		}
	}
}

// A storm of marked retries is charged to the own share alone.
func TestRetriesBorrowNothing(t *testing.T) {
	q := tree(t, clubs(100))
	if got := play(q, 0, 60*s, map[string]float64{"lockyer": 500}, true)["lockyer"]; got > 21*60+210+1 {
		t.Errorf("retries had %d in a minute, want its 21 a second and what was saved", got)
	}
	if q.Explain(60 * s)[1].Usage.Lent > 0 {
		t.Error("retries borrowed")
	}
}

// Of several borrowers each has by its weight, and one at its ceiling does not
// hold up the others.
func TestBorrowersByWeight(t *testing.T) {
	limit := func(rate, ceiling float64) []Limit {
		return []Limit{{Dimension: Requests, Rate: rate, Window: 10 * s, Ceiling: ceiling}}
	}
	c := Config{Nodes: []Node{{Name: "root", Limits: limit(130, 0)}, {Name: "quiet", Parent: "root", Limits: limit(100, 0)},
		{Name: "a", Parent: "root", Weight: 1, Limits: limit(10, 0)}, {Name: "b", Parent: "root", Weight: 3, Limits: limit(10, 0)}, {Name: "capped", Parent: "root", Weight: 10, Limits: limit(10, 15)}}}
	q := tree(t, c)
	play(q, 0, 30*s, map[string]float64{"a": 200, "b": 200, "capped": 200}, false)
	got := play(q, 30*s, 90*s, map[string]float64{"a": 200, "b": 200, "capped": 200}, false)
	a, b, capped := float64(got["a"])/60-10, float64(got["b"])/60-10, float64(got["capped"])/60
	if a+b < 85 || b/a < 2.5 || b/a > 3.5 || capped > 15.5 || capped < 14 {
		t.Errorf("borrowed a second: %.1f and %.1f, want 95 as 1 to 3; capped at 15: %.1f", a, b, capped)
	}
}

// Pauses are honest: after one, and not before, the own share would do.
func TestPause(t *testing.T) {
	q := tree(t, clubs(10))
	now := time.Duration(0)
	for q.Admit(now, Request{Node: "lockyer", Cost: Cost{Requests: 1}, Retry: true}).Outcome != Rejected {
	}
	d := q.Admit(now, Request{Node: "lockyer", Cost: Cost{Requests: 1}, Retry: true})
	if d.RetryAfter <= 0 || d.Rejection.Node != "lockyer" || d.Receipt != nil {
		t.Fatalf("%+v", d)
	}
	if got := q.Admit(now+d.RetryAfter-time.Millisecond, Request{Node: "lockyer", Cost: Cost{Requests: 1}, Retry: true}); got.Outcome != Rejected {
		t.Error("before the pause is over it is let through")
	}
	if got := q.Admit(now+d.RetryAfter, Request{Node: "lockyer", Cost: Cost{Requests: 1}, Retry: true}); got.Outcome != WithinShare {
		t.Errorf("after the pause: %+v", got)
	}
}

// Against plain counting on random trees and requests: nothing is admitted that
// no bucket had; what is given back is given back once and wholly; what is at
// once stays within its bound; debts are bounded.
func TestRandom(t *testing.T) {
	borrowed, repaid, refunds := 0, uint64(0), 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := Config{LenderReserve: time.Duration(rng.IntN(3)) * s, RepaymentShare: 0.3 * rng.Float64(), DebtLifetime: time.Duration(1+rng.IntN(60)) * s}
		root := 20 + 80*rng.Float64()
		windows := []time.Duration{s, 10 * s}[:1+rng.IntN(2)]
		limits := func(rate float64) (out []Limit) {
			for _, w := range windows {
				l := Limit{Dimension: Requests, Rate: rate, Window: w}
				if rng.IntN(3) == 0 {
					l.Ceiling = rate * (1 + 2*rng.Float64())
				}
				out = append(out, l)
			}
			if rng.IntN(2) == 0 {
				out = append(out, Limit{Dimension: Concurrent, Rate: float64(1 + rng.IntN(6))})
			}
			return out
		}
		c.Nodes = []Node{{Name: "0", Limits: []Limit{{Dimension: Requests, Rate: root, Window: windows[0]}}}}
		leaves := 2 + rng.IntN(4)
		for i := range leaves {
			c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint(i + 1), Parent: "0", Weight: 0.5 + rng.Float64(), Limits: limits(root / float64(leaves))})
		}
		q := tree(t, c)
		now := time.Duration(0)
		admitted := make(map[string]float64) // of each node's leaf, requests that stand
		inUse := make(map[string]int)
		type held struct {
			name string
			r    *Receipt
		}
		var open []held
		for step := range 2000 {
			now += time.Duration(rng.ExpFloat64() * float64(s) / root / 1.5)
			name := fmt.Sprint(1 + rng.IntN(leaves)*rng.IntN(2)) // the first asks more
			switch {
			case len(open) > 0 && rng.IntN(4) == 0:
				i := rng.IntN(len(open))
				x := open[i]
				open = append(open[:i], open[i+1:]...)
				before := q.total()
				if rng.IntN(3) == 0 {
					q.Refund(x.r)
					admitted[x.name]--
					refunds++
				} else {
					q.Release(x.r)
				}
				inUse[x.name]--
				after := q.total()
				q.Refund(x.r)
				q.Release(x.r)
				if again := q.total(); math.Abs(again-after) > 1e-9 || after < before-1e-9 {
					t.Fatalf("seed %d, step %d: tokens %v, given back %v, and again %v", seed, step, before, after, again)
				}
				continue
			}
			d := q.Admit(now, Request{Node: name, Cost: Cost{Requests: 1, Concurrent: 1}, Retry: rng.IntN(5) == 0})
			switch d.Outcome {
			case Rejected:
				if d.Receipt != nil || d.Rejection == (Rejection{}) {
					t.Fatalf("seed %d: %+v", seed, d)
				}
				continue
			case Borrowed:
				borrowed++
				if len(d.Lenders) == 0 {
					t.Fatalf("seed %d: borrowed of nobody", seed)
				}
			}
			admitted[name]++
			inUse[name]++
			open = append(open, held{name, d.Receipt})
			sum := 0.0
			for _, n := range admitted {
				sum += n
			}
			for _, w := range windows {
				// All buckets of this window together: full at first, refilled since, and
				// below nothing by what they may owe.
				if most := root * (w + now).Seconds() * (1 + c.RepaymentShare); sum > most+1e-6 {
					t.Fatalf("seed %d, step %d at %v: %v admitted, %v at the most over %v", seed, step, now, sum, most, w)
				}
			}
			all, bound := 0, 0.0
			for i, n := range q.nodes[1:] {
				all += inUse[fmt.Sprint(i+1)]
				for _, b := range n.buckets[Concurrent] {
					bound += b.Rate
				}
				for _, x := range n.debts {
					if most := n.buckets[Requests][0].Rate * c.RepaymentShare * c.DebtLifetime.Seconds() * float64(len(windows)); x.dimension == Requests && x.amount > most+1e-9 {
						t.Fatalf("seed %d: %s owes %v, %v at the most", seed, n.Name, x.amount, most)
					}
				}
			}
			if every := len(q.nodes[1:]); bound > 0 && limitedAll(q) && float64(all) > bound {
				t.Fatalf("seed %d: %d at once of %d nodes, %v at the most", seed, all, every, bound)
			}
		}
		for _, st := range q.Explain(now) {
			repaid += st.Usage.Repaid
		}
	}
	if borrowed < 1000 || repaid < 10 || refunds < 1000 {
		t.Errorf("%d loans, %d repayments, %d refunds: that shows little", borrowed, repaid, refunds)
	}
}

// limitedAll says whether every leaf has a bound at once.
func limitedAll(q *Tree) bool {
	for _, n := range q.nodes[1:] {
		if len(n.buckets[Concurrent]) == 0 {
			return false
		}
	}
	return true
}

// total is what all buckets hold.
func (t *Tree) total() float64 {
	sum := 0.0
	for _, n := range t.nodes {
		for d := range dimensions {
			for _, b := range n.buckets[d] {
				sum += b.tokens
			}
		}
	}
	return sum
}

// A tree that replaces another takes its balances over, by their part.
func TestKeep(t *testing.T) {
	q := tree(t, clubs(100))
	play(q, 0, 30*s, map[string]float64{"lockyer": 200}, false)
	old := q.Explain(30 * s)
	c := clubs(200)
	c.Nodes = append(c.Nodes[:2:2], Node{Name: "new", Parent: "service"}, c.Nodes[2])
	p := tree(t, c)
	p.RestoreFrom(q, 30*s)
	for i, name := range []string{"service", "downs", "", "lockyer"} {
		if name == "" {
			continue
		}
		x, was := p.Explain(30 * s)[i], old[min(i, 2)]
		if x.Name != name || math.Abs(x.Limits[0].Left-2*was.Limits[0].Left) > 1e-6 || x.Usage != was.Usage || len(x.Debts) != len(was.Debts) {
			t.Errorf("%s: %+v, before %+v", name, x, was)
		}
	}
}

func TestTreesThatCannotBe(t *testing.T) {
	for _, x := range []struct {
		change func(*Config)
		want   string
	}{
		{func(c *Config) { c.Nodes = nil }, "0 nodes"},
		{func(c *Config) { c.Nodes[1].Parent = "lockyer" }, `"downs": the parent "lockyer" is not there before it: a cycle`},
		{func(c *Config) { c.Nodes[2].Name = "downs" }, "there twice"},
		{func(c *Config) { c.Nodes[2].Name = "" }, "a name is needed"},
		{func(c *Config) { c.Nodes[2].Parent = "" }, "the first node has no parent"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 90 }, `"service": requests over 10s: its children are entitled to 111 together, and it has 100`},
		{func(c *Config) { c.Nodes[1].Limits[0].Window = 0 }, "a window above 0"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = 0.01 }, "it would never let anything pass"},
		{func(c *Config) { c.Nodes[1].Limits[0].Ceiling = 1 }, "a ceiling that is not under it"},
		{func(c *Config) { c.Nodes[1].Limits[0].Rate = math.NaN() }, "a rate above 0"},
		{func(c *Config) { c.Nodes[1].Weight = -1 }, "a weight of -1"},
		{func(c *Config) { c.RepaymentShare = 2 }, "repay 2"},
		{func(c *Config) {
			for i := range MaxDepth {
				c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint(i), Parent: c.Nodes[len(c.Nodes)-1].Name})
			}
		}, "8 at most"},
	} {
		c := clubs(100)
		x.change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%v, want %s", err, x.want)
		}
	}
	if d := tree(t, clubs(100)).Admit(0, one("nobody")); d.Outcome != Rejected || d.RetryAfter != 0 {
		t.Errorf("an unknown node: %+v", d)
	}
}

// BenchmarkAsk is a decision at trees of several sizes, own and borrowed.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{2, 20, 200} {
		c := Config{Nodes: []Node{{Name: "root", Limits: []Limit{{Dimension: Requests, Rate: 1e9, Window: s}}}}, LenderReserve: 100 * time.Millisecond, RepaymentShare: 0.1, DebtLifetime: time.Minute}
		for i := range n {
			c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint(i), Parent: "root", Limits: []Limit{{Dimension: Requests, Rate: 1e9 / float64(n+1), Window: s}}})
		}
		for name, rate := range map[string]time.Duration{"own": 1000, "borrowed": 0} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				q, now := tree(b, c), time.Duration(0)
				if name == "borrowed" {
					q.nodes[1].buckets[Requests][0].tokens, q.nodes[1].buckets[Requests][0].Rate = 0, 1e-9
				}
				b.ReportAllocs()
				for b.Loop() {
					now += rate
					q.Release(q.Admit(now, one("0")).Receipt)
				}
			})
		}
	}
}
