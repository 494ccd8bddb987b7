package plugin

import (
	"fmt"
	"maps"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// Config is what a Gate is made of.
type Config struct {
	Classes []string // names by number
	Tenants []string // empty: there is one, without a name
	Specs   []Spec   // in the order in which they are run
	// Now gives the time that plug-ins see; nil: the system's.
	Now func() time.Time
}

// outcomesHeld is how many outcomes wait for their hooks; more are dropped and counted.
const outcomesHeld = 1024

// Gate stands between the fronts and the core: it runs the request hooks on the
// front's goroutine, and those of outcomes on one of its own. It is a Taker for
// the fronts.
type Gate struct {
	core.Handler // what requests go on to
	cfg          Config
	tenants      map[string]int
	set          atomic.Pointer[set]
	spaces       sync.Pool

	outcomes chan outcome
	dropped  atomic.Uint64
}

// set is the plug-ins of one load. It does not change: a run keeps to the set
// with which it began.
type set struct {
	all     []*Plugin
	request []*Plugin
	outcome []*Plugin
	member  []*Plugin
}

// outcome is a final answer whose hooks are to be run.
type outcome struct {
	set           *set
	class, tenant int
	id            string
	verdict       core.Result
	took          time.Duration
}

// NewGate loads the plug-ins; the error names the first that is wrong, and where.
func NewGate(c Config) (*Gate, error) {
	g := &Gate{cfg: c, tenants: core.IndexByName(c.Tenants), outcomes: make(chan outcome, outcomesHeld)}
	g.spaces.New = func() any { return new(workspace) }
	if g.cfg.Now == nil {
		g.cfg.Now = time.Now
	}
	g.set.Store(new(set))
	return g, g.Load(c.Specs)
}

// Load takes other plug-ins in the place of those there are, all at one instant,
// or none where one of them is wrong. One that keeps its name keeps its state.
// Runs under way end with what they began with.
func (g *Gate) Load(specs []Spec) error {
	old, s := g.set.Load(), new(set)
	for _, spec := range specs {
		for _, t := range spec.Tenants {
			if _, known := g.tenants[t]; !known {
				return fmt.Errorf("plug-in %q: there is no tenant %q: one of %q is meant", spec.Name, t, g.cfg.Tenants)
			}
		}
		for _, c := range spec.Refused {
			if !slices.Contains(g.cfg.Classes, c) {
				return fmt.Errorf("plug-in %q: there is no class %q: one of %q is meant", spec.Name, c, g.cfg.Classes)
			}
		}
		var was *Plugin
		if i := slices.IndexFunc(old.all, func(p *Plugin) bool { return p.spec.Name == spec.Name }); i >= 0 {
			was = old.all[i]
		}
		p, err := load(spec, was)
		if err != nil {
			return err
		}
		s.all = append(s.all, p)
		for kind, list := range map[string]*[]*Plugin{"request": &s.request, "outcome": &s.outcome, "member": &s.member} {
			if p.has(kind) {
				*list = append(*list, p)
			}
		}
	}
	g.set.Store(s)
	return nil
}

// SetNext sets what requests go on to. It comes before the first of them.
func (g *Gate) SetNext(t core.Handler) { g.Handler = t }

// Plugins are those that are loaded, with their counts, for who shows them.
func (g *Gate) Plugins(each func(name, state string, c Counts, named map[string]uint64)) {
	for _, p := range g.set.Load().all {
		p.mu.Lock()
		state := p.breaker.State().String()
		p.mu.Unlock()
		each(p.spec.Name, state, p.Counts(), p.Named())
	}
}

// Dropped says how many outcomes were dropped as too many waited.
func (g *Gate) Dropped() uint64 { return g.dropped.Load() }

// Submit runs the request hooks and passes the request on, or answers it.
func (g *Gate) Submit(r *core.Request) {
	s := g.set.Load()
	if len(s.request) > 0 || len(s.outcome) > 0 {
		delete(r.Fields, TagField) // a client gives itself none
	}
	if len(s.outcome) > 0 {
		g.follow(s, r)
	}
	if len(s.request) > 0 {
		if answer := g.request(s, r); answer != nil {
			r.Respond(*answer)
			return
		}
	}
	g.Handler.Submit(r)
}

// follow has the outcome hooks hear of a request's final answer.
func (g *Gate) follow(s *set, r *core.Request) {
	began, reply, o := time.Now(), r.Respond, outcome{set: s, class: r.Class, tenant: r.Tenant, id: r.ID}
	r.Respond = func(a core.Response) {
		reply(a)
		o.verdict, o.took = a.Result, time.Since(began)
		select { // on the core's goroutine: it must not wait
		case g.outcomes <- o:
		default:
			g.dropped.Add(1)
		}
	}
}

// request runs the request hooks in their order; an answer is a refusal.
func (g *Gate) request(s *set, r *core.Request) *core.Response {
	w := g.spaces.Get().(*workspace)
	defer g.spaces.Put(w)
	for _, p := range s.request {
		g.describe(w, r)
		var refusal *core.Response
		skipped, err := p.run(w, func(effects []hook.Effect) error {
			var err error
			refusal, err = g.accept(p, r, effects)
			return err
		})
		w.heads.fields = nil
		switch {
		case refusal != nil:
			p.refused.Add(1)
			return refusal
		case (err != nil || skipped) && (p.spec.Refuse || slices.Contains(p.spec.Refused, g.cfg.Classes[r.Class])):
			p.refused.Add(1)
			return &core.Response{Result: core.Rejected, RetryAfter: time.Second, Detail: "the plug-in " + p.spec.Name + " does not work"}
		}
	}
	return nil
}

// describe fills in what a request's hook sees.
func (g *Gate) describe(w *workspace, r *core.Request) {
	now := g.cfg.Now()
	w.heads.fields = r.Fields
	e := &w.event
	e.Kind, e.Now, e.Headers = "request", now, &w.heads
	e.Text = [len(e.Text)]string{
		hook.RequestClass: g.cfg.Classes[r.Class], hook.RequestTenant: g.tenant(r.Tenant), hook.RequestID: r.ID,
		hook.RequestKey: first(r.Fields, "Idempotency-Key"), hook.RequestTarget: r.Target,
	}
	e.Int[hook.RequestSize], e.Int[hook.RequestLeft], e.Int[hook.RequestRetry] = int64(len(r.Body)), int64(time.Until(r.Deadline)), 0
	if r.ClientRetry {
		e.Int[hook.RequestRetry] = 1
	}
}

func (g *Gate) tenant(n int) string {
	if n < len(g.cfg.Tenants) {
		return g.cfg.Tenants[n]
	}
	return ""
}

func first(fields map[string][]string, name string) string {
	if v := fields[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// heads are a request's fields, as a hook sees them.
type heads struct{ fields map[string][]string }

// Header gives the first value of a field.
func (h *heads) Header(name string) string {
	if v, ok := h.fields[name]; ok && len(v) > 0 { // mostly it is canonical already
		return v[0]
	}
	return first(h.fields, textproto.CanonicalMIMEHeaderKey(name))
}

// accept checks all that a plug-in asks for and only then does it.
func (g *Gate) accept(p *Plugin, r *core.Request, effects []hook.Effect) (refusal *core.Response, err error) {
	var fields map[string][]string // what they are to be; nil: as they are
	tenant := r.Tenant
	var counts []string
	change := func() {
		if fields == nil {
			fields = maps.Clone(r.Fields)
			if fields == nil {
				fields = make(map[string][]string)
			}
		}
	}
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case hook.SetHeader:
			name, err := p.field(e)
			if err != nil {
				return nil, err
			}
			change()
			fields[name] = []string{e.Text}
		case hook.RemoveHeader:
			name := textproto.CanonicalMIMEHeaderKey(e.Name)
			if !p.mayTouch(name) {
				return nil, denied("the header %.40q: headers of the plug-in's manifest does not name it, or it says what the request is", name)
			}
			change()
			delete(fields, name)
		case hook.Tag:
			if !tagText(e.Text) {
				return nil, denied("the tag %.40q: 1 to 64 bytes of printable signs without commas and blanks are meant", e.Text)
			}
			change()
			tags := e.Text
			if had := first(fields, TagField); had != "" {
				tags = had + "," + tags
			}
			fields[TagField] = []string{tags}
		case hook.SetTenant:
			n, known := g.tenants[e.Text]
			if !known || !slices.Contains(p.spec.Tenants, e.Text) {
				return nil, denied("the tenant %.40q: tenants of the plug-in's manifest does not name it", e.Text)
			}
			tenant = n
		case hook.Count:
			counts = append(counts, e.Name)
		case hook.Refuse:
			if !p.spec.MayRefuse {
				return nil, denied("a refusal: may_refuse of the plug-in's manifest is not set")
			}
			refusal = &core.Response{Result: core.Rejected, RetryAfter: min(max(e.Pause, 0), mostPause), Detail: reason(e.Text)}
		}
	}
	if size := fieldBytes(fields); size > mostFields {
		return nil, denied("a header of %d bytes: %d at most", size, mostFields)
	}
	for _, c := range counts {
		if err := p.count(c); err != nil {
			return nil, err
		}
	}
	if refusal == nil {
		if fields != nil {
			r.Fields = fields
		}
		r.Tenant = tenant
	}
	return refusal, nil
}

// reason makes a text one that may stand in an answer.
func reason(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, s)
	if len(s) > mostReason {
		s = strings.ToValidUTF8(s[:mostReason], "")
	}
	return s
}

