package quota

import (
	"errors"
	"fmt"
	"math"
)

// Bounds of a tree.
const (
	MaxNodes = 10_000
	MaxDepth = 8 // levels, the root's included
)

// rateTolerance is how far the sum of the children's rates may exceed their
// parent's, relative to it: shares that add up to 1 differ from it by rounding.
const rateTolerance = 1e-9

// The faults of a node that no value explains.
var (
	ErrNameMissing   = errors.New("a name is needed")
	ErrNameDuplicate = errors.New("the name is there twice")
	ErrRootPosition  = errors.New("the first node has no parent, and every other one has one")
)

// NodeError is a fault of one node of a Config.
type NodeError struct {
	Node string // its name
	Err  error  // what is wrong, and what would be right
}

// Error names the node before its fault.
func (e *NodeError) Error() string { return fmt.Sprintf("quota: %q: %v", e.Node, e.Err) }

// Unwrap returns the fault.
func (e *NodeError) Unwrap() error { return e.Err }

// validate checks what does not concern a single node.
func (c *Config) validate() error {
	if len(c.Nodes) == 0 || len(c.Nodes) > MaxNodes {
		return fmt.Errorf("quota: %d nodes: 1 to %d are meant", len(c.Nodes), MaxNodes)
	}
	if !c.validLoanTerms() {
		return fmt.Errorf("quota: reclaim %v, debt age %v and repay %v: times of 0 or more and a share are meant",
			c.LenderReserve, c.DebtLifetime, c.RepaymentShare)
	}
	return nil
}

func (c *Config) validLoanTerms() bool {
	validShare := c.RepaymentShare >= 0 && c.RepaymentShare <= 1
	return validShare && c.LenderReserve >= 0 && c.DebtLifetime >= 0
}

// validateIdentity checks a node's name, place and weight. The position is that in
// Config.Nodes.
func (t *Tree) validateIdentity(n Node, position int) error {
	isFirst, isRoot := position == 0, n.Parent == ""
	switch {
	case n.Name == "":
		return ErrNameMissing
	case t.byName[n.Name] != nil:
		return ErrNameDuplicate
	case isFirst != isRoot:
		return ErrRootPosition
	case n.Weight < 0 || math.IsNaN(n.Weight) || math.IsInf(n.Weight, 0):
		return fmt.Errorf("a weight of %v: 0 (even) or more is meant", n.Weight)
	}
	return nil
}

// validate checks a limit by itself.
func (l *Limit) validate() error {
	if !l.validRate() {
		return fmt.Errorf("%v a second up to %v: a rate above 0 and a ceiling that is not under it are meant",
			l.Rate, l.Ceiling)
	}
	if l.Dimension != Concurrent && l.Window <= 0 {
		return fmt.Errorf("%s: a window above 0 is needed, such as 10 s", l.Dimension)
	}
	// A priority weight may be less than 1; a request, a byte and a slot are not.
	if l.bucketCapacity() < 1 && l.Dimension != Priority {
		return fmt.Errorf("%s: %v a second over %v is less than one: it would never let anything pass",
			l.Dimension, l.Rate, l.Window)
	}
	return nil
}

func (l *Limit) validRate() bool {
	switch {
	case l.Dimension < 0 || l.Dimension >= dimensions:
		return false
	case !(l.Rate > 0) || math.IsInf(l.Rate, 0): // NaN is not above 0
		return false
	case l.Ceiling < 0:
		return false
	case l.Ceiling != 0 && l.Ceiling < l.Rate:
		return false
	}
	return true
}

// validateChildren checks that a node's children are not entitled to more together
// than the node.
func (n *node) validateChildren() error {
	for dimension := range dimensions {
		for i := range n.buckets[dimension] {
			own := &n.buckets[dimension][i]
			sum := n.childrenRate(own)
			if sum > own.Rate*(1+rateTolerance) {
				return fmt.Errorf("%s over %v: its children are entitled to %v together, and it has %v",
					dimension, own.Window, sum, own.Rate)
			}
		}
	}
	return nil
}

// childrenRate sums the children's rates over the dimension and window of a bucket.
func (n *node) childrenRate(like *bucket) float64 {
	sum := 0.0
	for _, child := range n.children {
		for _, b := range child.buckets[like.Dimension] {
			if b.Window == like.Window {
				sum += b.Rate
			}
		}
	}
	return sum
}
