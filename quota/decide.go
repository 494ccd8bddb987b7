package quota

import (
	"math"
	"time"
)

const (
	// activeFor is for how long one that wanted to borrow counts among the
	// borrowers.
	activeFor = time.Second
	// headStart is how far a borrower's service, by weight, may be ahead of the
	// least served one's, in requests.
	headStart = 4.0
)

// Admit decides on a request. Unknown nodes are an error of the caller: they are
// refused without a pause.
func (t *Tree) Admit(now time.Duration, q Request) Decision {
	leaf := t.byName[q.Node]
	if leaf == nil {
		return Decision{Outcome: Rejected}
	}
	r := new(Receipt)
	d := Decision{Outcome: WithinShare, Receipt: r}
	// Every limit on the way to the root counts: the leaf's and its ancestors'.
	for n := leaf; n != nil; n = n.parent {
		for in := range dimensions {
			cost := q.Cost[in]
			if cost <= 0 {
				continue
			}
			for i := range n.buckets[in] {
				b := &n.buckets[in][i]
				b.refill(now, t.cfg.RepaymentShare)
				if b.tokens >= cost {
					b.tokens -= cost
					r.draws = append(r.draws, draw{of: n, bucket: b, amount: cost})
					continue
				}
				if !q.Retry && t.loan(now, n, b, cost, r, &d) {
					continue
				}
				t.undo(r)
				return t.refuse(now, leaf, n, b, cost)
			}
		}
	}
	if d.Outcome == Borrowed {
		leaf.usage.Borrowed++
	} else {
		leaf.usage.WithinShare++
	}
	return d
}

// refuse tells the pause after which the own share would do.
func (t *Tree) refuse(now time.Duration, leaf, at *node, b *bucket, cost float64) Decision {
	short := cost - b.tokens
	leaf.usage.Rejected++
	leaf.refusal, leaf.refused = Rejection{at.Name, b.Dimension, b.Window, short}, now
	d := Decision{Outcome: Rejected, Rejection: leaf.refusal}
	if b.Dimension != Concurrent && cost <= b.most {
		d.RetryAfter = time.Duration(math.Ceil(short / b.Rate * float64(time.Second)))
	}
	return d
}

// loan takes what a bucket is short of from others: first what debtors owe to
// its node, then what the nodes nearest in the tree leave unused.
func (t *Tree) loan(now time.Duration, n *node, b *bucket, cost float64, r *Receipt, d *Decision) bool {
	if t.repaid(now, n, b, cost, r) {
		return true
	}
	if b.Ceiling > 0 && b.ceil < cost {
		n.borrowed[b.Dimension].wanted = 0 // no borrower now: the others would wait for its turn
		return false
	}
	if n.parent == nil || !t.turn(now, n, b.Dimension, cost) {
		return false
	}
	// Siblings first, then up the tree; of several the one with the most to spare
	// by its weight, so that loans are spread.
	for up := n; up.parent != nil; up = up.parent {
		lender, of := t.lender(now, up, n, b, cost)
		if lender == nil {
			continue
		}
		of.tokens -= cost
		b.ceil -= cost
		n.borrowed[b.Dimension].time += cost / n.Weight
		r.draws = append(r.draws, draw{of: lender, bucket: of, amount: cost, way: loan, by: n, ceil: b, owed: t.owe(now, n, lender, b, cost)})
		lender.usage.Lent++
		d.Outcome = Borrowed
		d.Lenders = append(d.Lenders, lender.Name)
		return true
	}
	return false
}

// like finds a node's bucket of the same dimension and window as another; nil:
// it has none.
func (n *node) like(b *bucket) *bucket {
	for i := range n.buckets[b.Dimension] {
		if x := &n.buckets[b.Dimension][i]; x.Window == b.Window {
			return x
		}
	}
	return nil
}

// lender finds, among the siblings of up and what is below them, the bucket of
// the same kind that can spare the most.
func (t *Tree) lender(now time.Duration, up, n *node, b *bucket, cost float64) (best *node, of *bucket) {
	most := 0.0
	for _, s := range up.parent.children {
		if s == up {
			continue
		}
		x := s.like(b)
		if x == nil {
			continue
		}
		x.refill(now, t.cfg.RepaymentShare)
		if spare := x.spare(t.cfg.LenderReserve); spare >= cost && spare/s.Weight > most {
			most, best, of = spare/s.Weight, s, x
		}
	}
	return best, of
}

// turn says whether a borrower may borrow now, or others that want to as well
// have had less by their weight.
func (t *Tree) turn(now time.Duration, n *node, in Dimension, cost float64) bool {
	v := &n.borrowed[in]
	least, others := math.Inf(1), false
	for _, s := range n.parent.children {
		if x := &s.borrowed[in]; s != n && now-x.wanted <= activeFor && x.wanted > 0 {
			least, others = min(least, x.time), true
		}
	}
	if others && now-v.wanted > activeFor { // back among them: what it left unused is gone
		v.time = max(v.time, least)
	}
	v.wanted = max(now, 1)
	return !others || v.time <= least+headStart*cost/n.Weight
}

// owe notes a loan and gives by how much the debt grew.
func (t *Tree) owe(now time.Duration, n, to *node, b *bucket, amount float64) float64 {
	if t.cfg.DebtLifetime <= 0 || t.cfg.RepaymentShare <= 0 || b.Dimension == Concurrent {
		return 0
	}
	x := n.debt(now, to, b.Dimension, t.cfg.DebtLifetime)
	was := x.amount
	x.amount = min(b.Rate*t.cfg.RepaymentShare*t.cfg.DebtLifetime.Seconds(), was+amount)
	return x.amount - was
}

