// Package quota decides what each part of an organisation may use: a tree of
// entitlements in several dimensions over several windows, where what one leaves
// unused may be lent to another and is paid back. It is a module of decisions
// alone: no clock, no I/O, no goroutine; whoever asks passes the time.
//
// Every node holds a token bucket for each of its limits (RFC 2697 has the
// arithmetic; hierarchical token buckets are Linux's HTB). What is admitted is
// taken out of some bucket, the own or a lender's, so that over any time no more
// is admitted than what all buckets held and gained: lending makes nothing.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Dimension is a quantity that is bounded.
type Dimension int

// The dimensions.
const (
	Requests   Dimension = iota // one for each
	Priority                    // what the request's class is worth
	Bytes                       // of its body
	Concurrent                  // requests at once: given back at the end
	dimensions
)

var names = [dimensions]string{"requests", "worth", "bytes", "concurrent"}

func (d Dimension) String() string { return names[d] }

// ParseDimension reads a dimension's name.
func ParseDimension(s string) (Dimension, error) {
	if i := slices.Index(names[:], s); i >= 0 {
		return Dimension(i), nil
	}
	return 0, fmt.Errorf("dimension %q is not known: one of %s is meant", s, strings.Join(names[:], ", "))
}

// Limit is an entitlement of a node in one dimension over one window.
type Limit struct {
	Dimension Dimension
	// Rate is how much a second; of Concurrent how many at once.
	Rate float64
	// Window is for how long Rate may be saved up; not used by Concurrent.
	Window time.Duration
	// Ceiling is the most a second with what is borrowed; 0: no bound but what
	// there is to borrow; equal to Rate: nothing is borrowed.
	Ceiling float64
}

// Node is one part of the organisation.
type Node struct {
	Name   string
	Parent string // empty: it is the root
	Weight float64
	Limits []Limit // none in a dimension: the parent's alone count
}

// Config is a whole tree and the terms of its loans.
type Config struct {
	Nodes []Node // parents before their children
	// LenderReserve is how much of a lender's rate stays back, in time: a lender that
	// comes back has at least that at once, and its own rate from then on.
	LenderReserve time.Duration
	// RepaymentShare is the share of a debtor's rate that its lender may take back, while
	// the lender is short.
	RepaymentShare float64
	// DebtLifetime is how long a debt lasts, fading, and bounds it: no more is owed than
	// the debtor's Repay of that time.
	DebtLifetime time.Duration
}

// Bounds of a tree.
const (
	MaxNodes = 10_000
	MaxDepth = 8
)

// bucket holds what a node may use of one limit.
type bucket struct {
	Limit
	most   float64 // it holds at the most
	tokens float64
	asOf   time.Duration
	ceil   float64 // what may still be borrowed; refilled at what Ceiling is over Rate
	repay  float64 // what may still be taken to repay; refilled at Repay of Rate
}

// node is a Node with its state.
type node struct {
	Node
	parent   *node
	children []*node
	depth    int
	buckets  [dimensions][]bucket
	debts    []debt // to whom it owes
	borrowed [dimensions]virtual
	usage    Usage
	refusal  Rejection
	refused  time.Duration
}

// debt is what a node owes another in a dimension.
type debt struct {
	to     *node
	in     Dimension
	amount float64
	asOf   time.Duration
}

// virtual is a borrower's service so far, by weight: start-time fair queueing
// (Goyal, Vin and Cheng, 1996) without the queue.
type virtual struct {
	time   float64
	wanted time.Duration // when it last wanted to borrow
}

// Usage counts what became of a node's requests.
type Usage struct {
	WithinShare uint64 `json:"Own" metric:"own"`           // requests within its share
	Borrowed    uint64 `json:"Borrowed" metric:"borrowed"` // requests that took a loan
	Rejected    uint64 `json:"Refused" metric:"refused"`   // requests turned away
	Lent        uint64 `json:"Lent" metric:"lent"`         // requests of others that took something of it
	Repaid      uint64 `json:"Repaid" metric:"repaid"`     // requests of its own that took back what it had lent
}

// Tree decides. It is not safe for concurrent use.
type Tree struct {
	cfg    Config
	nodes  []*node
	byName map[string]*node
}

// New checks a tree; the error names the node and the mend.
func New(c Config) (*Tree, error) {
	t := &Tree{cfg: c, byName: make(map[string]*node)}
	if len(c.Nodes) == 0 || len(c.Nodes) > MaxNodes {
		return nil, fmt.Errorf("quota: %d nodes: 1 to %d are meant", len(c.Nodes), MaxNodes)
	}
	if c.LenderReserve < 0 || c.DebtLifetime < 0 || !(c.RepaymentShare >= 0 && c.RepaymentShare <= 1) {
		return nil, fmt.Errorf("quota: reclaim %v, debt age %v and repay %v: times of 0 or more and a share are meant", c.LenderReserve, c.DebtLifetime, c.RepaymentShare)
	}
	for i, n := range c.Nodes {
		if err := t.add(n, i); err != nil {
			return nil, fmt.Errorf("quota: %q: %w", n.Name, err)
		}
	}
	for _, n := range t.nodes {
		if err := n.checkChildren(); err != nil {
			return nil, fmt.Errorf("quota: %q: %w", n.Name, err)
		}
	}
	return t, nil
}

