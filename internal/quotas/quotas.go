// Package quotas keeps requests within the operators' quotas: it stands between
// the fronts and the core, finds whose share a request counts in, has the quota
// module decide, and gives back what a request did not use.
package quotas

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// Match says which requests belong to a node of the tree, among those that
// belong to its parent. All that is set must fit; one of which nothing is set
// gets no request of its own.
type Match struct {
	Tenant string
	Header string // canonical name, of which Value must be the value
	Value  string
	Tag    string // one that a plug-in gave
}

// Config is what a Gate keeps to.
type Config struct {
	Tree            quota.Config
	Matches         map[string]Match // by node
	Share           float64          // of every limit, that this sidecar may use
	Tenants         []string
	PriorityWeights []float64     // by class
	MaxRetryAfter   time.Duration // the longest pause that clients heed; 0: any
}

// Gate is a Taker for the fronts. It is safe for concurrent use.
type Gate struct {
	core.Handler // what requests go on to
	begin        time.Time

	mu       sync.Mutex
	cfg      Config
	tree     *quota.Tree
	children map[string][]string
	root     string
}

// New makes one; the error names the node that is wrong.
func New(c Config) (*Gate, error) {
	g := &Gate{begin: time.Now()}
	return g, g.Load(c)
}

// Load takes another tree in the place of the one there is, with the balances of
// the nodes that stay. Requests under way give back to the tree that they took of.
func (g *Gate) Load(c Config) error {
	if !(c.Share > 0 && c.Share <= 1) {
		return fmt.Errorf("quota: a part of %v for this sidecar: above 0, and 1 at most, is meant", c.Share)
	}
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
	tree, err := quota.New(scaled)
	if err != nil {
		return err
	}
	children := make(map[string][]string)
	for _, n := range scaled.Nodes {
		if m, ok := c.Matches[n.Name]; ok && m.Tenant != "" && !slices.Contains(c.Tenants, m.Tenant) {
			return fmt.Errorf("quota: %q: there is no tenant %q: one of %q is meant", n.Name, m.Tenant, c.Tenants)
		}
		if n.Parent != "" {
			children[n.Parent] = append(children[n.Parent], n.Name)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tree != nil {
		tree.RestoreFrom(g.tree, g.now())
	}
	g.cfg, g.tree, g.children, g.root = c, tree, children, scaled.Nodes[0].Name
	return nil
}

// SetNext sets what requests go on to. It comes before the first of them.
func (g *Gate) SetNext(t core.Handler) { g.Handler = t }

func (g *Gate) now() time.Duration { return time.Since(g.begin) }

// leaf finds the node that a request counts in: from the root on into the first
// child that fits.
func (g *Gate) leaf(r *core.Request) string {
	at := g.root
next:
	for {
		for _, c := range g.children[at] {
			if m, ok := g.cfg.Matches[c]; ok && g.fits(m, r) {
				at = c
				continue next
			}
		}
		return at
	}
}

// leastPause is what a client is told at least: at the very instant at which there
// is enough again, others are there too.
const leastPause = 10 * time.Millisecond

// tagField is where plug-ins put tags.
const tagField = "Request-Tags"

func (g *Gate) fits(m Match, r *core.Request) bool {
	if m == (Match{}) || m.Tenant != "" && (r.Tenant >= len(g.cfg.Tenants) || g.cfg.Tenants[r.Tenant] != m.Tenant) {
		return false
	}
	if m.Header != "" && (len(r.Fields[m.Header]) == 0 || r.Fields[m.Header][0] != m.Value) {
		return false
	}
	return m.Tag == "" || len(r.Fields[tagField]) > 0 && slices.Contains(strings.Split(r.Fields[tagField][0], ","), m.Tag)
}

// Submit passes a request on that is within its quota, or answers it.
func (g *Gate) Submit(r *core.Request) {
	g.mu.Lock()
	q := quota.Request{Node: g.leaf(r), Retry: r.ClientRetry, Cost: quota.Cost{quota.Requests: 1, quota.Priority: g.cfg.PriorityWeights[r.Class], quota.Bytes: float64(len(r.Body)), quota.Concurrent: 1}}
	tree, most := g.tree, g.cfg.MaxRetryAfter
	d := tree.Admit(g.now(), q)
	g.mu.Unlock()
	if d.Outcome == quota.Rejected {
		pause := max(d.RetryAfter, leastPause)
		if most > 0 {
			pause = min(pause, most)
		}
		r.Respond(core.Response{Result: core.Rejected, RetryAfter: pause, Detail: "over quota: " + d.Rejection.String()})
		return
	}
	reply := r.Respond
	var once sync.Once
	end := func(ran bool) {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if ran {
				tree.Release(d.Receipt)
			} else {
				tree.Refund(d.Receipt)
			}
		})
	}
	r.Respond = func(a core.Response) {
		end(a.Result != core.Rejected && a.Result != core.Duplicate)
		reply(a)
	}
	r.OnClientGone = func() { end(true) } // there will be no answer
	g.Handler.Submit(r)
}

// Abandon gives back what a request held at once whose client has left.
func (g *Gate) Abandon(r *core.Request) {
	g.Handler.Abandon(r)
	if r.OnClientGone != nil {
		r.OnClientGone()
	}
}

// NodeView is a node's state for people.
type NodeView struct {
	Name        string      `json:"Name"`
	Parent      string      `json:"Parent"`
	Depth       int         `json:"Depth"`
	Usage       quota.Usage `json:"Usage"`
	Limits      []LimitView `json:"Limits"`
	Debts       []DebtView  `json:"Owes"`
	Rejection   string      `json:"Refusal,omitempty"`
	RejectedAgo float64     `json:"RefusedAgo,omitempty"` // seconds
}

// LimitView is a limit and what is left of it.
type LimitView struct {
	Dimension string  `json:"Dimension"`
	Rate      float64 `json:"Rate"`
	Ceiling   float64 `json:"Ceiling"`
	Window    string  `json:"Window"`
	Left      float64 `json:"Left"`
}

// DebtView is a debt.
type DebtView struct {
	To        string  `json:"To"`
	Dimension string  `json:"Dimension"`
	Amount    float64 `json:"Amount"`
}

// View tells how every node stands, parents before their children.
func (g *Gate) View() []NodeView {
	g.mu.Lock()
	now := g.now()
	states := g.tree.Explain(now)
	g.mu.Unlock()
	out := make([]NodeView, 0, len(states))
	for _, s := range states {
		v := NodeView{Name: s.Name, Parent: s.Parent, Depth: s.Depth, Usage: s.Usage}
		for _, l := range s.Limits {
			v.Limits = append(v.Limits, LimitView{l.Dimension.String(), l.Rate, l.Ceiling, l.Window.String(), l.Left})
		}
		for _, o := range s.Debts {
			v.Debts = append(v.Debts, DebtView{o.To, o.Dimension.String(), o.Amount})
		}
		if s.LastRejection != (quota.Rejection{}) {
			v.Rejection, v.RejectedAgo = s.LastRejection.String(), (now - s.RejectedAt).Seconds()
		}
		out = append(out, v)
	}
	return out
}
