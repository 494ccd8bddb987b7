package quota

import (
	"math"
	"time"
)

const (
	// concurrentReserveShare is the share of a Concurrent limit that is not lent.
	// Config.LenderReserve does not apply to it: a slot comes back only when a request
	// ends.
	concurrentReserveShare = 1.0 / 4
	// maxReserveShare is the share of a bucket's capacity that Config.LenderReserve
	// keeps at most; a short window would lend nothing otherwise.
	maxReserveShare = 1.0 / 2
)

// bucket is the token bucket of one limit. Its two allowances are token buckets
// too: they bound loans and repayments within the same window.
type bucket struct {
	Limit
	capacity   float64 // the most that it holds
	tokens     float64 // what the node may use; below 0 after a repayment
	refilledAt time.Duration
	// loanAllowance is what the node may still borrow; it refills at Ceiling - Rate, that
	// of Concurrent never. It has no meaning where Ceiling is 0.
	loanAllowance float64
	// repaymentAllowance is what the node's lenders may still take back; it refills at
	// Config.RepaymentShare of Rate.
	repaymentAllowance float64
}

// newBucket returns a full bucket.
func newBucket(limit Limit, repaymentShare float64) bucket {
	b := bucket{Limit: limit, capacity: limit.bucketCapacity()}
	b.tokens = b.capacity
	b.loanAllowance = b.maxLoanAllowance()
	b.repaymentAllowance = b.capacity * repaymentShare
	return b
}

// bucketCapacity is the most that a limit's bucket holds.
func (l *Limit) bucketCapacity() float64 {
	if l.Dimension == Concurrent {
		return l.Rate
	}
	return l.Rate * l.Window.Seconds()
}

// maxLoanAllowance is the most that may be borrowed within a window.
func (b *bucket) maxLoanAllowance() float64 { return b.capacity * max(0, b.Ceiling/b.Rate-1) }

// refill adds what the bucket gained since its last refill. Slots of a Concurrent
// limit return with Release instead.
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

// put returns tokens that were taken.
func (b *bucket) put(amount float64) { b.tokens = min(b.capacity, b.tokens+amount) }

// lendable is what the bucket may lend: its tokens less the lender's reserve.
func (b *bucket) lendable(lenderReserve time.Duration) float64 {
	if b.Dimension == Concurrent {
		return b.tokens - math.Ceil(b.Rate*concurrentReserveShare)
	}
	return b.tokens - min(b.capacity*maxReserveShare, b.Rate*lenderReserve.Seconds())
}

// reachesCeiling reports whether a loan would exceed the limit's ceiling.
func (b *bucket) reachesCeiling(amount float64) bool {
	return b.Ceiling > 0 && b.loanAllowance < amount
}
