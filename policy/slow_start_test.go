package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestBalancerKeepsToSlowStartBudget(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.FleetSize = balancers
		list := readyEndpoints(1, 2)
		b, h := newTestBalancer(t, cfg, list)
		list[0].StartedAt = 10 * time.Second // restarted under the same id
		b.EndpointsUpdated(10*time.Second, DeltaUpdate, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // by whether within the first second
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.attemptsAt(1)
			receive(b, now, id, idempotentClass)
			endAttempt(b, now+ms, id, 0, Served)
			id++
			if h.attemptsAt(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 a second at two endpoints; 0.3 of it at the start, and 3 times that as the budget.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, budget of each %.1f", balancers, n, budget)
		}
		if h.attemptsAt(1) < 500 {
			t.Errorf("%d balancers: only %d sends in all, with slow start ended", balancers, h.attemptsAt(1))
		}
	}
}

// All balancers learn of a started endpoint at the same moment. If each could send to it at once,
// a few hundred first sends would overload it.
func TestFirstSendsAfterStartAreSpread(t *testing.T) {
	const balancers = 200
	cfg := testConfig()
	cfg.FleetSize = balancers
	sends := 0
	for seed := range uint64(balancers) {
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		list := readyEndpoints(1, 2)
		b.Start(0)
		b.EndpointsUpdated(0, FullUpdate, list)
		list[0].StartedAt = 10 * time.Second
		b.EndpointsUpdated(10*time.Second, DeltaUpdate, list[:1])
		for id := range RequestID(20) {
			now := 10*time.Second + time.Duration(id)*100*ms
			receive(b, now, id, idempotentClass)
			endAttempt(b, now+ms, id, 0, Served)
		}
		sends += h.attemptsAt(1)
	}
	// Two seconds of 50 requests a second, from 0.3 to 0.475 of the capacity, times 3.
	if budget := 2 * 50 * 0.35 * 3; float64(sends) > budget || sends == 0 {
		t.Errorf("%d sends to the started endpoint in two seconds, the budget is %.0f", sends, budget)
	}
}

// A starting endpoint bears a budget of N requests from all balancers together, and by chance
// twice the root of N and two more. Thirty balancers, each with more traffic than it could
// place, keep to that also where the part of each is far below one request, and where no
// quota says what endpoints can do.
func TestFleetKeepsToSlowStartBudget(t *testing.T) {
	for name, quota := range map[string]float64{"a part of 0.03 a second": 12, "a part of 0.9 a second": 360, "no quotas": 0} {
		for seed := range uint64(8) {
			balancersRestart := seed%2 == 1
			fleet := newTestFleet(t, quota, seed)
			for fleet.now < time.Hour+2*time.Second { // latencies are known by then
				fleet.serve()
			}
			startedAt := fleet.now
			fleet.startEndpoint(balancersRestart)
			for fleet.now < startedAt+fleet.cfg.SlowStartDuration {
				now := fleet.now
				fleet.serve()
				budget := fleet.slowStartBudget(now - startedAt)
				if most := budget + 2*math.Sqrt(budget) + 2; float64(len(fleet.recentSends)) > most {
					t.Errorf("%s, seed %d: %d requests within a second, %v after its start; it bears %.1f",
						name, seed, len(fleet.recentSends), now-startedAt, most)
				}
			}
		}
	}
}

const (
	fleetBalancers      = 30
	fleetEndpoints      = 6
	fleetLatency        = 50 * ms
	startingEndpointID  = 1
	requestsPerBalancer = 6 // a step of 20 ms
)

// testFleet is a fleet of balancers, each with more requests than it can place.
type testFleet struct {
	t           *testing.T
	cfg         Config
	seeds       *rand.Rand
	now         time.Duration
	balancers   []*Balancer
	hosts       []*fakeHost
	recentSends []time.Duration // to the starting endpoint, within the last second
}

func newTestFleet(t *testing.T, quota float64, seed uint64) *testFleet {
	t.Helper()
	cfg := testConfig()
	cfg.FleetSize, cfg.Slots = fleetBalancers, 40
	cfg.Tenants = []Tenant{{Share: 1, Quota: quota}}
	fleet := &testFleet{t: t, cfg: cfg, now: time.Hour}
	fleet.seeds = rand.New(rand.NewPCG(seed, 1)) // similar ones would draw similar first picks
	fleet.balancers = make([]*Balancer, fleetBalancers)
	fleet.hosts = make([]*fakeHost, fleetBalancers)
	for i := range fleet.balancers {
		fleet.startBalancer(i, readyEndpoints(2, 3, 4, 5, 6))
	}
	return fleet
}

func (f *testFleet) startBalancer(i int, list []Endpoint) {
	f.t.Helper()
	f.hosts[i] = newFakeHost()
	b, err := New(f.cfg, f.seeds.Uint64(), f.hosts[i])
	if err != nil {
		f.t.Fatal(err)
	}
	b.Start(f.now)
	b.EndpointsUpdated(f.now, FullUpdate, list)
	f.balancers[i] = b
}

// startEndpoint informs all balancers of a start at the same moment. Those that restart
// themselves get the full list.
func (f *testFleet) startEndpoint(balancersRestart bool) {
	f.t.Helper()
	starting := Endpoint{ID: startingEndpointID, Health: Ready, Weight: 1, StartedAt: f.now}
	for i, b := range f.balancers {
		if balancersRestart {
			f.startBalancer(i, append([]Endpoint{starting}, readyEndpoints(2, 3, 4, 5, 6)...))
			continue
		}
		b.EndpointsUpdated(f.now, DeltaUpdate, []Endpoint{starting})
	}
}

// serve passes on requests, ends attempts after their latency, and moves the time on.
func (f *testFleet) serve() {
	for i, b := range f.balancers {
		h := f.hosts[i]
		for n := range requestsPerBalancer {
			receive(b, f.now, RequestID(f.now/ms)*10+RequestID(n)+1, idempotentClass)
		}
		for len(h.startedAt) > 0 && h.startedAt[0] <= f.now-fleetLatency {
			endAttempt(b, f.now, h.sends[0].id, 0, Served)
			h.sends, h.startedAt = h.sends[1:], h.startedAt[1:]
		}
		for _, attempt := range h.sends[len(h.startedAt):] {
			h.startedAt = append(h.startedAt, f.now)
			if attempt.to == startingEndpointID {
				f.recentSends = append(f.recentSends, f.now)
			}
		}
	}
	for len(f.recentSends) > 0 && f.recentSends[0] <= f.now-time.Second {
		f.recentSends = f.recentSends[1:]
	}
	f.now += 20 * ms
}

// slowStartBudget is what an endpoint of this age bears, in requests a second.
func (f *testFleet) slowStartBudget(age time.Duration) float64 {
	capacity := f.cfg.Tenants[0].Quota / fleetEndpoints
	if capacity == 0 {
		capacity = float64(time.Second) / float64(fleetLatency) // by latencies: it does one at a time
	}
	factor := f.cfg.SlowStartInitialShare + (1-f.cfg.SlowStartInitialShare)*float64(age)/float64(f.cfg.SlowStartDuration)
	return f.cfg.SlowStartOverloadFactor * factor * capacity
}
