// Package quota divides the capacity of a service over a tree of nodes, such as
// tenants, teams and sites. Each node is entitled to a rate in several dimensions
// over several windows; what it leaves unused may be lent to another node and is
// repaid.
//
// Each limit of a node is a token bucket (the arithmetic is that of RFC 2697; a
// tree of them is Linux's hierarchical token bucket). Whatever is admitted is taken
// out of a bucket, the node's own or a lender's. So over any time no more is
// admitted than all buckets held and gained: lending creates no capacity.
//
// The package is pure: no clock, no I/O, no goroutine. Times are durations since
// a start that the caller chooses, and must not decrease.
package quota

import (
	"fmt"
	"time"
)

// Dimension is a quantity that is limited.
type Dimension int

// The dimensions.
const (
	Requests   Dimension = iota // one for each request
	Priority                    // the priority weight of the request's class
	Bytes                       // the length of the request's body
	Concurrent                  // one for each request in flight; returned when it ends
	dimensions
)

var dimensionNames = [dimensions]string{"requests", "worth", "bytes", "concurrent"}

// String returns the name in responses, metrics and on the admin socket.
func (d Dimension) String() string { return dimensionNames[d] }

// Limit is what a node is entitled to in one dimension over one window.
type Limit struct {
	Dimension Dimension
	// Rate is the entitlement: units a second, or for Concurrent the number of
	// requests in flight. Above 0.
	Rate float64
	// Window is how long Rate accumulates while it is not used: the bucket holds
	// Rate times Window. Above 0; Concurrent does not use it.
	Window time.Duration
	// Ceiling is the highest rate with loans included. 0 sets no bound; a value
	// equal to Rate lets the node borrow nothing; below Rate is an error.
	Ceiling float64
}

// Node is one part of the organisation.
type Node struct {
	Name   string  // unique in the tree
	Parent string  // empty for the root
	Weight float64 // share among siblings that borrow; 0 stands for 1
	Limits []Limit // a dimension without a limit is bounded by the ancestors alone
}

// Config is a tree and the terms of its loans.
type Config struct {
	// Nodes are 1 to MaxNodes nodes, parents before their children; the first is
	// the root.
	Nodes []Node
	// LenderReserve is how much of its rate, as a time, a lender does not lend. A
	// lender that becomes busy has that much at once and its own rate from then on.
	// At most half of a bucket is kept. 0 lends everything.
	LenderReserve time.Duration
	// RepaymentShare is the share of a debtor's rate, from 0 to 1, that its lenders
	// may take back while they are short. 0 records no debts.
	RepaymentShare float64
	// DebtLifetime is how long a debt lasts; it decays linearly over that time. It
	// also bounds a debt to RepaymentShare of what the debtor gains in that time. 0
	// records no debts.
	DebtLifetime time.Duration
}

// Cost is what a request takes, by Dimension. A dimension of 0 is not limited.
type Cost [dimensions]float64

// Request is a request to be admitted.
type Request struct {
	Node string // the node that it is charged to
	Cost Cost
	// Retry marks a retry by the client. It is admitted within the node's own share
	// only, so that a retry storm uses up no loans.
	Retry bool
}

// Outcome is how a request was decided.
type Outcome int

// The outcomes.
const (
	WithinShare Outcome = iota // admitted within its node's share
	Borrowed                   // admitted with a loan
	Rejected                   // over quota
)

// String returns the outcome as the admin socket shows it.
func (o Outcome) String() string { return [...]string{"own", "borrowed", "refused"}[o] }

// Decision is the answer to a Request.
type Decision struct {
	Outcome Outcome
	// Lenders names the lender of each loan that the request took.
	Lenders []string
	// RetryAfter, of a rejected request, is the time until its own share suffices; 0
	// where time alone does not help.
	RetryAfter time.Duration
	// Rejection, of a rejected request, is the limit that it exceeded.
	Rejection Rejection
	// Receipt, of an admitted request, is to be passed to Release or Refund; nil
	// otherwise.
	Receipt *Receipt
}

// Rejection is the limit that rejected a request; the zero value is none.
type Rejection struct {
	Node      string
	Dimension Dimension
	Window    time.Duration
	Missing   float64 // units that the bucket was short of
}

// String describes the limit for a client or an operator.
func (r Rejection) String() string {
	if r.Node == "" {
		return "nothing"
	}
	return fmt.Sprintf("%s of %s over %v: %.3g short", r.Dimension, r.Node, r.Window, r.Missing)
}
