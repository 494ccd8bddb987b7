package plugin

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// Config configures a Gate.
type Config struct {
	Classes []string // names, indexed by core.Request.Class
	Tenants []string // names, indexed by core.Request.Tenant; empty if there is one tenant without a name
	Specs   []Spec   // in the order in which the plug-ins run
	// StateBytes bounds the memory of the maps of all plug-ins; 0 means no bound. Plug-ins that declare maps have
	// even parts of it, so that none can take the state of another.
	StateBytes int64
	// Now returns the time of an event; nil means time.Now.
	Now func() time.Time
}

// Gate runs the plug-ins. It is a core.Handler between the listener front ends and the core: request
// hooks run on the front end's goroutine, outcome hooks on the goroutine of Run. It is safe for concurrent
// use, except that SetNext must be called before the first Submit.
type Gate struct {
	core.Handler  // the next handler
	cfg           Config
	tenantNumbers map[string]int // tenant numbers by name
	plugins       atomic.Pointer[pluginSet]
	workspaces    sync.Pool // of *workspace

	outcomes chan outcome
	dropped  atomic.Uint64 // number of outcomes that were dropped because the queue was full
}

// pluginSet holds the plug-ins of one load. It does not change after the load: a request keeps the set
// with which its hooks began.
type pluginSet struct {
	all     []*Plugin
	request []*Plugin // plug-ins that run for a request
	outcome []*Plugin // plug-ins that run for an outcome
	member  []*Plugin // plug-ins that run for a member
}

// add adds a plug-in to the lists of the kinds of events for which it runs.
func (s *pluginSet) add(p *Plugin) {
	s.all = append(s.all, p)
	if p.runsFor(hook.KindRequest) {
		s.request = append(s.request, p)
	}
	if p.runsFor(hook.KindOutcome) {
		s.outcome = append(s.outcome, p)
	}
	if p.runsFor(hook.KindMember) {
		s.member = append(s.member, p)
	}
}

// find returns the plug-in with the name, or nil if there is none.
func (s *pluginSet) find(name string) *Plugin {
	i := slices.IndexFunc(s.all, func(p *Plugin) bool { return p.spec.Name == name })
	if i < 0 {
		return nil
	}
	return s.all[i]
}

// NewGate returns a Gate with the plug-ins of c loaded. The error names the first invalid plug-in and the
// position in its program.
func NewGate(c Config) (*Gate, error) {
	g := &Gate{
		cfg:           c,
		tenantNumbers: core.IndexByName(c.Tenants),
		outcomes:      make(chan outcome, outcomeQueueLength),
	}
	g.workspaces.New = func() any { return new(workspace) }
	if g.cfg.Now == nil {
		g.cfg.Now = time.Now
	}
	g.plugins.Store(new(pluginSet))
	return g, g.Load(c.Specs)
}

// Load replaces all plug-ins atomically, or none if one of them is invalid. A plug-in that keeps its name
// keeps its state. Runs in progress continue with the plug-ins with which they began.
func (g *Gate) Load(specs []Spec) error {
	old, loaded := g.plugins.Load(), new(pluginSet)
	for _, spec := range specs {
		if err := g.checkNames(spec); err != nil {
			return err
		}
		p, err := load(spec, old.find(spec.Name))
		if err != nil {
			return err
		}
		loaded.add(p)
	}
	loaded.declareStates(g.cfg.StateBytes)
	g.plugins.Store(loaded)
	return nil
}

// declareStates prepares the states of the plug-ins, whose maps share totalBytes of memory; 0 means no bound.
func (s *pluginSet) declareStates(totalBytes int64) {
	withMaps := int64(0)
	for _, p := range s.all {
		if p.hasMaps() {
			withMaps++
		}
	}
	for _, p := range s.all {
		p.declareState(totalBytes / max(withMaps, 1))
	}
}

// checkNames returns an error if a manifest contains the name of a tenant or class that does not exist.
func (g *Gate) checkNames(spec Spec) error {
	for _, tenant := range spec.Tenants {
		if _, known := g.tenantNumbers[tenant]; !known {
			return fmt.Errorf("plug-in %q: unknown tenant %q, must be one of %q", spec.Name, tenant, g.cfg.Tenants)
		}
	}
	for _, class := range spec.RejectClasses {
		if !slices.Contains(g.cfg.Classes, class) {
			return fmt.Errorf("plug-in %q: unknown class %q, must be one of %q", spec.Name, class, g.cfg.Classes)
		}
	}
	return nil
}

// SetNext sets the handler after the plug-ins. It must be called before the first Submit.
func (g *Gate) SetNext(next core.Handler) { g.Handler = next }

// Plugins returns the status of each loaded plug-in, in the order in which the plug-ins run.
func (g *Gate) Plugins() []Status {
	var statuses []Status
	for _, p := range g.plugins.Load().all {
		statuses = append(statuses, p.status())
	}
	return statuses
}

// DroppedOutcomes returns how many outcomes were dropped because the queue was full.
func (g *Gate) DroppedOutcomes() uint64 { return g.dropped.Load() }

// Submit runs the request hooks. It passes the request to the next handler, or responds to it if a hook
// rejects it.
func (g *Gate) Submit(r *core.Request) {
	plugins := g.plugins.Load()
	if len(plugins.request) > 0 || len(plugins.outcome) > 0 {
		delete(r.Fields, TagField) // clients cannot set tags
	}
	if len(plugins.outcome) > 0 {
		g.observeOutcome(plugins, r)
	}
	if len(plugins.request) > 0 {
		if rejection := g.runRequestHooks(plugins, r); rejection != nil {
			r.Respond(*rejection)
			return
		}
	}
	g.Handler.Submit(r)
}

// tenant returns a tenant's name by its number. It returns "" if tenants have no names.
func (g *Gate) tenant(number int) string {
	if number < len(g.cfg.Tenants) {
		return g.cfg.Tenants[number]
	}
	return ""
}
