package plugin

import (
	"cmp"
	"slices"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// The labels of a member that plug-ins may set. Pools select members by patterns of their labels, which decide nothing else: the
// zone in which members drop repeats stays that of the list.
const (
	labelSite = "site"
	labelKind = "kind"
)

// healthNames holds the values of event.state in programs.
var healthNames = [...]string{
	core.Draining: "draining",
	core.Ready:    "up",
	core.Removed:  "removed",
}

// Members runs the member hooks and returns the update of the endpoint list with the labels that they
// set. It does not change its argument.
func (g *Gate) Members(update core.EndpointUpdate) core.EndpointUpdate {
	plugins := g.plugins.Load()
	if len(plugins.member) == 0 {
		return update
	}
	w := g.workspaces.Get().(*workspace)
	defer g.workspaces.Put(w)
	update.Endpoints = slices.Clone(update.Endpoints)
	for i := range update.Endpoints {
		for _, p := range plugins.member {
			g.runMemberHook(w, p, &update.Endpoints[i])
		}
	}
	return update
}

// runMemberHook runs the member hook of one plug-in and sets the labels of member.
func (g *Gate) runMemberHook(w *workspace, p *Plugin, member *core.Endpoint) {
	w.setEvent(hook.KindMember, g.cfg.Now())
	e := &w.event
	e.Text = [len(e.Text)]string{
		hook.MemberName:    member.Name,
		hook.MemberAddress: member.Addr,
		hook.MemberSite:    cmp.Or(member.PoolSite, member.Zone),
		hook.MemberKind:    member.MachineType,
		hook.MemberState:   healthNames[member.Health],
	}
	_, _ = p.run(w, func(effects []hook.Effect) error { // run counts and logs its error
		return p.applyMemberEffects(member, effects)
	})
}

// applyMemberEffects checks all effects of a member hook before it applies them.
func (p *Plugin) applyMemberEffects(member *core.Endpoint, effects []hook.Effect) error {
	site, kind := member.PoolSite, member.MachineType
	var counters []string
	for i := range effects {
		switch e := &effects[i]; {
		case e.Kind == hook.Count:
			counters = append(counters, e.Name)
		case e.Name == labelSite:
			site = e.Text
		case e.Name == labelKind:
			kind = e.Text
		default:
			return denied("the label %.40q: \"kind\" or \"site\" is meant", e.Name)
		}
	}
	if err := p.countAll(counters); err != nil {
		return err
	}
	member.PoolSite = site
	member.MachineType = kind
	return nil
}
