package quota

import (
	"errors"
	"fmt"
	"math"
)

// Bounds of a tree.
const (
	MaxNodes = 10_000
	MaxDepth = 8 // levels, including the root's
)

// rateTolerance is how far the sum of the children's rates may exceed the parent's rate,
// relative to the parent's rate. Because of rounding, shares that should add up to 1 may
// exceed it slightly.
const rateTolerance = 1e-9

// Errors of a node's identity. They have no value to report.
var (
	ErrNameMissing   = errors.New("name must not be empty")
	ErrNameDuplicate = errors.New("name must be unique in the tree")
	ErrRootPosition  = errors.New("the first node must have no parent, and every other node must have one")
)

// NodeError is an error in one node of a Config.
type NodeError struct {
	Node string // the node's name
	Err  error  // the violated rule, with the value
}

// Error returns the node's name, followed by the error.
func (e *NodeError) Error() string { return fmt.Sprintf("quota: %q: %v", e.Node, e.Err) }

// Unwrap returns the node's error without its name.
func (e *NodeError) Unwrap() error { return e.Err }

// validate checks the number of nodes and the terms of loans. New validates each node.
func (c *Config) validate() error {
	if len(c.Nodes) == 0 || len(c.Nodes) > MaxNodes {
		return fmt.Errorf("quota: Nodes must contain 1 to %[2]d nodes, got %[1]d", len(c.Nodes), MaxNodes)
	}
	if !c.validLoanTerms() {
		return fmt.Errorf("quota: reclaim and debt_age must be at least 0 and repay 0 to 1, got reclaim %v, debt_age %v, repay %v",
			c.LenderReserve, c.DebtLifetime, c.RepaymentShare)
	}
	return nil
}

// validLoanTerms reports whether LenderReserve, DebtLifetime and RepaymentShare are valid.
func (c *Config) validLoanTerms() bool {
	validShare := c.RepaymentShare >= 0 && c.RepaymentShare <= 1
	return validShare && c.LenderReserve >= 0 && c.DebtLifetime >= 0
}

// validateIdentity checks a node's name, parent and weight. position is the node's index in
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
		return fmt.Errorf("weight must be finite and at least 0 (0 means 1), got %v", n.Weight)
	}
	return nil
}

// validate checks a limit without regard to other limits.
func (l *Limit) validate() error {
	if !l.validRate() {
		return fmt.Errorf("rate must be above 0 and ceiling must be 0 or at least the rate, got rate %v and ceiling %v",
			l.Rate, l.Ceiling)
	}
	if l.Dimension != Concurrent && l.Window <= 0 {
		return fmt.Errorf("%s: window must be above 0, such as 10s", l.Dimension)
	}
	// Requests, bytes and slots are counted in whole units, so a bucket of less than 1 would
	// admit nothing. A priority weight may be less than 1.
	if l.bucketCapacity() < 1 && l.Dimension != Priority {
		return fmt.Errorf("%s: bucket must hold at least 1 to admit any request, got a rate of %v over a window of %v",
			l.Dimension, l.Rate, l.Window)
	}
	return nil
}

// validRate reports whether the dimension, rate and ceiling are valid.
func (l *Limit) validRate() bool {
	switch {
	case l.Dimension < 0 || l.Dimension >= dimensions:
		return false
	case !(l.Rate > 0) || math.IsInf(l.Rate, 0): // !(Rate > 0) is also true for NaN
		return false
	case l.Ceiling < 0:
		return false
	case l.Ceiling != 0 && l.Ceiling < l.Rate:
		return false
	}
	return true
}

// validateChildren checks that the rates of a node's children add up to at most the node's
// own rate, for each dimension and window that the node limits.
func (n *node) validateChildren() error {
	for dimension := range dimensions {
		for i := range n.buckets[dimension] {
			own := &n.buckets[dimension][i]
			sum := n.childrenRate(own)
			if sum > own.Rate*(1+rateTolerance) {
				return fmt.Errorf("%s over %v: sum of the children's rates is %v, must not exceed the node's rate of %v",
					dimension, own.Window, sum, own.Rate)
			}
		}
	}
	return nil
}

// childrenRate returns the sum of the children's rates in the dimension and window of own, a
// bucket of the node.
func (n *node) childrenRate(own *bucket) float64 {
	sum := 0.0
	for _, child := range n.children {
		for _, b := range child.buckets[own.Dimension] {
			if b.Window == own.Window {
				sum += b.Rate
			}
		}
	}
	return sum
}