// debt finds what a node owes another, faded to now.
func (n *node) debt(now time.Duration, to *node, in Dimension, age time.Duration) *debt {
	for i := range n.debts {
		if x := &n.debts[i]; x.to == to && x.in == in {
			left := 1 - float64(now-x.asOf)/float64(max(age, 1))
			x.amount, x.asOf = x.amount*max(0, left), now
			return x
		}
	}
	n.debts = append(n.debts, debt{to: to, in: in, asOf: now})
	return &n.debts[len(n.debts)-1]
}

// repaid takes what a bucket is short of from those that owe to its node: out of
// their own tokens, above all but Repay of what they gain.
func (t *Tree) repaid(now time.Duration, n *node, b *bucket, cost float64, r *Receipt) bool {
	if n.parent == nil || b.Dimension == Concurrent {
		return false
	}
	for _, s := range n.parent.children {
		if s == n || len(s.debts) == 0 {
			continue
		}
		x := s.debt(now, n, b.Dimension, t.cfg.DebtLifetime)
		if x.amount < cost {
			continue
		}
		of := s.like(b)
		if of == nil {
			continue
		}
		of.refill(now, t.cfg.RepaymentShare)
		// It pays out of what it holds and, below nothing, out of what it gains next,
		// but no more than Repay of that.
		if of.repay < cost {
			continue
		}
		of.tokens -= cost
		of.repay -= cost
		x.amount -= cost
		r.draws = append(r.draws, draw{of: s, bucket: of, amount: cost, way: repayment, by: n})
		n.usage.Repaid++
		return true
	}
	return false
}

// undo gives back what a request took, with all that came of it.
func (t *Tree) undo(r *Receipt) {
	for i := range r.draws {
		x := &r.draws[i]
		in := x.bucket.Dimension
		x.bucket.tokens = min(x.bucket.most, x.bucket.tokens+x.amount)
		switch x.way {
		case loan:
			x.ceil.ceil = min(x.ceil.over(), x.ceil.ceil+x.amount)
			x.by.borrowed[in].time -= x.amount / x.by.Weight
			x.of.usage.Lent--
			for j := range x.by.debts {
				if y := &x.by.debts[j]; y.to == x.of && y.in == in {
					y.amount = max(0, y.amount-x.owed)
				}
			}
		case repayment:
			x.bucket.repay += x.amount
			x.by.usage.Repaid--
			for j := range x.of.debts {
				if y := &x.of.debts[j]; y.to == x.by && y.in == in {
					y.amount += x.amount
				}
			}
		}
	}
	r.draws = r.draws[:0]
}

// Release ends a request: what it held at once is free again. Of a second call
// nothing comes.
func (t *Tree) Release(r *Receipt) {
	if r == nil || r.released {
		return
	}
	r.released = true
	for i := range r.draws {
		if x := &r.draws[i]; x.bucket.Dimension == Concurrent {
			x.bucket.tokens = min(x.bucket.most, x.bucket.tokens+x.amount)
		}
	}
}

// Refund gives all back of a request that never ran: it was refused later, or
// turned away. It is done once, and ends the request.
func (t *Tree) Refund(r *Receipt) {
	if r == nil || r.refunded || r.released {
		return
	}
	r.refunded, r.released = true, true
	t.undo(r) // what it was counted as stays counted
}

// State is how a node stands, for people.
type State struct {
	Name, Parent  string
	Depth         int
	Usage         Usage
	Limits        []LimitState
	Debts         []Debt
	LastRejection Rejection     // its last
	RejectedAt    time.Duration // when that was
}

// LimitState is a limit and what is left of it.
type LimitState struct {
	Limit
	Left float64
}

// Debt is a debt.
type Debt struct {
	To        string
	Dimension Dimension
	Amount    float64
}

// Explain tells how every node stands, parents before their children.
func (t *Tree) Explain(now time.Duration) []State {
	out := make([]State, 0, len(t.nodes))
	for _, n := range t.nodes {
		s := State{Name: n.Name, Parent: n.Parent, Depth: n.depth, Usage: n.usage, LastRejection: n.refusal, RejectedAt: n.refused}
		for d := range dimensions {
			for i := range n.buckets[d] {
				b := &n.buckets[d][i]
				b.refill(now, t.cfg.RepaymentShare)
				s.Limits = append(s.Limits, LimitState{b.Limit, b.tokens})
			}
		}
		for i := range n.debts {
			if x := n.debt(now, n.debts[i].to, n.debts[i].in, t.cfg.DebtLifetime); x.amount > 0 {
				s.Debts = append(s.Debts, Debt{x.to.Name, x.in, x.amount})
			}
		}
		out = append(out, s)
	}
	return out
}

// RestoreFrom takes over the balances of a tree that this one replaces, for the nodes
// and limits that stay.
func (t *Tree) RestoreFrom(old *Tree, now time.Duration) {
	for _, n := range t.nodes {
		was := old.byName[n.Name]
		if was == nil {
			continue
		}
		n.usage, n.refusal, n.refused, n.borrowed = was.usage, was.refusal, was.refused, was.borrowed
		for d := range dimensions {
			for i := range n.buckets[d] {
				b := &n.buckets[d][i]
				if x := was.like(b); x != nil {
					x.refill(now, t.cfg.RepaymentShare)
					// By its part of what it can hold: a limit that grew is not full at once.
					b.tokens, b.asOf = b.most*x.tokens/x.most, now
				}
			}
		}
		for _, x := range was.debts {
			if to := t.byName[x.to.Name]; to != nil {
				n.debts = append(n.debts, debt{to, x.in, x.amount, x.asOf})
			}
		}
	}
}
