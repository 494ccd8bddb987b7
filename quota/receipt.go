package quota

// drawKind is why tokens were taken out of a bucket.
type drawKind uint8

const (
	ownDraw       drawKind = iota // the node's own share
	loanDraw                      // lent by the source to the recipient
	repaymentDraw                 // repaid by the source to the recipient
)

// draw is an amount taken out of a bucket.
type draw struct {
	kind      drawKind
	source    *node // whose bucket it is
	bucket    *bucket
	amount    float64
	recipient *node // of a loan: the borrower; of a repayment: the creditor
	// recipientBucket, of a loan, is the borrower's, whose loan allowance it used up.
	recipientBucket *bucket
	debtIncrease    float64 // of a loan: by how much the borrower's debt grew
}

// Receipt is what an admitted request was charged. Each of Release and Refund takes
// effect once, and Refund only before Release.
type Receipt struct {
	draws    []draw
	released bool
	refunded bool
}

func (r *Receipt) add(d draw) { r.draws = append(r.draws, d) }

// Release ends a request that ran: its Concurrent slots are free again. It accepts a
// nil receipt, and does nothing the second time.
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

// Refund ends a request that never ran and returns all of its charge. The counts of
// Usage.WithinShare and Usage.Borrowed stay. It accepts a nil receipt, and does
// nothing the second time or after Release.
func (t *Tree) Refund(r *Receipt) {
	if r == nil || r.refunded || r.released {
		return
	}
	r.refunded, r.released = true, true
	r.undo()
}

// undo returns all that was taken, with its loans and repayments.
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

func (d *draw) undoRepayment() {
	d.bucket.repaymentAllowance += d.amount
	d.recipient.usage.Repaid--
	if debt := d.source.findDebt(d.recipient, d.bucket.Dimension); debt != nil {
		debt.amount += d.amount
	}
}
