package fleet

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

const ms = time.Millisecond

// small draws a small scenario from a seed: every kind of trouble, any size.
func small(seed uint64) Scenario {
	rng := stream(seed, "scenario", 0)
	s := Scenario{
		Seed: seed, Duration: time.Duration(4+rng.IntN(8)) * time.Second, Nodes: 1 + rng.IntN(8), Sidecars: 1 + rng.IntN(4),
		Node:    NodeParams{Cores: 1 + rng.IntN(4), Speed: 1, Queue: 64, ColdFrom: 0.3, ColdTime: 8 * time.Second, ColdMultiple: 2.5},
		Network: time.Duration(rng.IntN(5)) * ms / 4, ListLag: time.Duration(rng.IntN(3000)) * ms, Attempts: 1 + rng.IntN(3), Tries: 1 + rng.IntN(3),
		MaxPause: time.Duration(rng.IntN(3)) * 500 * ms, Speeds: []float64{1, 0.5, 1.5},
		Classes: []Class{
			{Share: 3, Work: 20 * ms, Aim: 250 * ms, Deadline: 2 * time.Second, Effect: policy.Keyed, Window: 600 * ms, Scope: []policy.Scope{policy.ScopeAll, policy.ScopeCell}[rng.IntN(2)]},
			{Share: 1, Work: 40 * ms, Aim: 500 * ms, Deadline: 3 * time.Second, Effect: policy.Unsafe},
			{Share: 1, Work: 10 * ms, Aim: 250 * ms, Deadline: 2 * time.Second, Effect: policy.Safe, Fixed: true},
		},
		Tenants: []policy.Tenant{{Share: 0.79}, {Share: 0.21}},
	}
	s.Rate = float64(s.Nodes*s.Node.Cores) / 0.022 * (0.2 + rng.Float64()) // of what the nodes can do
	for range rng.IntN(4) {
		s.Troubles = append(s.Troubles, Trouble{
			Kind: []TroubleKind{Hang, Drain, Restart}[rng.IntN(3)], At: time.Duration(rng.Int64N(int64(s.Duration))), Node: rng.IntN(s.Nodes),
			For: time.Duration(500+rng.IntN(6000)) * ms,
		})
	}
	return s
}

// Two hundred small fleets with trouble: no rule breaks in any.
func TestRulesHold(t *testing.T) {
	asked := uint64(0)
	for seed := range uint64(200) {
		r, err := Run(small(seed))
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 || r.Cut != "" {
			t.Errorf("small(%d): %s %s", seed, r.Cut, strings.Join(r.Broken, "; "))
		}
		asked += r.Asked
	}
	if asked < 100_000 {
		t.Errorf("%d requests in all: that shows little", asked)
	}
}

// The checks themselves see what they are there for.
func TestBrokenRulesAreSeen(t *testing.T) {
	for rule, do := range map[string]func(c *sidecar, x *request){
		"rule 1: request 1 of sidecar 0 has a second answer": func(c *sidecar, x *request) { c.answer(x); c.answer(x) },
		"rule 1: sidecar 0 refuses request 1":                func(c *sidecar, x *request) { c.Fail(x.id); c.Refuse(x.id, 0) },
		"rule 1: request 2 of sidecar 0 has no answer before its deadline": func(c *sidecar, _ *request) {
			c.nodes[0].hangs, c.nodes[1].hangs = true, true
			y := &request{class: 1, effects: new(int), until: time.Second}
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
			c.drained[0], c.now = time.Second, 4*time.Second
			c.Send(x.id, 1, 0)
		},
		"rule 4: node 0 fell over": func(c *sidecar, x *request) {
			c.nodes[0].started, c.now = time.Second, 3*time.Second
			for range 1000 {
				c.arrive(c.nodes[0], 0.02)
			}
		},
	} {
		s := small(1)
		s.Nodes, s.Classes[0].Scope = 2, policy.ScopeCell
		r := &run{s: &s, offered: make([]offer, 2), network: stream(1, "", 0), lists: stream(1, "", 1)}
		for i := range 2 {
			r.nodes = append(r.nodes, &node{engine: &r.engine, p: s.Node, number: i})
		}
		c, err := newSidecar(r, 0)
		if err != nil {
			t.Fatal(err)
		}
		x := &request{class: 1, effects: new(int), until: time.Second}
		c.lastID++
		x.id, c.requests[1] = c.lastID, x
		do(c, x)
		if !strings.Contains(strings.Join(r.result.Broken, "\n"), rule) {
			t.Errorf("%q is not seen: %v", rule, r.result.Broken)
		}
	}
}

