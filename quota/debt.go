package quota

import "time"

// debt is what a node owes another in a dimension. It decays linearly.
type debt struct {
	creditor  *node
	dimension Dimension
	amount    float64 // at decayedAt
	decayedAt time.Duration
}

// decay brings the amount up to now.
func (d *debt) decay(now, lifetime time.Duration) {
	remaining := 1 - float64(now-d.decayedAt)/float64(max(lifetime, 1))
	d.amount *= max(0, remaining)
	d.decayedAt = now
}

// findDebt returns the node's debt to a creditor, nil if there is none recorded.
func (n *node) findDebt(creditor *node, dimension Dimension) *debt {
	for i := range n.debts {
		if d := &n.debts[i]; d.creditor == creditor && d.dimension == dimension {
			return d
		}
	}
	return nil
}

// debtTo returns the node's debt to a creditor as of now, a new one of 0 if there was
// none. It is valid until the next call.
func (n *node) debtTo(now time.Duration, creditor *node, dimension Dimension, lifetime time.Duration) *debt {
	if d := n.findDebt(creditor, dimension); d != nil {
		d.decay(now, lifetime)
		return d
	}
	n.debts = append(n.debts, debt{creditor: creditor, dimension: dimension, decayedAt: now})
	return &n.debts[len(n.debts)-1]
}

// addDebt records a loan as a debt and returns by how much the debt grew. A debt is at
// most RepaymentShare of what the borrower's limit gains in DebtLifetime. Concurrent
// loans are no debts: their slots return when the requests end.
func (t *Tree) addDebt(now time.Duration, borrower, lender *node, b *bucket, amount float64) float64 {
	if t.config.DebtLifetime <= 0 || t.config.RepaymentShare <= 0 || b.Dimension == Concurrent {
		return 0
	}
	d := borrower.debtTo(now, lender, b.Dimension, t.config.DebtLifetime)
	before := d.amount
	bound := b.Rate * t.config.RepaymentShare * t.config.DebtLifetime.Seconds()
	d.amount = min(bound, before+amount)
	return d.amount - before
}

// takeRepayment takes a cost that a node's bucket is short of from the first sibling
// that owes the node as much.
func (t *Tree) takeRepayment(now time.Duration, n *node, b *bucket, cost float64, receipt *Receipt) bool {
	if b.Dimension == Concurrent {
		return false
	}
	for _, sibling := range n.parent.children {
		if sibling != n && t.repay(now, sibling, n, b, cost, receipt) {
			return true
		}
	}
	return false
}

// repay moves a cost out of the debtor's bucket if it owes as much. The bucket may
// fall below 0, but loses no more than RepaymentShare of what it gains.
func (t *Tree) repay(now time.Duration, debtor, creditor *node, like *bucket, cost float64, receipt *Receipt) bool {
	if len(debtor.debts) == 0 {
		return false
	}
	d := debtor.debtTo(now, creditor, like.Dimension, t.config.DebtLifetime)
	if d.amount < cost {
		return false
	}
	source := debtor.findBucket(like)
	if source == nil {
		return false
	}
	source.refill(now, t.config.RepaymentShare)
	if source.repaymentAllowance < cost {
		return false
	}
	source.tokens -= cost
	source.repaymentAllowance -= cost
	d.amount -= cost
	receipt.add(draw{kind: repaymentDraw, source: debtor, bucket: source, amount: cost, recipient: creditor})
	creditor.usage.Repaid++
	return true
}
