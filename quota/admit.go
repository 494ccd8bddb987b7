package quota

import (
	"math"
	"time"
)

// Admit decides whether a request is admitted at the time now. An admitted request is
// charged to every limit from its node up to the root; a rejected request is charged to
// none. A request for an unknown node is rejected without a RetryAfter.
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
// that holds too few tokens and whose shortage no repayment or loan covers, or nil if the
// node admits the request. Charges made before that bucket are left for the caller to undo.
func (t *Tree) chargeNode(now time.Duration, n *node, request *Request, decision *Decision) *bucket {
	for dimension, cost := range request.Cost {
		if cost <= 0 {
			continue
		}
		for i := range n.buckets[dimension] {
			b := &n.buckets[dimension][i]
			b.refill(now, t.config.RepaymentShare)
			if n.chargeOwnBucket(b, cost, decision.Receipt) {
				continue
			}
			if request.Retry || !t.coverShortage(now, n, b, cost, decision) {
				return b
			}
		}
	}
	return nil
}

// chargeOwnBucket charges the cost to the node's own bucket if the bucket holds enough
// tokens, and reports whether it did.
func (n *node) chargeOwnBucket(b *bucket, cost float64, receipt *Receipt) bool {
	if b.tokens >= cost {
		b.tokens -= cost
		receipt.add(withdrawal{kind: ownWithdrawal, source: n, bucket: b, amount: cost})
		return true
	}
	return false
}

// coverShortage charges to another node a cost that the node's own bucket cannot cover: as
// a repayment of a debt if possible, otherwise as a loan. It reports whether the cost is
// covered. The root has no siblings and is never covered.
func (t *Tree) coverShortage(now time.Duration, n *node, b *bucket, cost float64, decision *Decision) bool {
	if n.parent == nil {
		return false
	}
	return t.takeRepayment(now, n, b, cost, decision.Receipt) || t.takeLoan(now, n, b, cost, decision)
}

// reject counts a rejection at n, the request's node, and returns the decision. The
// exceeded limit is that of limitNode, which is n or one of its ancestors.
func (n *node) reject(now time.Duration, limitNode *node, b *bucket, cost float64) Decision {
	missing := cost - b.tokens
	n.usage.Rejected++
	n.lastRejection = Rejection{Node: limitNode.Name, Dimension: b.Dimension, Window: b.Window, Missing: missing}
	n.rejectedAt = now
	decision := Decision{Outcome: Rejected, Rejection: n.lastRejection}
	if b.Dimension != Concurrent && cost <= b.capacity {
		decision.RetryAfter = time.Duration(math.Ceil(missing / b.Rate * float64(time.Second)))
	}
	return decision
}
