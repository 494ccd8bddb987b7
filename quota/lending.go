package quota

import (
	"math"
	"time"
)

const (
	// activeWindow is how long after its last attempt to borrow a node counts among
	// the borrowers.
	activeWindow = time.Second
	// maxVirtualLead is how far, in requests by weight, a borrower's virtual time may
	// be ahead of the lowest among its active siblings.
	maxVirtualLead = 4.0
)

// flow is a node as a borrower in one dimension. Borrowers share by start-time fair
// queueing (Goyal, Vin and Cheng, 1996), without the queue.
type flow struct {
	virtualTime float64 // what it borrowed, divided by its weight
	// attemptedAt is when it last attempted to borrow; 0: never, or it has reached its
	// ceiling since.
	attemptedAt time.Duration
}

// active reports whether the flow counts among the borrowers.
func (f *flow) active(now time.Duration) bool {
	return f.attemptedAt > 0 && now-f.attemptedAt <= activeWindow
}

// takeLoan borrows a cost that a node's bucket is short of. The node has a parent.
func (t *Tree) takeLoan(now time.Duration, n *node, b *bucket, cost float64, decision *Decision) bool {
	if b.reachesCeiling(cost) {
		// Siblings must not wait for a borrower that cannot borrow.
		n.flows[b.Dimension].attemptedAt = 0
		return false
	}
	if !n.mayBorrow(now, b.Dimension, cost) {
		return false
	}
	// The nearest lender in the tree: among the siblings first, then up the tree.
	for branch := n; branch.parent != nil; branch = branch.parent {
		lender, source := t.findLender(now, branch, b, cost)
		if lender == nil {
			continue
		}
		t.lend(now, lender, source, n, b, cost, decision)
		return true
	}
	return false
}

// findLender returns, of the siblings of a branch, the one with the most to lend by
// its weight, so that loans are spread, and its bucket like the one that is short;
// nil if none can lend the cost.
func (t *Tree) findLender(now time.Duration, branch *node, like *bucket, cost float64) (*node, *bucket) {
	var lender *node
	var source *bucket
	most := 0.0
	for _, sibling := range branch.parent.children {
		if sibling == branch {
			continue
		}
		b := sibling.findBucket(like)
		if b == nil {
			continue
		}
		b.refill(now, t.config.RepaymentShare)
		lendable := b.lendable(t.config.LenderReserve)
		if lendable >= cost && lendable/sibling.Weight > most {
			most, lender, source = lendable/sibling.Weight, sibling, b
		}
	}
	return lender, source
}

// lend moves a cost out of the lender's bucket and records the loan.
func (t *Tree) lend(now time.Duration, lender *node, source *bucket, borrower *node, b *bucket, cost float64,
	decision *Decision,
) {
	source.tokens -= cost
	b.loanAllowance -= cost
	borrower.flows[b.Dimension].virtualTime += cost / borrower.Weight
	decision.Receipt.add(draw{
		kind: loanDraw, source: lender, bucket: source, amount: cost,
		recipient: borrower, recipientBucket: b, debtIncrease: t.addDebt(now, borrower, lender, b, cost),
	})
	lender.usage.Lent++
	decision.Outcome = Borrowed
	decision.Lenders = append(decision.Lenders, lender.Name)
}

// mayBorrow reports whether a node may borrow now, or has to leave it to active
// siblings that borrowed less by their weight.
func (n *node) mayBorrow(now time.Duration, dimension Dimension, cost float64) bool {
	own := &n.flows[dimension]
	lowest, contended := n.lowestVirtualTime(now, dimension)
	if contended && now-own.attemptedAt > activeWindow {
		// A flow that was idle does not catch up on what it did not borrow meanwhile.
		own.virtualTime = max(own.virtualTime, lowest)
	}
	own.attemptedAt = max(now, 1) // 0 stands for never
	return !contended || own.virtualTime <= lowest+maxVirtualLead*cost/n.Weight
}

// lowestVirtualTime is the lowest virtual time of the siblings that borrow; contended
// is false if there are none.
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
