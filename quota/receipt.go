package quota

// withdrawalKind is the reason for which tokens were taken from a bucket.
type withdrawalKind uint8

const (
	ownWithdrawal       withdrawalKind = iota // charge to the node's own share
	loanWithdrawal                            // loan by the source to the recipient
	repaymentWithdrawal                       // repayment by the source to the recipient
)

// withdrawal is an amount of tokens taken from a bucket.
type withdrawal struct {
	kind      withdrawalKind
	source    *node // the node that owns the bucket
	bucket    *bucket
	amount    float64
	recipient *node // for a loan, the borrower; for a repayment, the creditor
	// recipientBucket is, for a loan, the borrower's bucket whose loan allowance was reduced.
	recipientBucket *bucket
	debtIncrease    float64 // for a loan, by how much the borrower's debt grew
}

// Receipt records what an admitted request was charged. Release and Refund each take
// effect once, and Refund takes effect only before Release.
type Receipt struct {
	withdrawals []withdrawal
	released    bool
	refunded    bool
}

func (r *Receipt) add(w withdrawal) { r.withdrawals = append(r.withdrawals, w) }

// Release ends a request that ran: it returns the request's Concurrent slots, to the newest tree
// that has replaced the one that admitted it. It accepts a nil receipt, and does nothing if the
// receipt was released or refunded before.
func (t *Tree) Release(r *Receipt) {
	if r == nil || r.released {
		return
	}
	r.released = true
	for _, w := range r.withdrawals {
		if w.bucket.Dimension != Concurrent {
			continue
		}
		w.bucket.returnTokens(w.amount)
		if w.kind == loanWithdrawal {
			w.recipientBucket.returnLoan(w.amount)
		}
	}
}

// Refund ends a request that never ran: it returns everything that was charged. The
// counters Usage.WithinShare and Usage.Borrowed are not decremented. It accepts a nil
// receipt, and does nothing if the receipt was released or refunded before.
func (t *Tree) Refund(r *Receipt) {
	if r == nil || r.refunded || r.released {
		return
	}
	r.refunded, r.released = true, true
	r.undo()
}

// undo returns all tokens that were taken, and reverses the loans and repayments.
func (r *Receipt) undo() {
	for _, w := range r.withdrawals {
		w.bucket.returnTokens(w.amount)
		switch w.kind {
		case ownWithdrawal:
		case loanWithdrawal:
			w.undoLoan()
		case repaymentWithdrawal:
			w.undoRepayment()
		}
	}
	r.withdrawals = r.withdrawals[:0]
}

// undoLoan restores the borrower's loan allowance and virtual time, the lender's counter and
// the debt.
func (w *withdrawal) undoLoan() {
	dimension := w.bucket.Dimension
	w.recipientBucket.returnLoan(w.amount)
	w.recipient.flows[dimension].virtualTime -= w.amount / w.recipient.Weight
	w.source.usage.Lent--
	if debt := w.recipient.findDebt(w.source, dimension); debt != nil {
		debt.amount = max(0, debt.amount-w.debtIncrease)
	}
}

// undoRepayment restores the debtor's repayment allowance and debt, and the creditor's counter.
func (w *withdrawal) undoRepayment() {
	w.bucket.repaymentAllowance += w.amount
	w.recipient.usage.Repaid--
	if debt := w.source.findDebt(w.recipient, w.bucket.Dimension); debt != nil {
		debt.amount += w.amount
	}
}
