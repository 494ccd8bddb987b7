package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// decider is what a sidecar of the model asks; policy.Balancer is one.
type decider interface {
	Start(now time.Duration)
	List(now time.Duration, kind policy.ListKind, entries []policy.Server)
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientGone(now time.Duration, id policy.RequestID)
	Wake(now time.Duration)
}

// Policy names what decides in every sidecar. The references are for comparison
// alone: no sidecar has them.
type Policy string

// The policies. A reference refuses nothing, repeats at once what may be
// repeated, and knows of a server what the list says.
const (
	Mothridge  Policy = ""            // the real decision module
	Random     Policy = "random"      // any ready server
	RoundRobin Policy = "round-robin" // the ready servers in turn
	TwoChoices Policy = "two-choices" // of two drawn, the one with fewer of our own requests (Mitzenmacher, 2001)
)

// decider makes a sidecar's.
func (p Policy) decider(cfg policy.Config, seed uint64, h policy.Host) (decider, error) {
	switch p {
	case Mothridge:
		return policy.New(cfg, seed, h)
	case Random, RoundRobin, TwoChoices:
		return &reference{policy: p, cfg: cfg, host: h, rng: stream(seed, "reference", 0), held: make(map[policy.RequestID]*referred)}, nil
	}
	return nil, fmt.Errorf("scenario: policy %q is not known: %q, %q, %q or nothing is meant", p, Random, RoundRobin, TwoChoices)
}

// reference decides by a plain rule.
type reference struct {
	policy Policy
	cfg    policy.Config
	host   policy.Host
	rng    *rand.Rand
	ready  []policy.ServerID // in the list's order
	next   int
	out    map[policy.ServerID]int
	held   map[policy.RequestID]*referred
}

// referred is a request that a reference holds.
type referred struct {
	class    int
	until    time.Duration
	sent     []policy.ServerID
	mayRun   bool // an attempt may have run
	finished bool
}

// Start begins.
func (r *reference) Start(time.Duration) { r.out = make(map[policy.ServerID]int) }

// Wake has nothing to do.
func (r *reference) Wake(time.Duration) {}

// List takes the servers over that are ready.
func (r *reference) List(_ time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind != policy.ListDelta {
		r.ready = nil
	}
	for _, e := range entries {
		at := -1
		for i, id := range r.ready {
			if id == e.ID {
				at = i
			}
		}
		switch {
		case e.State == policy.Ready && at < 0:
			r.ready = append(r.ready, e.ID)
		case e.State != policy.Ready && at >= 0:
			r.ready = append(r.ready[:at], r.ready[at+1:]...)
		}
	}
}

// Request sends it at once.
func (r *reference) Request(now time.Duration, q policy.Request) {
	x := &referred{class: q.Class, until: now + q.Left}
	r.held[q.ID] = x
	r.send(now, q.ID, x)
}

// pick chooses a server.
func (r *reference) pick() policy.ServerID {
	draw := func() policy.ServerID { return r.ready[r.rng.IntN(len(r.ready))] }
	switch r.policy {
	case RoundRobin:
		r.next++
		return r.ready[r.next%len(r.ready)]
	case TwoChoices:
		a, b := draw(), draw()
		if r.out[b] < r.out[a] {
			return b
		}
		return a
	}
	return draw()
}

func (r *reference) send(now time.Duration, id policy.RequestID, x *referred) {
	if len(r.ready) == 0 || now >= x.until {
		r.finish(id, x)
		return
	}
	to := r.pick()
	x.sent = append(x.sent, to)
	r.out[to]++
	r.host.Send(id, to, x.until-now)
}

// finish gives the request its answer: refused where that is harmless.
func (r *reference) finish(id policy.RequestID, x *referred) {
	delete(r.held, id)
	if x.mayRun && r.cfg.Classes[x.class].Effect != policy.Safe {
		r.host.Fail(id)
	} else {
		r.host.Refuse(id, 0)
	}
}

// Outcome takes the end of an attempt: what may be repeated is.
func (r *reference) Outcome(now time.Duration, o policy.Outcome) {
	x := r.held[o.ID]
	if x == nil {
		return
	}
	r.out[x.sent[o.Attempt]]--
	if o.Settled {
		delete(r.held, o.ID)
		return
	}
	never := o.Ending == policy.TurnedAway || o.Ending == policy.NoConnection || o.Ending == policy.NotSent
	x.mayRun = x.mayRun || !never
	if len(x.sent) < r.cfg.MaxAttempts && (!x.mayRun || r.cfg.Classes[x.class].Effect == policy.Safe) {
		r.send(now, o.ID, x)
		return
	}
	r.finish(o.ID, x)
}

// ClientGone lets a request go.
func (r *reference) ClientGone(_ time.Duration, id policy.RequestID) { delete(r.held, id) }
