package quotas

import (
	"slices"
	"strings"

	"mothridge/internal/core"
	"mothridge/internal/plugin"
)

// RequestMatch selects a node's requests among those of its parent: all conditions that are set
// must hold. A zero RequestMatch selects no requests.
type RequestMatch struct {
	Tenant string // name of the request's tenant
	Header string // canonical name of a header field, whose first value must equal Value
	Value  string
	Tag    string // a tag that a plug-in added to the request
}

// findNode returns the name of the node that a request is charged to. It descends from the
// root to the first matching child until no child matches. The caller holds g.mu.
func (g *Gate) findNode(r *core.Request) string {
	name := g.root
	for {
		child, found := g.matchingChild(name, r)
		if !found {
			return name
		}
		name = child
	}
}

// matchingChild returns the name of the first child of parent that matches the request.
func (g *Gate) matchingChild(parent string, r *core.Request) (name string, found bool) {
	for _, child := range g.children[parent] {
		if g.matches(g.config.Matches[child], r) {
			return child, true
		}
	}
	return "", false
}

// matches reports whether all conditions of m hold for the request.
func (g *Gate) matches(m RequestMatch, r *core.Request) bool {
	if m == (RequestMatch{}) {
		return false
	}
	return g.matchesTenant(m, r) && matchesHeader(m, r) && matchesTag(m, r)
}

func (g *Gate) matchesTenant(m RequestMatch, r *core.Request) bool {
	if m.Tenant == "" {
		return true
	}
	tenants := g.config.Tenants
	return r.Tenant < len(tenants) && tenants[r.Tenant] == m.Tenant
}

func matchesHeader(m RequestMatch, r *core.Request) bool {
	if m.Header == "" {
		return true
	}
	values := r.Fields[m.Header]
	return len(values) > 0 && values[0] == m.Value
}

func matchesTag(m RequestMatch, r *core.Request) bool {
	if m.Tag == "" {
		return true
	}
	values := r.Fields[plugin.TagField]
	return len(values) > 0 && slices.Contains(strings.Split(values[0], ","), m.Tag)
}
