package quota

import (
	"fmt"
	"time"
)

// Tree admits requests within the quotas of a Config. It is not safe for concurrent
// use, and never blocks.
type Tree struct {
	config Config
	nodes  []*node // parents before their children
	byName map[string]*node
}

// node is a Node with its state.
type node struct {
	Node
	parent   *node
	children []*node
	depth    int // 0 for the root
	buckets  [dimensions][]bucket
	debts    []debt           // what it owes, one entry for each creditor and dimension
	flows    [dimensions]flow // its place among the siblings that borrow

	usage         Usage
	lastRejection Rejection
	rejectedAt    time.Duration
}

// New builds a tree whose buckets are full. A fault of a node is a *NodeError, which
// says what would be right.
func New(config Config) (*Tree, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	t := &Tree{config: config, byName: make(map[string]*node)}
	for position, n := range config.Nodes {
		if err := t.add(n, position); err != nil {
			return nil, &NodeError{Node: n.Name, Err: err}
		}
	}
	for _, n := range t.nodes {
		if err := n.validateChildren(); err != nil {
			return nil, &NodeError{Node: n.Name, Err: err}
		}
	}
	return t, nil
}

// add checks a node and puts it under its parent.
func (t *Tree) add(config Node, position int) error {
	if err := t.validateIdentity(config, position); err != nil {
		return err
	}
	n := &node{Node: config}
	if n.Weight == 0 {
		n.Weight = 1
	}
	if n.Parent != "" {
		if err := t.attach(n); err != nil {
			return err
		}
	}
	for _, limit := range config.Limits {
		if err := limit.validate(); err != nil {
			return err
		}
		full := newBucket(limit, t.config.RepaymentShare)
		n.buckets[limit.Dimension] = append(n.buckets[limit.Dimension], full)
	}
	t.byName[n.Name] = n
	t.nodes = append(t.nodes, n)
	return nil
}

// attach links a node to its parent.
func (t *Tree) attach(n *node) error {
	n.parent = t.byName[n.Parent]
	if n.parent == nil {
		return fmt.Errorf("the parent %q is not there before it: a cycle, or a name that is wrong", n.Parent)
	}
	n.depth = n.parent.depth + 1
	if n.depth >= MaxDepth {
		return fmt.Errorf("nested %d deep: %d at most", n.depth+1, MaxDepth)
	}
	n.parent.children = append(n.parent.children, n)
	return nil
}

// findBucket returns the node's bucket of the same dimension and window as another
// node's; nil if it has none.
func (n *node) findBucket(like *bucket) *bucket {
	buckets := n.buckets[like.Dimension]
	for i := range buckets {
		if buckets[i].Window == like.Window {
			return &buckets[i]
		}
	}
	return nil
}
