package fleet

import (
	"flag"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

var long = flag.Bool("long", false, "also play 10^8 events")

const ms = time.Millisecond

// calm is one class of safe requests over nodes of one core, with nothing else.
func calm(nodes int, load float64) Scenario {
	return Scenario{
		Seed: 1, Duration: time.Minute, Nodes: nodes, Sidecars: 1, Load: load, Node: NodeParams{Cores: 1, Speed: 1}, Attempts: 3, Clients: Clients{Tries: 1},
		Classes: []Class{{Share: 1, Work: 10 * ms, Aim: time.Second, Deadline: 30 * time.Second}},
	}
}

// must plays a scenario that is to break no rule.
func must(t *testing.T, s Scenario) *Result {
	t.Helper()
	r, err := Run(s)
	if err != nil || len(r.Broken) > 0 || r.Cut != "" {
		t.Fatalf("seed %d: %v %q %s", s.Seed, err, r.Broken, r.Cut)
	}
	return r
}

// Two hundred small fleets with trouble of every kind: no rule breaks in any.
func TestRulesHold(t *testing.T) {
	var asked, lost, chokes, handshakes uint64
	for seed := range uint64(200) {
		r, err := Run(Small(seed))
		if err != nil {
			t.Fatalf("Small(%d): %v", seed, err)
		}
		if len(r.Broken) > 0 || r.Cut != "" {
			t.Errorf("Small(%d): %s %s\nplay it with: go run ./cmd/fleetsim farm --first %d --seeds 1 --shrink", seed, r.Cut, strings.Join(r.Broken, "; "), seed)
		}
		asked, lost, chokes, handshakes = asked+r.Asked, lost+r.Lost, chokes+r.Chokes, handshakes+r.Handshakes
	}
	if asked < 100_000 || lost < 100 || chokes < 10 || handshakes < 1000 {
		t.Errorf("%d tries, %d lost with their sidecar, %d slow states, %d handshakes in all: that shows little", asked, lost, chokes, handshakes)
	}
}

// The checks themselves see what they are there for.
func TestBrokenRulesAreSeen(t *testing.T) {
	for rule, do := range map[string]func(c *sidecar, x *request){
		"rule 1: request 1 of sidecar 0 has a second answer": func(c *sidecar, x *request) { c.answer(x); c.answer(x) },
		"rule 1: sidecar 0 refuses request 1":                func(c *sidecar, x *request) { c.Fail(x.id); c.Reject(x.id, 0) },
		"rule 1: request 2 of sidecar 0 has no answer before its deadline": func(c *sidecar, _ *request) {
			c.nodes[0].hangs, c.nodes[1].hangs = true, true
			y := c.newRequest(&client{class: 1, ends: time.Second}, 1)
			c.ask(y)
			c.cancel(y.attempts[0].timeout) // neither its attempt's end nor the module's own timer comes
			for c.cancel(c.wake); c.step(2 * time.Second); c.cancel(c.wake) {
			}
		},
		"rule 2: request 1": func(c *sidecar, x *request) { c.effect(x, c.nodes[0]); c.effect(x, c.nodes[0]) },
		"rule 2: request 1 of sidecar 0 may run a second time": func(c *sidecar, x *request) {
			x.class = 0 // keyed, each node a cell
			c.effect(x, c.nodes[0])
			c.effect(x, c.nodes[1])
		},
		"rule 3: sidecar 0 sends request 1 to node 0": func(c *sidecar, x *request) {
			c.servers[0].drained, c.now = time.Second, 4*time.Second
			c.Send(x.id, 1, 0, 0)
		},
		"rule 4: node 0 fell over": func(c *sidecar, x *request) {
			c.nodes[0].started, c.now = time.Second, 3*time.Second
			for range 1000 {
				c.arrive(c.nodes[0], 0.02)
			}
		},
	} {
		s := Small(1)
		s.Nodes, s.Sidecars, s.Classes[0].Scope, s.List, s.Troubles = 2, 1, Scope(policy.ScopeCell), List{}, nil
		r, err := prepare(&s)
		if err != nil {
			t.Fatal(err)
		}
		c := r.sidecars[0]
		x := c.newRequest(&client{class: 1, ends: time.Second}, 1)
		c.lastID++
		x.id, c.requests[1] = c.lastID, x
		do(c, x)
		if !strings.Contains(strings.Join(r.result.Broken, "\n"), rule) {
			t.Errorf("%q is not seen: %v", rule, r.result.Broken)
		}
	}
}

// A node that falls over between a request's last byte and its answer may have
// run it: a policy that takes that for 'never ran' is caught.
func TestFallBetweenLastByteAndAnswer(t *testing.T) {
	s := calm(4, 0.7)
	s.Classes[0].Effect, s.Classes[0].Work, s.Clients.Tries = Effect(policy.NotIdempotent), 200*ms, 3
	s.Network.Delay = 5 * ms
	for i := range 40 {
		s.Troubles = append(s.Troubles, Trouble{Kind: Restart, At: time.Duration(i+1) * time.Second, Node: i % 4})
	}
	if r := must(t, s); r.Failed < 20 {
		t.Errorf("%d requests failed: the falls hit nothing", r.Failed)
	}
	r, err := prepare(&s)
	if err != nil {
		t.Fatal(err)
	}
	r.sidecars[0].b = &careless{decider: r.sidecars[0].b}
	for _, x := range s.Troubles {
		r.after(x.At, func() { r.trouble(x) })
	}
	r.arrivals()
	r.play()
	if !strings.Contains(strings.Join(r.result.Broken, "\n"), "rule 2") {
		t.Errorf("a policy that repeats what may have run is not caught: %v", r.result.Broken)
	}
}

// An answer that is on its way when its node falls does not come: the request may
// have run, and its client hears that nothing is known.
func TestAnswerOfAFallenNode(t *testing.T) {
	s := calm(1, 0.5)
	s.Classes[0].Effect, s.Network.Delay = Effect(policy.NotIdempotent), 50*ms
	r, err := prepare(&s)
	if err != nil {
		t.Fatal(err)
	}
	r.sidecars[0].begin(new(client), 10*ms)
	for r.nodes[0].served == 0 && r.step(time.Minute) {
	}
	r.nodes[0].restart(true)
	for r.open > 0 && r.step(time.Minute) {
	}
	if r.result.Served != 0 || r.result.Failed != 1 {
		t.Errorf("%d served and %d failed of one whose node fell", r.result.Served, r.result.Failed)
	}
}

// careless takes a broken connection for proof that nothing ran.
type careless struct{ decider }

func (c *careless) AttemptEnded(now time.Duration, o policy.AttemptOutcome) {
	if o.Result == policy.ConnectionReset {
		o.Result = policy.NotSent
	}
	c.decider.AttemptEnded(now, o)
}

// The same scenario gives the same result, whatever runs beside it.
func TestSameSeedSameResult(t *testing.T) {
	for seed := range uint64(6) {
		results := make(chan *Result, 4)
		for range 4 {
			go func() {
				r, _ := Run(Small(seed))
				results <- r
			}()
		}
		first := <-results
		for range 3 {
			if r := <-results; !reflect.DeepEqual(r, first) {
				t.Errorf("seed %d: %+v and %+v", seed, r, first)
			}
		}
	}
	a, _ := Run(Small(1))
	b, _ := Run(Small(2))
	if reflect.DeepEqual(a, b) {
		t.Error("two seeds give one result")
	}
}

// What is known of one queue comes out of the node: with processor sharing the
// mean response is E[S]/(1-rho), whatever the distribution of the work (Kleinrock,
// Queueing Systems II, 4.4).
func TestOneNodeIsAQueue(t *testing.T) {
	const work, jobs = 0.010, 2_000_000
	for _, rho := range []float64{0.5, 0.8} {
		for name, draw := range map[string]func(x float64) float64{"exponential": func(x float64) float64 { return x }, "fixed": func(float64) float64 { return 1 }} {
			var e engine
			n := &node{engine: &e, p: NodeParams{Cores: 1, Speed: 1}}
			rng, ended, sum := stream(7, "queue", 0), 0, time.Duration(0)
			var arrive func()
			arrive = func() {
				began := e.now
				n.take(&job{owner: whenEnded(func(bool) {
					ended++
					sum += e.now - began
				})}, work*draw(rng.ExpFloat64()))
				e.after(time.Duration(rng.ExpFloat64()*work/rho*1e9), arrive)
			}
			e.after(0, arrive)
			for ended < jobs && e.step(1<<62) {
			}
			mean, want := sum.Seconds()/float64(ended), work/(1-rho)
			if off := math.Abs(mean/want - 1); off > 0.01 {
				t.Errorf("%s at %v: a mean of %.3f ms, want %.3f: %.1f%% off", name, rho, mean*1e3, want*1e3, off*100)
			}
			if use := n.busy / e.now.Seconds(); math.Abs(use-rho) > 0.01 {
				t.Errorf("%s: busy %.3f of the time, want %.3f", name, use, rho)
			}
		}
	}
}

// The better of two servers against any one: at a load of 0.9 the mean response
// falls, as Mitzenmacher has it. No reference breaks a rule on a calm day.
func TestTwoChoicesAgainstRandom(t *testing.T) {
	mean := make(map[Policy]float64)
	for _, p := range policies {
		s := calm(10, 0.9)
		s.Policy = p
		mean[p] = must(t, s).Latency.Mean()
	}
	if !(mean[TwoChoices] < 0.6*mean[Random] && mean[PeakEWMA] < 0.8*mean[Random] && mean[RoundRobin] < mean[Random]) {
		t.Errorf("mean responses in µs: %v", mean)
	}
}

// Storm is a fleet on which a burst starts what outlasts it: attempts that take
// their whole time are sent again while the nodes go on with them (Bronson et
// al., Metastable Failures in Distributed Systems, HotOS 2021).
func storm(r Retries) Scenario {
	s := calm(10, 0.5)
	s.Policy, s.Retries, s.Sidecars = Random, r, 4
	s.Node.Cores, s.Node.KeepsAbandoned = 2, true
	s.Classes[0] = Class{Share: 1, Work: 50 * ms, Aim: 500 * ms, Deadline: 1500 * ms}
	s.Troubles = []Trouble{{Kind: Burst, At: 15 * time.Second, For: 5 * time.Second, Times: 3}}
	return s
}

// After the burst naive retries keep the fleet down; with a budget it comes back
// by itself, as it does with the decision module.
func TestRetryStorm(t *testing.T) {
	share := func(s Scenario, from, to int) float64 {
		var good Tally
		for _, w := range must(t, s).Windows[from:to] {
			good.First, good.Good = good.First+w.First, good.Good+w.Good
		}
		return good.Share()
	}
	ours := storm(NeverRan)
	ours.Policy = Mothridge
	for _, x := range []struct {
		name       string
		s          Scenario
		least, top float64 // of good requests in the last 15 s, 40 s after the burst
	}{{"naive", storm(Naive), 0, 0.2}, {"budget", storm(Budget), 0.95, 1}, {"ours", ours, 0.95, 1}} {
		before, after := share(x.s, 0, 15), share(x.s, 45, 60)
		if before < 0.95 || after < x.least || after > x.top {
			t.Errorf("%s: %.3f of requests good before the burst, %.3f long after it; want 0.95 or more, and %v to %v", x.name, before, after, x.least, x.top)
		}
	}
}

// A crowded node turns slow, stays so though the load is bearable again, and
// is itself again after a rest.
func TestChoke(t *testing.T) {
	var e engine
	n := &node{engine: &e, p: NodeParams{Cores: 1, Speed: 1, Choke: Choke{Above: 3, After: time.Second, Times: 2, Rest: 2 * time.Second, Longest: time.Hour}}}
	for range 10 {
		n.take(new(job), 0.5)
	}
	state := func(at time.Duration) bool {
		for e.step(at) {
		}
		e.now = at
		return n.choked
	}
	// Ten times 0.5 s of work: crowded from 0 on, slow after 1 s; the rest takes twice 4 s.
	for _, x := range []struct {
		at   time.Duration
		slow bool
	}{{999 * ms, false}, {1001 * ms, true}, {8999 * ms, true}, {10 * time.Second, true}, {11001 * ms, false}} {
		if got := state(x.at); got != x.slow {
			t.Errorf("at %v: slow %v, want %v; it holds %d", x.at, got, x.slow, len(n.held))
		}
	}
}

// Each trouble does what it says: what is lost, and where.
func TestTroubles(t *testing.T) {
	base := calm(4, 0.4)
	base.Duration, base.Clients.Tries, base.Classes[0].Deadline = 20*time.Second, 2, 2*time.Second
	play := func(change func(*Scenario)) *Result {
		s := base
		s.Policy = RoundRobin
		change(&s)
		return must(t, s)
	}
	quiet := play(func(*Scenario) {})
	all := func(k TroubleKind, more Trouble) func(*Scenario) {
		more.Kind, more.At, more.For, more.Of = k, 5*time.Second, 10*time.Second, 1
		return func(s *Scenario) { s.Troubles = []Trouble{more} }
	}
	for _, x := range []struct {
		name string
		r    *Result
		ok   func(*Result) bool
	}{
		{"none", quiet, func(r *Result) bool { return r.Share() == 1 && r.Refused+r.Failed+r.Lost == 0 }},
		{"hang", play(all(Hang, Trouble{})), func(r *Result) bool { return r.Share() < 0.7 && r.Windows[8].Served == 0 && r.Windows[19].Served > 50 }},
		{"mute", play(all(Mute, Trouble{})), func(r *Result) bool { return r.Windows[8].Served == 0 && r.NodeBusy[0] > 0.35 }},
		{"deaf", play(all(Deaf, Trouble{})), func(r *Result) bool { return r.Windows[8].Served == 0 && r.NodeBusy[0] < 0.25 }},
		{"break", play(all(Break, Trouble{Share: 0.5})), func(r *Result) bool { return r.Attempts > quiet.Attempts*6/5 && r.Share() > 0.9 }},
		{"steal", play(all(Steal, Trouble{Share: 0.5})), func(r *Result) bool { return r.Latency.Mean() > 1.5*quiet.Latency.Mean() }},
		{"steal, on and off", play(all(Steal, Trouble{Share: 0.5, Every: 100 * ms})), func(r *Result) bool {
			return r.Latency.Mean() > 1.1*quiet.Latency.Mean() && r.Latency.Mean() < 1.6*quiet.Latency.Mean()
		}},
		{"wrong", play(all(Wrong, Trouble{})), func(r *Result) bool { return r.Refused > 500 && r.Windows[8].Attempts+r.Windows[8].Served == 0 }},
		{"burst", play(all(Burst, Trouble{Times: 2})), func(r *Result) bool { return r.First > quiet.First*14/10 && r.First < quiet.First*16/10 }},
		{"power-cut", play(all(PowerCut, Trouble{})), func(r *Result) bool { return r.Lost > 1000 && r.Windows[8].Served == 0 && r.Windows[19].Served > 50 }},
		{"sidecar-up", play(all(SidecarUp, Trouble{})), func(r *Result) bool { return r.Lost > 0 && r.Lost < 50 }},
	} {
		if !x.ok(x.r) {
			t.Errorf("%s: %+v, good %.3f, mean %.1f ms (calm: %.1f), windows %+v", x.name, x.r.Tally, x.r.Share(), x.r.Latency.Mean()/1e3, quiet.Latency.Mean()/1e3, x.r.Windows[8])
		}
	}
}

// A list that leaves out what is there, with and without the membership module:
// its guard keeps the nodes.
func TestWrongListAndMembership(t *testing.T) {
	s := calm(10, 0.6)
	s.Troubles = []Trouble{{Kind: Wrong, At: 10 * time.Second, For: 20 * time.Second, Of: 0.8}}
	bare := must(t, s)
	s.List.Membership = true
	guarded := must(t, s)
	if bare.Share() > 0.9 || guarded.Share() < 0.99 {
		t.Errorf("good requests: %.3f with the bare list, %.3f with the membership module", bare.Share(), guarded.Share())
	}
	s.Troubles = []Trouble{{Kind: Drain, At: 10 * time.Second, For: 20 * time.Second}}
	if r := must(t, s); r.NodeServed[0] > r.NodeServed[1]*8/10 {
		t.Errorf("a node that drains for a third of the time served %d, another one %d", r.NodeServed[0], r.NodeServed[1])
	}
}

// Quotas in front of the balancers: the club that asks for too much is held to its
// share, and to more where the other one lends.
func TestQuotas(t *testing.T) {
	s := calm(10, 0.5) // 500 a second
	s.Sidecars, s.Tenants, s.Classes[0].Deadline = 2, []Tenant{{Share: 0.5, Quota: 300}, {Share: 0.5, Quota: 300}}, 2*time.Second
	s.Troubles = []Trouble{{Kind: Burst, For: time.Hour, Tenant: 1, Times: 2}} // 250 and 500 a second
	s.Quotas = Quotas{Part: 0.5, Reclaim: time.Second}
	served := func() (a, b float64) {
		r := must(t, s)
		return float64(r.Tenants[0].Served) / 60, float64(r.Tenants[1].Served) / 60
	}
	a, b := served()
	s.Quotas.Lends = true
	c, d := served()
	if a < 240 || b < 290 || b > 360 || c < 240 || d < b+30 || d > 400 {
		t.Errorf("served a second: %.0f and %.0f of 250 and 500 that are asked for, at quotas of 300; %.0f and %.0f with loans", a, b, c, d)
	}
}

// A list that is asked for: drains are heard of by the subscription, and after a
// silence of it by another one.
func TestAskedList(t *testing.T) {
	s := calm(4, 0.4)
	s.Duration, s.List = 40*time.Second, List{Asked: true, Lag: 500 * ms}
	s.Troubles = []Trouble{{Kind: Drain, At: 5 * time.Second, Node: 0}, {Kind: Silent, At: 10 * time.Second, For: 10 * time.Second}, {Kind: Drain, At: 12 * time.Second, Node: 1}}
	s.Tenants = nil
	r := must(t, s)
	if a, b, c := r.NodeServed[0], r.NodeServed[1], r.NodeServed[2]; a*4 > c || b*3 > c*2 || a == 0 || r.Share() < 0.95 {
		t.Errorf("good %.3f; nodes that drain from 5.5 s and 20 to 25 s on served %d and %d, another one %d", r.Share(), a, b, c)
	}
}

// Connections: one serves many requests, a node takes no more than its bound, an
// idle one is closed.
func TestConnections(t *testing.T) {
	s := calm(2, 0.5)
	s.Network = Network{Delay: ms / 4, Handshake: ms, Trips: 2}
	kept := must(t, s)
	s.Network.Idle = 5 * ms
	closed := must(t, s)
	s.Network.Idle, s.Network.Most = 0, 1
	bound := must(t, s)
	if kept.Handshakes > kept.First/20 || closed.Handshakes < kept.Handshakes*5 || bound.Handshakes > kept.Handshakes || bound.Attempts > bound.Served+uint64(s.Nodes) {
		t.Errorf("handshakes for %d requests: %d kept, %d closed when idle, %d where a node takes one (%d attempts, %d served)",
			kept.First, kept.Handshakes, closed.Handshakes, bound.Handshakes, bound.Attempts, bound.Served)
	}
}

// Arrivals that swing, that come unevenly to sidecars, and that were recorded.
func TestArrivals(t *testing.T) {
	s := calm(4, 0.4)
	s.Sidecars, s.Skew, s.Daily = 4, 1, Wave{Period: time.Minute, Swing: 0.5}
	plan, err := Plan(s)
	if err != nil {
		t.Fatal(err)
	}
	r := must(t, s)
	if uint64(len(plan)) != r.First {
		t.Errorf("%d are planned, %d came", len(plan), r.First)
	}
	by := make([]int, 4)
	for _, p := range plan {
		by[p.Sidecar]++
	}
	if a, b := float64(by[0])/float64(by[3]), float64(r.Windows[15].First)/float64(r.Windows[45].First); math.Abs(a-4) > 0.6 || math.Abs(b-3) > 0.8 {
		t.Errorf("the first sidecar has %.2f of the fourth's requests, want 4; the peak %.2f of the trough's, want 3", a, b)
	}
	s.Load = 0
	for _, p := range plan {
		s.Replay = append(s.Replay, p.Arrival)
	}
	if again := must(t, s); again.First != r.First || math.Abs(again.NodeBusy[0]-r.NodeBusy[0]) > 0.02 {
		t.Errorf("played again: %d requests of %d, busy %.3f and %.3f", again.First, r.First, again.NodeBusy[0], r.NodeBusy[0])
	}
}

// Events at one instant come in the order in which they were put there, and one
// that was called off or moved does not come at its old time. The heap is held
// against a plain list.
func TestOrderOfEvents(t *testing.T) {
	for seed := range uint64(50) {
		var e engine
		rng := stream(seed, "order", 0)
		var got, want []int
		var timers []timer
		type planned struct {
			at    time.Duration
			order int
			alive bool
		}
		plan := make([]planned, 300)
		order := 0
		for i := range plan {
			plan[i] = planned{time.Duration(rng.IntN(20)), order, true}
			order++
			timers = append(timers, e.after(plan[i].at, func() { got = append(got, i) }))
		}
		for range 200 {
			i := rng.IntN(len(plan))
			if rng.IntN(2) == 0 {
				e.cancel(timers[i])
				plan[i].alive = false
			} else if e.move(timers[i], time.Duration(rng.IntN(20))) != plan[i].alive {
				t.Fatal("a move of what was called off, or none of what was not")
			} else if plan[i].alive {
				plan[i].at, plan[i].order = e.queue[timers[i].event.index].at, order
				order++
			}
		}
		for len(want) < len(plan) {
			best := -1
			for i, p := range plan {
				if p.alive && (best < 0 || p.at < plan[best].at || p.at == plan[best].at && p.order < plan[best].order) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			plan[best].alive = false
			want = append(want, best)
		}
		for e.step(time.Minute) {
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: %v, want %v", seed, got, want)
		}
	}
}

// A run that would not end is cut, and says where.
func TestEndlessRunIsCut(t *testing.T) {
	s := Small(3)
	s.Duration, s.MostEvents, s.Troubles = 1000*time.Hour, 5000, nil
	r, err := Run(s)
	if err != nil || r.Events != 5000 || !strings.Contains(r.Cut, "after 5000 events") {
		t.Errorf("%+v, %v", r, err)
	}
}

// Memory is that of what is under way, not of what has been: with -long after
// 10^8 events.
func TestMemoryDoesNotGrow(t *testing.T) {
	events := uint64(2_000_000)
	if *long {
		events = 100_000_000
	}
	heap := func(events uint64) uint64 {
		s := Small(5)
		s.Duration, s.MostEvents, s.Troubles, s.Load, s.Replay = 10000*time.Hour, events, nil, 0.6, nil
		r, err := prepare(&s)
		if err != nil {
			t.Fatal(err)
		}
		r.arrivals()
		r.play()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		runtime.KeepAlive(r)
		return m.HeapAlloc
	}
	early, late := heap(events/10), heap(events)
	if late > early+early/4+1<<20 {
		t.Errorf("%d KiB after %d events, %d KiB after %d", early>>10, events/10, late>>10, events)
	}
	t.Logf("%d KiB after %d events, %d KiB after %d", early>>10, events/10, late>>10, events)
}

// What happened to a request can be told, also by the number of a later try.
func TestWatch(t *testing.T) {
	s := calm(2, 0.8)
	s.Duration, s.Clients = 10*time.Second, Clients{Tries: 3, Pause: 20 * ms}
	s.Classes[0].Deadline = 2 * time.Second
	s.Policy, s.Troubles = RoundRobin, []Trouble{{Kind: Hang, For: 3 * time.Second, Of: 1}}
	r := must(t, s)
	if len(r.Notable) == 0 {
		t.Fatal("nothing is notable")
	}
	s.Watch = r.Notable[0].ID
	told := must(t, s).Told
	text := fmt.Sprint(told)
	if len(told) < 4 || !strings.Contains(told[0].What, "try 1") || !strings.Contains(text, "which hangs") || !strings.Contains(text, fmt.Sprintf("request %d", s.Watch)) {
		t.Errorf("of request %d is told %v", s.Watch, told)
	}
}

func TestScenariosThatCannotBe(t *testing.T) {
	for i, change := range []func(*Scenario){
		func(s *Scenario) { s.Nodes = 0 }, func(s *Scenario) { s.Rate = 1 }, func(s *Scenario) { s.Load = 0 }, func(s *Scenario) { s.Node.Cores = 0 },
		func(s *Scenario) { s.Classes = nil }, func(s *Scenario) { s.Clients.Tries = 0 }, func(s *Scenario) { s.Classes[0].Deadline = 0 },
		func(s *Scenario) { s.Troubles = []Trouble{{Kind: Hang, Node: 99}} }, func(s *Scenario) { s.Troubles = []Trouble{{Kind: "flood"}} },
		func(s *Scenario) { s.Troubles = []Trouble{{Kind: Steal}} }, func(s *Scenario) { s.Troubles = []Trouble{{Kind: Silent}} },
		func(s *Scenario) { s.Troubles = []Trouble{{Kind: Burst, For: 1, Tenant: 5}} }, func(s *Scenario) { s.Policy = "best" },
		func(s *Scenario) { s.Retries = "often" }, func(s *Scenario) { s.Tenants = []Tenant{{Share: -1}} }, func(s *Scenario) { s.Speeds = []float64{0} },
		func(s *Scenario) { s.Clients.Patience = []float64{0.9, 0.1} }, func(s *Scenario) { s.Node.Choke = Choke{Times: 2} }, func(s *Scenario) { s.Daily.Swing = 2 },
		func(s *Scenario) { s.Replay = []Arrival{{At: 2}, {At: 1}} }, func(s *Scenario) { s.Classes[0].Spread = "wide" }, func(s *Scenario) { s.Node.ColdFrom = 0 },
	} {
		s := Small(1)
		change(&s)
		if _, err := Run(s); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("change %d: %v", i, err)
		}
	}
}

// BenchmarkRun plays fleets of several sizes; events/s is of one core.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct {
		sidecars, nodes int
		p               Policy
	}{{4, 10, Mothridge}, {4, 10, TwoChoices}, {30, 50, Mothridge}, {30, 50, TwoChoices}, {200, 2000, Mothridge}, {200, 2000, TwoChoices}} {
		b.Run(fmt.Sprintf("%s/%dx%d", size.p, size.sidecars, size.nodes), func(b *testing.B) {
			s := calm(size.nodes, 0.5)
			s.Sidecars, s.Policy, s.Node, s.Network.Delay = size.sidecars, size.p, NodeParams{Cores: 2, Speed: 1, Queue: 64}, ms/2
			s.Duration = time.Duration(200/size.nodes+1) * 2 * time.Second
			s.Classes[0].Work, s.Classes[0].Deadline = 20*ms, 2*time.Second
			events := uint64(0)
			for range b.N {
				r, err := Run(s)
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapSys)/(1<<20), "heap-MiB")
		})
	}
}
