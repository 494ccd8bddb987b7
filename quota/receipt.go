package quota

// drawKind is the reason for which tokens were taken from a bucket.
type drawKind uint8

const (
	ownDraw       drawKind = iota // charge to the node's own share
	loanDraw                      // loan by the source to the recipient
	repaymentDraw                 // repayment by the source to the recipient
)

// draw is an amount of tokens taken from a bucket.
type draw struct {
	kind      drawKind
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
	draws    []draw
	released bool
	refunded bool
}

func (r *Receipt) add(d draw) { r.draws = append(r.draws, d) }

// Release ends a request that ran: it returns the request's Concurrent slots. It accepts a
// nil receipt, and does nothing if the receipt was released or refunded before.
func (t *Tree) Release(r *Receipt) {
	if r == nil || r.released {
		return
	}
	r.released = true
	for _, d := range r.draws {
		if d.bucket.Dimension == Concurrent {
			d.bucket.put(d.amount)
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
	for _, d := range r.draws {
		d.bucket.put(d.amount)
		switch d.kind {
		case ownDraw:
		case loanDraw:
			d.undoLoan()
		case repaymentDraw:
			d.undoRepayment()
		}
	}
	r.draws = r.draws[:0]
}

// undoLoan restores the borrower's loan allowance and virtual time, the lender's counter and
// the debt.
func (d *draw) undoLoan() {
	dimension := d.bucket.Dimension
	b := d.recipientBucket
	b.loanAllowance = min(b.maxLoanAllowance(), b.loanAllowance+d.amount)
	d.recipient.flows[dimension].virtualTime -= d.amount / d.recipient.Weight
	d.source.usage.Lent--
	if debt := d.recipient.findDebt(d.source, dimension); debt != nil {
		debt.amount = max(0, debt.amount-d.debtIncrease)
	}
}

// undoRepayment restores the debtor's repayment allowance and debt, and the creditor's counter.
func (d *draw) undoRepayment() {
	d.bucket.repaymentAllowance += d.amount
	d.recipient.usage.Repaid--
	if debt := d.source.findDebt(d.recipient, d.bucket.Dimension); debt != nil {
		debt.amount += d.amount
	}
}
