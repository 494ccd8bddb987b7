package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// epoch is when a run begins by the decision module's clock, on which 0 stands
// for long ago.
const epoch = time.Hour

// drainWithin is how long after the news of a drain a node may still be sent
// something, and slack what each time limit of a rule is longer.
const (
	drainWithin = 2 * time.Second
	slack       = 50 * time.Millisecond
)

// run is a run under way.
type run struct {
	engine
	s        *Scenario
	rate     float64 // first tries a second
	nodes    []*node
	sidecars []*sidecar
	pick     *rand.Rand // of classes, tenants and work
	network  *rand.Rand
	lists    *rand.Rand
	whims    *rand.Rand // of clients
	offered  []offer
	news     []news    // of nodes, in order, where a list may be told late
	bursts   []float64 // what each tenant sends now, over its usual
	silent   time.Duration
	lastID   policy.RequestID
	watch    policy.RequestID // the first try of the client that is watched
	open     int              // clients that wait
	result   Result
	broken   int
	seen     *observer
	plan     *[]Planned // not nil: what comes is only written down
}

// offer is the work offered to a node lately, fading within a second.
type offer struct {
	work float64
	at   time.Duration
}

// news is what the list came to say of a node.
type news struct {
	at    time.Duration
	node  *node
	state policy.Health
}

// Run plays a scenario. The error says what is wrong with it; broken rules are
// in the result.
func Run(s Scenario) (*Result, error) {
	r, err := play(s)
	if err != nil || s.Watch == 0 || r.watch == s.Watch {
		return &r.result, err
	}
	s.Watch = r.watch // of a later try: all of its client's are told
	r, err = play(s)
	return &r.result, err
}

func play(s Scenario) (*run, error) {
	r, err := prepare(&s)
	if err != nil {
		return new(run), err
	}
	for _, t := range s.Troubles {
		r.after(t.At, func() { r.trouble(t) })
	}
	r.arrivals()
	r.play()
	r.finish()
	return r, nil
}

