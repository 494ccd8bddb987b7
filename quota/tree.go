package quota

import (
	"fmt"
	"time"
)

// Tree admits requests within the quotas of a Config. It is not safe for concurrent use.
// Its methods never block.
type Tree struct {
	config Config
	nodes  []*node          // parents before their children
	byName map[string]*node // nodes by Node.Name
}

// node is a Node of the configuration with its state.
type node struct {
	Node
	parent   *node
	children []*node
	depth    int // 0 for the root
	buckets  [dimensions][]bucket
	debts    []debt           // what the node owes, one entry for each creditor and dimension
	flows    [dimensions]flow // state as a borrower, by dimension

	usage         Usage
	lastRejection Rejection
	rejectedAt    time.Duration
}

// New builds a tree whose buckets are full. If a node is invalid, the error is a *NodeError
// that states the violated rule.
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

// add validates a node and adds it to the tree. position is its index in Config.Nodes.
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
		fullBucket := newBucket(limit, t.config.RepaymentShare)
		n.buckets[limit.Dimension] = append(n.buckets[limit.Dimension], fullBucket)
	}
	t.byName[n.Name] = n
	t.nodes = append(t.nodes, n)
	return nil
}

// attach links a node to its parent, which must be in the tree already.
func (t *Tree) attach(n *node) error {
	n.parent = t.byName[n.Parent]
	if n.parent == nil {
		return fmt.Errorf("parent %q must be defined before its children: wrong name or a cycle of parents", n.Parent)
	}
	n.depth = n.parent.depth + 1
	if n.depth >= MaxDepth {
		return fmt.Errorf("depth of %d exceeds the maximum of %d levels", n.depth+1, MaxDepth)
	}
	n.parent.children = append(n.parent.children, n)
	return nil
}

// findBucket returns the node's bucket with the same dimension and window as other, a
// bucket of another node. It returns nil if there is none.
func (n *node) findBucket(other *bucket) *bucket {
	buckets := n.buckets[other.Dimension]
	for i := range buckets {
		if buckets[i].Window == other.Window {
			return &buckets[i]
		}
	}
	return nil
}
