package quota

import (
	"math"
	"time"
)

const (
	// activeWindow is how long a node counts as an active borrower after its last attempt
	// to borrow.
	activeWindow = time.Second
	// maxVirtualLead is how far a borrower's virtual time may be ahead of the lowest
	// virtual time of its active siblings, in multiples of the request's cost divided by
	// the borrower's weight.
	maxVirtualLead = 4.0
)

// flow is the state of a node as a borrower in one dimension. Borrowers share the lendable
// capacity by start-time fair queueing (Goyal, Vin and Cheng, 1996), without the queue.
type flow struct {
	virtualTime float64 // borrowed units divided by the node's weight
	// attemptedAt is the time of the last attempt to borrow. It is 0 if the node never
	// attempted to borrow or has reached its ceiling since then.
	attemptedAt time.Duration
}

// active reports whether the node counts as an active borrower.
func (f *flow) active(now time.Duration) bool {
	return f.attemptedAt > 0 && now-f.attemptedAt <= activeWindow
}

// takeLoan borrows a cost that the node's own bucket cannot cover, and reports whether a
// lender was found. The node must have a parent.
func (t *Tree) takeLoan(now time.Duration, n *node, b *bucket, cost float64, decision *Decision) bool {
	if b.exceedsCeiling(cost) {
		// A node at its ceiling cannot borrow, so its low virtual time must not keep its
		// siblings from borrowing.
		n.flows[b.Dimension].attemptedAt = 0
		return false
	}
	if !n.mayBorrow(now, b.Dimension, cost) {
		return false
	}
	// Search for the nearest lender: first among the siblings, then among the siblings of
	// each ancestor.
	for branch := n; branch.parent != nil; branch = branch.parent {
		lender, lenderBucket := t.findLender(now, branch, b, cost)
		if lender == nil {
			continue
		}
		t.lend(now, lender, lenderBucket, n, b, cost, decision)
		return true
	}
	return false
}

// findLender returns the sibling of branch that has the most to lend relative to its
// weight, which spreads loans over the siblings, and that sibling's bucket with the
// dimension and window of shortBucket. It returns nil if no sibling can lend the cost.
func (t *Tree) findLender(now time.Duration, branch *node, shortBucket *bucket, cost float64) (*node, *bucket) {
	var lender *node
	var lenderBucket *bucket
	highest := 0.0
	for _, sibling := range branch.parent.children {
		if sibling == branch {
			continue
		}
		b := sibling.findBucket(shortBucket)
		if b == nil {
			continue
		}
		b.refill(now, t.config.RepaymentShare)
		lendable := b.lendable(t.config.LenderReserve)
		if lendable >= cost && lendable/sibling.Weight > highest {
			highest, lender, lenderBucket = lendable/sibling.Weight, sibling, b
		}
	}
	return lender, lenderBucket
}

// lend takes a cost from the lender's bucket and records the loan. b is the borrower's
// bucket that cannot cover the cost.
func (t *Tree) lend(now time.Duration, lender *node, lenderBucket *bucket, borrower *node, b *bucket, cost float64,
	decision *Decision,
) {
	lenderBucket.tokens -= cost
	b.loanAllowance -= cost
	borrower.flows[b.Dimension].virtualTime += cost / borrower.Weight
	decision.Receipt.add(withdrawal{
		kind: loanWithdrawal, source: lender, bucket: lenderBucket, amount: cost,
		recipient: borrower, recipientBucket: b, debtIncrease: t.addDebt(now, borrower, lender, b, cost),
	})
	lender.usage.Lent++
	decision.Outcome = Borrowed
	decision.Lenders = append(decision.Lenders, lender.Name)
}

// mayBorrow records an attempt to borrow and reports whether the node may borrow now. It
// may not while active siblings have borrowed much less relative to their weights.
func (n *node) mayBorrow(now time.Duration, dimension Dimension, cost float64) bool {
	own := &n.flows[dimension]
	lowest, contended := n.lowestVirtualTime(now, dimension)
	if contended && now-own.attemptedAt > activeWindow {
		// A node that was idle must not make up for what it did not borrow in that time.
		own.virtualTime = max(own.virtualTime, lowest)
	}
	own.attemptedAt = max(now, 1) // 0 means never
	return !contended || own.virtualTime <= lowest+maxVirtualLead*cost/n.Weight
}

// lowestVirtualTime returns the lowest virtual time of the siblings that are active
// borrowers. contended is false if there are none.
func (n *node) lowestVirtualTime(now time.Duration, dimension Dimension) (lowest float64, contended bool) {
	lowest = math.Inf(1)
	for _, sibling := range n.parent.children {
		other := &sibling.flows[dimension]
		if sibling != n && other.active(now) {
			lowest = min(lowest, other.virtualTime)
			contended = true
		}
	}
	return lowest, contended
}
