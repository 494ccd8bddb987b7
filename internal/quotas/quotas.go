// Package quotas applies the operators' quotas to requests. A Gate stands after the
// plug-ins and before the core: it finds the node of the quota tree that a request is
// charged to, has package quota decide, and returns what an ended request held.
package quotas

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// Config is what a Gate applies.
type Config struct {
	// Tree is the quota of all sidecars together.
	Tree quota.Config
	// Matches says which requests each node gets, by its name. A node without an entry
	// gets no request of its own.
	Matches map[string]Match
	// Share is the share of every limit and ceiling that this sidecar may use, above 0
	// and at most 1: sidecars do not share their counts.
	Share float64
	// Tenants are the tenants' names, by core.Request.Tenant.
	Tenants []string
	// PriorityWeights are the costs in the dimension quota.Priority, by
	// core.Request.Class.
	PriorityWeights []float64
	// MaxRetryAfter is the longest Retry-After that clients heed; 0 sets no bound.
	MaxRetryAfter time.Duration
}

// Gate is a core.Handler that rejects requests over quota and passes the others on. It
// is safe for concurrent use; it blocks only while another goroutine is deciding.
type Gate struct {
	core.Handler // the next in the chain; set before the first request
	startedAt    time.Time

	mu       sync.Mutex          // guards what is below, and the state of each tree
	config   Config              // as loaded last
	tree     *quota.Tree         // of config, scaled by its Share
	root     string              // name of the tree's root
	children map[string][]string // names of nodes, by their parent's
}

// New returns a Gate without a next handler. The error is one of Load's.
func New(config Config) (*Gate, error) {
	g := &Gate{startedAt: time.Now()}
	if err := g.Load(config); err != nil {
		return nil, err
	}
	return g, nil
}

// Load replaces the quotas. Nodes that keep their names keep their balances; requests
// under way return their charge to the tree that charged them. A fault of a node is a
// *quota.NodeError; after an error the Gate is unchanged.
func (g *Gate) Load(config Config) error {
	if !(config.Share > 0 && config.Share <= 1) {
		return fmt.Errorf("quota: a part of %v for this sidecar: above 0, and 1 at most, is meant", config.Share)
	}
	tree, err := quota.New(config.scaledTree())
	if err != nil {
		return err
	}
	if err := config.validateTenants(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tree != nil {
		tree.RestoreFrom(g.tree, g.now())
	}
	g.config, g.tree = config, tree
	g.root, g.children = config.Tree.Nodes[0].Name, config.childrenByParent()
	return nil
}

// scaledTree is the part of Tree that this sidecar may use.
func (c *Config) scaledTree() quota.Config {
	scaled := c.Tree
	scaled.Nodes = slices.Clone(c.Tree.Nodes)
	for i := range scaled.Nodes {
		n := &scaled.Nodes[i]
		n.Limits = slices.Clone(n.Limits)
		for j := range n.Limits {
			n.Limits[j].Rate *= c.Share
			n.Limits[j].Ceiling *= c.Share
		}
	}
	return scaled
}

// validateTenants checks that the nodes name tenants that there are.
func (c *Config) validateTenants() error {
	for _, n := range c.Tree.Nodes {
		tenant := c.Matches[n.Name].Tenant
		if tenant != "" && !slices.Contains(c.Tenants, tenant) {
			err := fmt.Errorf("there is no tenant %q: one of %q is meant", tenant, c.Tenants)
			return &quota.NodeError{Node: n.Name, Err: err}
		}
	}
	return nil
}

func (c *Config) childrenByParent() map[string][]string {
	children := make(map[string][]string)
	for _, n := range c.Tree.Nodes {
		if n.Parent != "" {
			children[n.Parent] = append(children[n.Parent], n.Name)
		}
	}
	return children
}

// SetNext sets the handler that admitted requests go on to. It is called once, before
// the first request.
func (g *Gate) SetNext(next core.Handler) { g.Handler = next }

// now is the time by the trees' clock.
func (g *Gate) now() time.Duration { return time.Since(g.startedAt) }