func fieldBytes(fields map[string][]string) int {
	n := 0
	for name, values := range fields {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// Run runs the hooks of outcomes until ctx's channel closes. What waits then is
// not run.
func (g *Gate) Run(done <-chan struct{}) {
	w := new(workspace)
	for {
		select {
		case o := <-g.outcomes:
			g.outcome(w, &o)
		case <-done:
			return
		}
	}
}

func (g *Gate) outcome(w *workspace, o *outcome) {
	for _, p := range o.set.outcome {
		e := &w.event
		e.Kind, e.Now = "outcome", g.cfg.Now()
		e.Text = [len(e.Text)]string{
			hook.OutcomeClass: g.cfg.Classes[o.class], hook.OutcomeTenant: g.tenant(o.tenant), hook.OutcomeID: o.id, hook.OutcomeEnding: o.verdict.String(),
		}
		e.Int[hook.OutcomeTook] = int64(o.took)
		p.run(w, func(effects []hook.Effect) error { // what went wrong was counted and told
			for i := range effects {
				name := effects[i].Name
				if effects[i].Kind == hook.Label {
					name += "=" + effects[i].Text
				}
				if err := p.count(name); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// Members gives the instances of the list what the member hooks label them with:
// "kind" and "site", which the patterns of pools match.
func (g *Gate) Members(n core.EndpointUpdate) core.EndpointUpdate {
	s := g.set.Load()
	if len(s.member) == 0 {
		return n
	}
	w := g.spaces.Get().(*workspace)
	defer g.spaces.Put(w)
	n.Endpoints = slices.Clone(n.Endpoints)
	for i := range n.Endpoints {
		for _, p := range s.member {
			g.member(w, p, &n.Endpoints[i])
		}
	}
	return n
}

func (g *Gate) member(w *workspace, p *Plugin, in *core.Endpoint) {
	e := &w.event
	e.Kind, e.Now, e.Headers = "member", g.cfg.Now(), nil
	e.Text = [len(e.Text)]string{
		hook.MemberName: in.Name, hook.MemberAddress: in.Addr, hook.MemberSite: in.Zone, hook.MemberKind: in.MachineType,
		hook.MemberState: [...]string{core.Draining: "draining", core.Up: "up", core.Removed: "removed"}[in.Health],
	}
	p.run(w, func(effects []hook.Effect) error {
		site, kind := in.Zone, in.MachineType
		var counts []string
		for i := range effects {
			switch x := &effects[i]; {
			case x.Kind == hook.Count:
				counts = append(counts, x.Name)
			case x.Name == "site":
				site = x.Text
			case x.Name == "kind":
				kind = x.Text
			default:
				return denied("the label %.40q: \"kind\" or \"site\" is meant", x.Name)
			}
		}
		for _, c := range counts {
			if err := p.count(c); err != nil {
				return err
			}
		}
		in.Zone, in.MachineType = site, kind
		return nil
	})
}
