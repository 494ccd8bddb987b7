// Package quotas applies the operators' quotas to requests. A Gate is a handler between the
// plug-ins and the core: it finds the node of the quota tree that a request is charged to,
// lets package quota decide, and returns the request's slots or charge when it ends.
package quotas

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// Config configures a Gate.
type Config struct {
	// Tree is the quota tree of all sidecars together.
	Tree quota.Config
	// Matches selects the requests of each node, by the node's name. A node without an
	// entry matches no requests.
	Matches map[string]RequestMatch
	// Share is the share of every limit and ceiling that this sidecar may use, above 0
	// and at most 1. A share is needed because sidecars do not exchange their counts.
	Share float64
	// Tenants holds the tenants' names, indexed by core.Request.Tenant.
	Tenants []string
	// PriorityWeights holds the costs in the dimension quota.Priority, indexed by
	// core.Request.Class.
	PriorityWeights []float64
	// MaxRetryAfter is the longest Retry-After that is sent to clients. 0 sets no bound.
	MaxRetryAfter time.Duration
}

// Gate is a core.Handler that rejects requests over quota and passes all others to the next
// handler. It is safe for concurrent use. Its methods block only while another goroutine
// holds its mutex to decide, load or read the state.
type Gate struct {
	core.Handler           // the next handler; set before the first request
	startedAt    time.Time // the trees' times count from here

	mu       sync.Mutex          // guards the fields below and the state of every loaded tree
	config   Config              // the last loaded configuration
	tree     *quota.Tree         // config.Tree with limits scaled by config.Share
	root     string              // name of the tree's root
	children map[string][]string // names of the children, by the parent's name
}

// New returns a Gate without a next handler. It returns the errors of Load.
func New(config Config) (*Gate, error) {
	g := &Gate{startedAt: time.Now()}
	if err := g.Load(config); err != nil {
		return nil, err
	}
	return g, nil
}

// Load replaces the quotas. Nodes that keep their names keep their counters, tokens and
// debts, and requests in flight keep their slots until they end. If a node is
// invalid, the error is a *quota.NodeError. After an error the Gate is unchanged.
func (g *Gate) Load(config Config) error {
	if !(config.Share > 0 && config.Share <= 1) {
		return fmt.Errorf("quota: Share must be above 0 and at most 1, got %v", config.Share)
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

// scaledTree returns Tree with all limits and ceilings multiplied by Share.
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

// validateTenants checks that the tenants in Matches exist.
func (c *Config) validateTenants() error {
	for _, n := range c.Tree.Nodes {
		tenant := c.Matches[n.Name].Tenant
		if tenant != "" && !slices.Contains(c.Tenants, tenant) {
			err := fmt.Errorf("unknown tenant %q, must be one of %q", tenant, c.Tenants)
			return &quota.NodeError{Node: n.Name, Err: err}
		}
	}
	return nil
}

// childrenByParent returns the names of each node's children, by the node's name.
func (c *Config) childrenByParent() map[string][]string {
	children := make(map[string][]string)
	for _, n := range c.Tree.Nodes {
		if n.Parent != "" {
			children[n.Parent] = append(children[n.Parent], n.Name)
		}
	}
	return children
}

// SetNext sets the handler to which admitted requests are passed. It must be called once,
// before the first request.
func (g *Gate) SetNext(next core.Handler) { g.Handler = next }

// now returns the time since startedAt, which is the clock of the trees.
func (g *Gate) now() time.Duration { return time.Since(g.startedAt) }
