package quota

import (
	"math"
	"time"
)

const (
	// concurrentReserveShare is the share of a Concurrent limit's slots that a lender
	// does not lend. Config.LenderReserve does not apply to Concurrent limits because
	// time alone does not free a slot: a slot is returned only when its request ends.
	concurrentReserveShare = 1.0 / 4
	// maxReserveShare is the largest share of a bucket's capacity that
	// Config.LenderReserve may reserve. Without this bound, a bucket with a short window
	// would lend nothing.
	maxReserveShare = 1.0 / 2
)

// bucket is the token bucket of one limit. Its two allowances are token buckets as well:
// they bound the loans that the node takes and the repayments that it makes within the
// limit's window.
type bucket struct {
	Limit
	capacity   float64       // maximum of tokens
	tokens     float64       // available units; may be below 0 after a repayment or a reload
	refilledAt time.Duration // time of the last refill
	// loanAllowance is how many units the node may still borrow. It refills at
	// Ceiling - Rate units a second; that of a Concurrent limit is returned by Release. It is
	// not used if Ceiling is 0.
	loanAllowance float64
	// repaymentAllowance is how many units the node's lenders may still take back. It
	// refills at Config.RepaymentShare of Rate.
	repaymentAllowance float64
	// successor is the bucket of a newer tree to which the slots of a Concurrent limit are returned; nil if there is none.
	successor *bucket
}

// newBucket returns a full bucket.
func newBucket(limit Limit, repaymentShare float64) bucket {
	b := bucket{Limit: limit, capacity: limit.bucketCapacity()}
	b.tokens = b.capacity
	b.loanAllowance = b.maxLoanAllowance()
	b.repaymentAllowance = b.capacity * repaymentShare
	return b
}

// bucketCapacity returns the maximum number of tokens in the limit's bucket.
func (l *Limit) bucketCapacity() float64 {
	if l.Dimension == Concurrent {
		return l.Rate
	}
	return l.Rate * l.Window.Seconds()
}

// maxLoanAllowance returns the maximum of loanAllowance: how many units the node may
// borrow within a window.
func (b *bucket) maxLoanAllowance() float64 { return b.capacity * max(0, b.Ceiling/b.Rate-1) }

// refill adds the tokens and allowances that accumulated since the last refill. It does
// nothing for a Concurrent limit, whose slots are returned by Release.
func (b *bucket) refill(now time.Duration, repaymentShare float64) {
	if b.Dimension == Concurrent {
		return
	}
	elapsed := max(0, now-b.refilledAt).Seconds()
	b.refilledAt = max(b.refilledAt, now)
	b.tokens = min(b.capacity, b.tokens+elapsed*b.Rate)
	b.loanAllowance = min(b.maxLoanAllowance(), b.loanAllowance+elapsed*max(0, b.Ceiling-b.Rate))
	b.repaymentAllowance = min(b.capacity*repaymentShare, b.repaymentAllowance+elapsed*b.Rate*repaymentShare)
}

// newest returns the bucket to which what was taken from b is returned.
func (b *bucket) newest() *bucket {
	for b.successor != nil {
		b = b.successor
	}
	return b
}

// returnTokens returns tokens to the bucket, up to its capacity.
func (b *bucket) returnTokens(amount float64) {
	newest := b.newest()
	newest.tokens = min(newest.capacity, newest.tokens+amount)
}

// returnLoan returns the allowance of a loan.
func (b *bucket) returnLoan(amount float64) {
	newest := b.newest()
	newest.loanAllowance = min(newest.maxLoanAllowance(), newest.loanAllowance+amount)
}

// replaceSlots makes the bucket of a Concurrent limit the successor of one whose requests in flight still hold slots and loans.
func (b *bucket) replaceSlots(old *bucket) {
	b.tokens = b.capacity - (old.capacity - old.tokens)
	b.loanAllowance = b.maxLoanAllowance() - (old.maxLoanAllowance() - old.loanAllowance)
	old.successor = b
}

// lendable returns how many tokens the bucket may lend: its tokens minus the lender's
// reserve. The result may be negative.
func (b *bucket) lendable(lenderReserve time.Duration) float64 {
	if b.Dimension == Concurrent {
		return b.tokens - math.Ceil(b.Rate*concurrentReserveShare)
	}
	return b.tokens - min(b.capacity*maxReserveShare, b.Rate*lenderReserve.Seconds())
}

// exceedsCeiling reports whether a loan of the amount would exceed the limit's ceiling.
func (b *bucket) exceedsCeiling(amount float64) bool {
	return b.Ceiling > 0 && b.loanAllowance < amount
}