func (t *Tree) add(c Node, i int) error {
	switch {
	case c.Name == "":
		return errors.New("a name is needed")
	case t.byName[c.Name] != nil:
		return errors.New("the name is there twice")
	case (c.Parent == "") != (i == 0):
		return errors.New("the first node has no parent, and every other one has one")
	case c.Weight < 0 || math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0):
		return fmt.Errorf("a weight of %v: 0 (even) or more is meant", c.Weight)
	}
	n := &node{Node: c}
	if n.Weight == 0 {
		n.Weight = 1
	}
	if i > 0 {
		if n.parent = t.byName[c.Parent]; n.parent == nil {
			return fmt.Errorf("the parent %q is not there before it: a cycle, or a name that is wrong", c.Parent)
		}
		n.depth = n.parent.depth + 1
		if n.depth >= MaxDepth {
			return fmt.Errorf("nested %d deep: %d at most", n.depth+1, MaxDepth)
		}
		n.parent.children = append(n.parent.children, n)
	}
	for _, l := range c.Limits {
		if l.Dimension < 0 || l.Dimension >= dimensions || !(l.Rate > 0) || math.IsInf(l.Rate, 0) || l.Ceiling < 0 || l.Ceiling != 0 && l.Ceiling < l.Rate {
			return fmt.Errorf("%v a second up to %v: a rate above 0 and a ceiling that is not under it are meant", l.Rate, l.Ceiling)
		}
		if l.Dimension != Concurrent && l.Window <= 0 {
			return fmt.Errorf("%s: a window above 0 is needed, such as 10 s", l.Dimension)
		}
		b := bucket{Limit: l, most: l.Rate * l.Window.Seconds()}
		if l.Dimension == Concurrent {
			b.most = l.Rate
		}
		b.ceil = b.over()
		b.repay = b.most * t.cfg.RepaymentShare
		if b.most < 1 && l.Dimension != Priority {
			return fmt.Errorf("%s: %v a second over %v is less than one: it would never let anything pass", l.Dimension, l.Rate, l.Window)
		}
		b.tokens = b.most
		n.buckets[l.Dimension] = append(n.buckets[l.Dimension], b)
	}
	t.byName[c.Name], t.nodes = n, append(t.nodes, n)
	return nil
}

// checkChildren sees to it that children are not entitled to more than there is.
func (n *node) checkChildren() error {
	for d := range dimensions {
		for _, own := range n.buckets[d] {
			sum := 0.0
			for _, c := range n.children {
				for _, b := range c.buckets[d] {
					if b.Window == own.Window {
						sum += b.Rate
					}
				}
			}
			if sum > own.Rate*(1+1e-9) {
				return fmt.Errorf("%s over %v: its children are entitled to %v together, and it has %v", d, own.Window, sum, own.Rate)
			}
		}
	}
	return nil
}

// over is the most that may be borrowed in a window.
func (b *bucket) over() float64 { return b.most * max(0, b.Ceiling/b.Rate-1) }

// refill brings a bucket up to now; repay is Config.Repay.
func (b *bucket) refill(now time.Duration, repay float64) {
	if b.Dimension == Concurrent {
		return
	}
	passed := max(0, now-b.asOf).Seconds()
	b.asOf = max(b.asOf, now)
	b.tokens = min(b.most, b.tokens+passed*b.Rate)
	b.ceil = min(b.over(), b.ceil+passed*max(0, b.Ceiling-b.Rate))
	b.repay = min(b.most*repay, b.repay+passed*b.Rate*repay)
}

// spare is what a bucket can lend: what is over the part kept for its own return.
func (b *bucket) spare(reclaim time.Duration) float64 {
	if b.Dimension == Concurrent {
		return b.tokens - math.Ceil(b.Rate/4) // a quarter is kept: nothing comes back before a request ends
	}
	return b.tokens - min(b.most/2, b.Rate*reclaim.Seconds())
}

// Cost is what a request takes of each dimension.
type Cost [dimensions]float64

// Request is what is asked.
type Request struct {
	Node  string
	Cost  Cost
	Retry bool // a further try: it takes of the own share alone
}

// Outcome is how a request stands.
type Outcome int

// The outcomes.
const (
	WithinShare Outcome = iota // within its share
	Borrowed                   // with a loan
	Rejected
)

func (o Outcome) String() string { return [...]string{"own", "borrowed", "refused"}[o] }

// Decision is the answer to a request.
type Decision struct {
	Outcome    Outcome
	Lenders    []string      // lenders, where there are some
	RetryAfter time.Duration // refused: after which the own share would do
	Rejection  Rejection
	Receipt    *Receipt // admitted: for Release, and for Refund of what never ran
}

// Rejection says which limit stood in the way; the zero one is none.
type Rejection struct {
	Node      string
	Dimension Dimension
	Window    time.Duration
	Missing   float64 // how much was missing
}

func (r Rejection) String() string {
	if r.Node == "" {
		return "nothing"
	}
	return fmt.Sprintf("%s of %s over %v: %.3g short", r.Dimension, r.Node, r.Window, r.Missing)
}

// draw is something taken out of a bucket.
type draw struct {
	of     *node
	bucket *bucket
	amount float64
	way    way
	by     *node   // of a loan or a repayment: for whom
	ceil   *bucket // of a loan: whose ceiling it counts in
	owed   float64 // of a loan: by how much the debt grew
}

// way is how something was drawn.
type way uint8

const (
	share way = iota
	loan
	repayment
)

// Receipt is what a request took. It is given back once at the most.
type Receipt struct {
	draws    []draw
	released bool
	refunded bool
}