// The same scenario gives the same result, whatever runs beside it.
func TestSameSeedSameResult(t *testing.T) {
	for seed := range uint64(4) {
		results := make(chan *Result, 4)
		for range 4 {
			go func() {
				r, _ := Run(small(seed))
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
	a, _ := Run(small(1))
	b, _ := Run(small(2))
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
				n.take(work*draw(rng.ExpFloat64()), func(bool) {
					ended++
					sum += e.now - began
				})
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
	for _, p := range []Policy{Random, RoundRobin, TwoChoices} {
		s := small(1)
		s.Policy, s.Nodes, s.Sidecars, s.Speeds, s.Troubles, s.Duration, s.ListLag = p, 10, 1, nil, nil, time.Minute, 0
		s.Node = NodeParams{Cores: 1, Speed: 1}
		s.Classes = []Class{{Share: 1, Work: 10 * ms, Aim: time.Second, Deadline: 30 * time.Second, Effect: policy.Safe}}
		s.Rate = 0.9 * 10 / 0.010
		r, err := Run(s)
		if err != nil || len(r.Broken) > 0 {
			t.Fatalf("%s: %v %v", p, err, r)
		}
		mean[p] = r.Latency.Mean()
	}
	if !(mean[TwoChoices] < 0.6*mean[Random] && mean[RoundRobin] < mean[Random]) {
		t.Errorf("mean responses in µs: %v", mean)
	}
}

// Events at one instant come in the order in which they were put there, and one
// that was called off does not come.
func TestOrderOfEvents(t *testing.T) {
	var e engine
	var got []int
	var off *event
	for i := range 100 {
		x := e.after(time.Second, func() { got = append(got, i) })
		if i == 50 {
			off = x
		}
	}
	e.after(0, func() { e.cancel(off); e.cancel(off) })
	for e.step(time.Minute) {
	}
	if len(got) != 99 || got[49] != 49 || got[50] != 51 || got[98] != 99 || e.now != time.Second {
		t.Errorf("%v at %v", got, e.now)
	}
}

// A run that would not end is cut, and says where.
func TestEndlessRunIsCut(t *testing.T) {
	s := small(3)
	s.Duration, s.MostEvents = 1000*time.Hour, 5000
	r, err := Run(s)
	if err != nil || r.Events != 5000 || !strings.Contains(r.Cut, "after 5000 events") {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestScenariosThatCannotBe(t *testing.T) {
	for i, change := range []func(*Scenario){
		func(s *Scenario) { s.Nodes = 0 }, func(s *Scenario) { s.Rate = 0 }, func(s *Scenario) { s.Node.Cores = 0 }, func(s *Scenario) { s.Classes = nil },
		func(s *Scenario) { s.Tries = 0 }, func(s *Scenario) { s.Classes[0].Deadline = 0 }, func(s *Scenario) { s.Troubles = []Trouble{{Kind: Hang, Node: 99}} },
		func(s *Scenario) { s.Troubles = []Trouble{{Kind: "flood"}} }, func(s *Scenario) { s.Policy = "best" }, func(s *Scenario) { s.Tenants = []policy.Tenant{{Share: -1}} },
	} {
		s := small(1)
		change(&s)
		if _, err := Run(s); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("change %d: %v", i, err)
		}
	}
}

// BenchmarkRun plays fleets of several sizes; events/s is of one core.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ sidecars, nodes int }{{4, 10}, {30, 50}, {200, 2000}} {
		b.Run(fmt.Sprintf("%dx%d", size.sidecars, size.nodes), func(b *testing.B) {
			s := small(1)
			s.Sidecars, s.Nodes, s.Troubles, s.Duration = size.sidecars, size.nodes, nil, 2*time.Second
			s.Rate = 0.5 * float64(s.Nodes*s.Node.Cores) / 0.022
			events := uint64(0)
			for range b.N {
				r, err := Run(s)
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