// prepare puts the parts of a run together.
func prepare(s *Scenario) (*run, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.MostEvents == 0 {
		s.MostEvents = 100_000_000
	}
	r := &run{
		s: s, rate: s.Rate, watch: s.Watch, offered: make([]offer, s.Nodes),
		pick: stream(s.Seed, "requests", 0), network: stream(s.Seed, "network", 0), lists: stream(s.Seed, "lists", 0), whims: stream(s.Seed, "clients", 0),
	}
	if s.Load > 0 {
		r.rate = s.Load * s.Capacity() / s.work()
	}
	for range max(1, len(s.Tenants)) {
		r.bursts = append(r.bursts, 1)
	}
	r.seen = newObserver(r)
	for i := range s.Nodes {
		r.nodes = append(r.nodes, &node{engine: &r.engine, p: s.NodeAt(i), number: i})
	}
	for i := range s.Sidecars {
		c := &sidecar{run: r, number: i, clock: stream(s.Seed, "arrivals", i)}
		r.sidecars = append(r.sidecars, c)
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// arrivals lets requests come to all sidecars.
func (r *run) arrivals() {
	if len(r.s.Replay) > 0 {
		r.replay(0)
		return
	}
	for i, c := range r.sidecars {
		c.arrivals(i)
	}
}

// finish draws up the result.
func (r *run) finish() {
	for _, n := range r.nodes {
		n.advance()
		r.result.NodeServed = append(r.result.NodeServed, n.served)
		r.result.NodeBusy = append(r.result.NodeBusy, n.busy/max(r.now.Seconds(), 1e-9)/float64(n.p.Cores))
		r.result.Chokes += n.chokes
	}
	if c := &r.result; c.Cut == "" && c.Asked != c.Served+c.Refused+c.Failed+c.Lost {
		r.breach("%d asked, but %d served, %d refused, %d failed and %d lost", c.Asked, c.Served, c.Refused, c.Failed, c.Lost)
	}
	r.result.Events = r.events
	r.seen.finish()
}

// play lets events come until the last request has its answer.
func (r *run) play() {
	for {
		switch {
		case r.now > r.s.Duration && r.open == 0:
			return
		case r.events >= r.s.MostEvents:
			r.result.Cut = fmt.Sprintf("after %d events, at %v of %v, with %d requests open", r.events, r.now, r.s.Duration, r.open)
			return
		case !r.step(1 << 62):
			return
		}
	}
}

// breach notes a broken rule.
func (r *run) breach(format string, args ...any) {
	if r.broken++; r.broken <= mostBroken {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("%v: %s", r.now, fmt.Sprintf(format, args...)))
	}
}

// watched says whether what happens to a request is told: asked first, as the
// words cost more than what they are about.
func (r *run) watched(x *request) bool {
	return r.watch != 0 && x != nil && (x.first == r.watch || x.id == r.watch)
}

// note tells of the client that is watched.
func (r *run) note(x *request, format string, args ...any) {
	r.watch = x.first
	if len(r.result.Told) < mostTold {
		r.result.Told = append(r.result.Told, Told{r.now, fmt.Sprintf("try %d (request %d): ", x.try, x.id) + fmt.Sprintf(format, args...)})
	}
}

// delay draws a one-way delay.
func (r *run) delay() time.Duration {
	return time.Duration(r.network.ExpFloat64() * float64(r.s.Network.Delay))
}

// trouble lets something happen, and end.
func (r *run) trouble(t Trouble) {
	later := func(do func()) {
		if t.For > 0 {
			r.after(t.For, do)
		}
	}
	switch t.Kind {
	case Silent:
		r.silent = r.now + t.For
		for _, c := range r.sidecars {
			if c.told = !r.s.List.Asked; !c.off {
				c.b.EndpointsUpdated(c.time(), policy.FailedUpdate, nil)
			}
		}
		return
	case Stale:
		r.tellAll(func(n *node) policy.Health { return r.stateAt(n, r.now-t.For) })
		later(func() { r.tellAll(r.stateNow) })
		return
	case Burst:
		r.bursts[t.Tenant] = t.Times
		later(func() { r.bursts[t.Tenant] = 1 })
		return
	case PowerCut:
		for _, c := range r.sidecars {
			if !c.off {
				c.stop()
			}
		}
		for _, n := range r.nodes {
			n.restart(false)
		}
		r.after(t.For, func() {
			for _, n := range r.nodes {
				n.restart(true)
			}
			for _, c := range r.sidecars {
				if c.off { // another cut may have ended before
					c.restart()
				}
			}
		})
		return
	case SidecarUp:
		for _, c := range r.sidecars {
			if !c.off { // in a power cut there is none
				c.stop()
				c.restart()
			}
		}
		return
	}
	hit := []*node{r.nodes[t.Node]}
	if t.Of > 0 {
		hit = nil
		for _, i := range stream(r.s.Seed, "troubles "+string(t.Kind), int(t.At)).Perm(len(r.nodes))[:int(math.Round(t.Of*float64(len(r.nodes))))] {
			hit = append(hit, r.nodes[i])
		}
	}
	if t.Kind == Wrong {
		out := make(map[*node]bool)
		for _, n := range hit {
			out[n] = true
		}
		r.tellAll(func(n *node) policy.Health {
			if out[n] {
				return policy.Removed
			}
			return r.stateNow(n)
		})
		later(func() { r.tellAll(r.stateNow) })
		return
	}
	for _, n := range hit {
		r.strike(n, t, later)
	}
}

// strike lets something happen to a node.
func (r *run) strike(n *node, t Trouble, later func(func())) {
	set := func(change, back func()) {
		n.set(change)
		later(func() { n.set(back) })
	}
	switch t.Kind {
	case Hang:
		set(func() { n.hangs = true }, func() { n.hangs = false })
	case Mute:
		set(func() { n.mute = true }, func() { n.mute = false })
	case Deaf:
		set(func() { n.deaf = true }, func() { n.deaf = false })
	case Break:
		set(func() { n.breaks = t.Share }, func() { n.breaks = 0 })
	case Steal:
		set(func() { n.stolen = t.Share }, func() { n.stolen = 0 })
		if t.Every > 0 {
			end := r.now + t.For
			var turn func()
			turn = func() {
				switch {
				case t.For > 0 && r.now >= end || r.now > r.s.Duration:
					return
				case n.stolen > 0:
					n.set(func() { n.stolen = 0 })
				default:
					n.set(func() { n.stolen = t.Share })
				}
				r.after(t.Every/2, turn)
			}
			r.after(t.Every/2, turn)
		}
	case Drain:
		r.tell(n, policy.Draining)
		later(func() { r.tell(n, policy.Ready) })
	case Restart:
		if t.For == 0 {
			n.restart(true)
			r.tell(n, policy.Ready)
			return
		}
		n.restart(false)
		r.tell(n, policy.Removed)
		later(func() {
			n.restart(true)
			r.tell(n, policy.Ready)
		})
	}
}

// stateNow is what a right list says of a node.
func (r *run) stateNow(n *node) policy.Health { return r.stateAt(n, r.now) }

// stateAt is what the list said at a time.
func (r *run) stateAt(n *node, at time.Duration) policy.Health {
	state := policy.Ready
	for _, x := range r.news {
		if x.node == n && x.at <= at {
			state = x.state
		}
	}
	return state
}

// tell brings news of a node to every sidecar, to each after a delay of its own.
func (r *run) tell(n *node, state policy.Health) {
	r.news = append(r.news, news{r.now, n, state})
	for _, c := range r.sidecars {
		r.after(r.lag(), func() { c.hear(n, state) })
	}
}

// lag draws how long news take, not before the list is heard again.
func (r *run) lag() time.Duration {
	return max(0, r.silent-r.now) + time.Duration(r.lists.Float64()*float64(r.s.List.Lag))
}

// tellAll brings a whole list to every sidecar.
func (r *run) tellAll(state func(*node) policy.Health) {
	states := make([]policy.Health, len(r.nodes))
	for i, n := range r.nodes {
		states[i] = state(n)
	}
	for _, c := range r.sidecars {
		r.after(r.lag(), func() { c.hearAll(states) })
	}
}

// arrive notes that an attempt reached a node, and lets a cold one fall over
// that is offered too much.
func (r *run) arrive(n *node, work float64) {
	r.result.Attempts++
	o := &r.offered[n.number]
	passed := (r.now - o.at).Seconds()
	o.work, o.at = o.work*max(0, 1-passed)+work, r.now
	if c := n.warmth(); !n.down && !n.hangs && c < 1 && n.p.ColdMultiple > 0 && r.now-n.started > time.Second &&
		o.work > n.p.ColdMultiple*c*n.p.Speed*float64(n.p.Cores) {
		n.set(func() { n.down = true })
		r.breach("rule 4: node %d fell over, cold and offered %.2f of %.2f", n.number, o.work, c*n.p.Speed*float64(n.p.Cores))
	}
}
