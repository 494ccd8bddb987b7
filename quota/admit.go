package quota

import (
	"math"
	"time"
)

// Admit decides on a request. An admitted request is charged to every limit from its
// node up to the root, a rejected one to none. A request of an unknown node is
// rejected without a RetryAfter.
func (t *Tree) Admit(now time.Duration, request Request) Decision {
	leaf := t.byName[request.Node]
	if leaf == nil {
		return Decision{Outcome: Rejected}
	}
	decision := Decision{Outcome: WithinShare, Receipt: new(Receipt)}
	for n := leaf; n != nil; n = n.parent {
		if exceeded := t.chargeNode(now, n, &request, &decision); exceeded != nil {
			decision.Receipt.undo()
			return leaf.reject(now, n, exceeded, request.Cost[exceeded.Dimension])
		}
	}
	if decision.Outcome == Borrowed {
		leaf.usage.Borrowed++
	} else {
		leaf.usage.WithinShare++
	}
	return decision
}

// chargeNode charges a request to the limits of one node. It returns the first bucket
// that is short and that no repayment or loan covers; nil if there is none.
func (t *Tree) chargeNode(now time.Duration, n *node, request *Request, decision *Decision) *bucket {
	for dimension, cost := range request.Cost {
		if cost <= 0 {
			continue
		}
		for i := range n.buckets[dimension] {
			b := &n.buckets[dimension][i]
			b.refill(now, t.config.RepaymentShare)
			if n.takeOwn(b, cost, decision.Receipt) {
				continue
			}
			if request.Retry || !t.coverShortage(now, n, b, cost, decision) {
				return b
			}
		}
	}
	return nil
}

// takeOwn charges the node's own bucket if it holds enough.
func (n *node) takeOwn(b *bucket, cost float64, receipt *Receipt) bool {
	if b.tokens >= cost {
		b.tokens -= cost
		receipt.add(draw{kind: ownDraw, source: n, bucket: b, amount: cost})
		return true
	}
	return false
}

// coverShortage takes a cost that a node's bucket is short of from other nodes: as a
// repayment of their debts, else as a loan.
func (t *Tree) coverShortage(now time.Duration, n *node, b *bucket, cost float64, decision *Decision) bool {
	if n.parent == nil {
		return false
	}
	return t.takeRepayment(now, n, b, cost, decision.Receipt) || t.takeLoan(now, n, b, cost, decision)
}

// reject counts a rejection at the request's node. The limit may be an ancestor's.
func (n *node) reject(now time.Duration, limitOf *node, b *bucket, cost float64) Decision {
	missing := cost - b.tokens
	n.usage.Rejected++
	n.lastRejection = Rejection{Node: limitOf.Name, Dimension: b.Dimension, Window: b.Window, Missing: missing}
	n.rejectedAt = now
	decision := Decision{Outcome: Rejected, Rejection: n.lastRejection}
	if b.Dimension != Concurrent && cost <= b.capacity {
		decision.RetryAfter = time.Duration(math.Ceil(missing / b.Rate * float64(time.Second)))
	}
	return decision
}
