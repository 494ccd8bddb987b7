package plugin

import (
	"slices"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// The labels of a member that plug-ins may set; pools match them by patterns.
const (
	labelSite = "site"
	labelKind = "kind"
)

// healthNames are the values of event.state.
var healthNames = [...]string{
	core.Draining: "draining",
	core.Ready:    "up",
	core.Removed:  "removed",
}

// Members returns an update of the endpoint list with the labels of the member hooks. It does not
// change the update that it is given.
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

func (g *Gate) runMemberHook(w *workspace, p *Plugin, member *core.Endpoint) {
	w.setEvent(hook.KindMember, g.cfg.Now())
	e := &w.event
	e.Text = [len(e.Text)]string{
		hook.MemberName:    member.Name,
		hook.MemberAddress: member.Addr,
		hook.MemberSite:    member.Zone,
		hook.MemberKind:    member.MachineType,
		hook.MemberState:   healthNames[member.Health],
	}
	_, _ = p.run(w, func(effects []hook.Effect) error { // run counts and logs its error
		return p.acceptMemberEffects(member, effects)
	})
}

// acceptMemberEffects checks the effects of a member's hook and only then carries them out.
func (p *Plugin) acceptMemberEffects(member *core.Endpoint, effects []hook.Effect) error {
	site, kind := member.Zone, member.MachineType
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
	member.Zone = site
	member.MachineType = kind
	return nil
}
