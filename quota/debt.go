package quota

import "time"

// debt is what a node owes another node in one dimension. It decays linearly over
// Config.DebtLifetime.
type debt struct {
	creditor  *node
	dimension Dimension
	amount    float64       // units owed at decayedAt
	decayedAt time.Duration // time of the last decay
}

// decay reduces the amount by its decay since decayedAt.
func (d *debt) decay(now, lifetime time.Duration) {
	remaining := 1 - float64(now-d.decayedAt)/float64(max(lifetime, 1))
	d.amount *= max(0, remaining)
	d.decayedAt = now
}

// findDebt returns the node's debt to the creditor in the dimension, or nil if none is
// recorded.
func (n *node) findDebt(creditor *node, dimension Dimension) *debt {
	for i := range n.debts {
		if d := &n.debts[i]; d.creditor == creditor && d.dimension == dimension {
			return d
		}
	}
	return nil
}

// debtTo returns the node's debt to the creditor, decayed to the time now. If none is
// recorded, it adds a debt of 0. The pointer is valid until the next call of debtTo for
// the same node.
func (n *node) debtTo(now time.Duration, creditor *node, dimension Dimension, lifetime time.Duration) *debt {
	if d := n.findDebt(creditor, dimension); d != nil {
		d.decay(now, lifetime)
		return d
	}
	n.debts = append(n.debts, debt{creditor: creditor, dimension: dimension, decayedAt: now})
	return &n.debts[len(n.debts)-1]
}

// addDebt records a loan as a debt of the borrower and returns by how much the debt grew.
// A debt is bounded by RepaymentShare of what the borrower's limit gains in DebtLifetime.
// A Concurrent loan creates no debt because its slots are returned when the request ends.
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

// takeRepayment charges a cost that the node's own bucket cannot cover to the first
// sibling that owes the node at least that much and can repay it. It reports whether a
// sibling repaid.
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

// repay takes a cost from the debtor's bucket and reduces its debt, and reports whether it
// did: the debt and the bucket's repayment allowance must cover the cost. creditorBucket
// is the bucket that cannot cover the cost. The debtor's bucket may fall below 0, but
// loses no more than RepaymentShare of what it gains.
func (t *Tree) repay(
	now time.Duration, debtor, creditor *node, creditorBucket *bucket, cost float64, receipt *Receipt,
) bool {
	if len(debtor.debts) == 0 {
		return false
	}
	d := debtor.debtTo(now, creditor, creditorBucket.Dimension, t.config.DebtLifetime)
	if d.amount < cost {
		return false
	}
	debtorBucket := debtor.findBucket(creditorBucket)
	if debtorBucket == nil {
		return false
	}
	debtorBucket.refill(now, t.config.RepaymentShare)
	if debtorBucket.repaymentAllowance < cost {
		return false
	}
	debtorBucket.tokens -= cost
	debtorBucket.repaymentAllowance -= cost
	d.amount -= cost
	receipt.add(withdrawal{
		kind: repaymentWithdrawal, source: debtor, bucket: debtorBucket, amount: cost, recipient: creditor,
	})
	creditor.usage.Repaid++
	return true
}
