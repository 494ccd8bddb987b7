package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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

// Result is what became of a run.
type Result struct {
	Asked, Served, InTime, Refused, Failed uint64 // tries of clients; InTime of Served, within their aim
	First, Good                            uint64 // requests, over all tries of a client: asked, and served within the aim of the first
	Attempts                               uint64 // that reached a node
	Events                                 uint64
	Latency                                *hdrhistogram.Histogram // of served tries, µs
	NodeServed                             []uint64
	NodeBusy                               []float64 // share of its cores' time
	Broken                                 []string  // rules, the first of them
	Cut                                    string    // why the run was ended before its end
}

// mostBroken is how many broken rules are told.
const mostBroken = 20

// run is a run under way.
type run struct {
	engine
	s        *Scenario
	nodes    []*node
	sidecars []*sidecar
	pick     *rand.Rand // of classes, tenants and work
	network  *rand.Rand
	lists    *rand.Rand
	offered  []offer
	lastID   policy.RequestID
	open     int // tries that have no answer
	result   Result
	broken   int
}

// offer is the work offered to a node lately, fading within a second.
type offer struct {
	work float64
	at   time.Duration
}

// Run plays a scenario. The error says what is wrong with it; broken rules are
// in the result.
func Run(s Scenario) (*Result, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if s.MostEvents == 0 {
		s.MostEvents = 100_000_000
	}
	r := &run{
		s: &s, pick: stream(s.Seed, "requests", 0), network: stream(s.Seed, "network", 0), lists: stream(s.Seed, "lists", 0),
		offered: make([]offer, s.Nodes),
	}
	r.result.Latency = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for i := range s.Nodes {
		p := s.Node
		if len(s.Speeds) > 0 {
			p.Speed *= s.Speeds[i%len(s.Speeds)]
		}
		r.nodes = append(r.nodes, &node{engine: &r.engine, p: p, number: i})
	}
	for i := range s.Sidecars {
		c, err := newSidecar(r, i)
		if err != nil {
			return nil, err
		}
		r.sidecars = append(r.sidecars, c)
	}
	for _, t := range s.Troubles {
		r.after(t.At, func() { r.trouble(t) })
	}
	for _, c := range r.sidecars {
		c.arrivals()
	}
	r.play()
	for _, n := range r.nodes {
		n.advance()
		r.result.NodeServed = append(r.result.NodeServed, n.served)
		r.result.NodeBusy = append(r.result.NodeBusy, n.busy/r.now.Seconds()/float64(n.p.Cores))
	}
	if c := &r.result; c.Cut == "" && c.Asked != c.Served+c.Refused+c.Failed {
		r.breach("%d asked, but %d served, %d refused and %d failed", c.Asked, c.Served, c.Refused, c.Failed)
	}
	r.result.Events = r.events
	return &r.result, nil
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

// delay draws a one-way delay.
func (r *run) delay() time.Duration {
	return time.Duration(r.network.ExpFloat64() * float64(r.s.Network))
}

func (r *run) trouble(t Trouble) {
	n := r.nodes[t.Node]
	switch t.Kind {
	case Hang:
		n.set(func() { n.hangs = true })
		if t.For > 0 {
			r.after(t.For, func() { n.set(func() { n.hangs = false }) })
		}
	case Drain:
		r.tell(n, policy.Draining)
		if t.For > 0 {
			r.after(t.For, func() { r.tell(n, policy.Ready) })
		}
	case Restart:
		n.advance()
		held := n.held
		n.held = nil
		n.set(func() { n.started, n.down = r.now, false })
		for _, j := range held {
			j.index = -1
			j.done(false)
		}
		r.tell(n, policy.Ready)
	}
}

// tell brings news of a node to every sidecar, to each after a delay of its own.
func (r *run) tell(n *node, state policy.State) {
	for _, c := range r.sidecars {
		r.after(time.Duration(r.lists.Float64()*float64(r.s.ListLag)), func() { c.hear(n, state) })
	}
}

// arrive notes that an attempt reached a node, and lets a cold one fall over
// that is offered too much.
func (r *run) arrive(n *node, work float64) {
	r.result.Attempts++
	o := &r.offered[n.number]
	passed := (r.now - o.at).Seconds()
	o.work, o.at = o.work*max(0, 1-passed)+work, r.now
	if c := n.capacity(); c > 0 && c < 1 && n.p.ColdMultiple > 0 && r.now-n.started > time.Second &&
		o.work > n.p.ColdMultiple*c*n.p.Speed*float64(n.p.Cores) {
		n.set(func() { n.down = true })
		r.breach("rule 4: node %d fell over, cold and offered %.2f of %.2f", n.number, o.work, c*n.p.Speed*float64(n.p.Cores))
	}
}
