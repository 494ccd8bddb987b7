package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A balancer must not send more than its part of the slow start budget to an endpoint that has restarted.
func TestBalancerKeepsToSlowStartBudget(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.FleetSize = balancers
		list := readyEndpoints(1, 2)
		b, h := newTestBalancer(t, cfg, list)
		list[0].StartedAt = 10 * time.Second // endpoint 1 restarted with the same ID
		b.EndpointsUpdated(10*time.Second, DeltaUpdate, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // number of sends, by whether they are within the first second
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.attemptsAt(1)
			receive(b, now, id, idempotentClass)
			endAttempt(b, now+ms, id, 0, Served)
			id++
			if h.attemptsAt(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// The quotas give a capacity of 100 requests per second for two endpoints. An endpoint has 0.3 of its
		// capacity at the start, and the budget is 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: got %v sends in the first second, want above 0 and at most %.1f",
				balancers, n, budget)
		}
		if h.attemptsAt(1) < 500 {
			t.Errorf("%d balancers: got %d sends until after slow start, want at least 500",
				balancers, h.attemptsAt(1))
		}
	}
}

// All balancers learn of a started endpoint at the same time. If each could send its first attempt at once,
// a few hundred simultaneous attempts would overload the endpoint.
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
	// Two seconds at 50 requests per second, of which the endpoint can handle 0.3 to 0.475, times 3.
	if budget := 2 * 50 * 0.35 * 3; float64(sends) > budget || sends == 0 {
		t.Errorf("got %d sends to the started endpoint in two seconds, want above 0 and at most %.0f",
			sends, budget)
	}
}

// An endpoint in slow start can handle a budget of N requests from all balancers together. Random
// variation may add 2*sqrt(N) + 2 requests. Thirty balancers, each with more traffic than it can send,
// must keep to this limit also if the part of each balancer is far below one request per second, and
// if no quota shows the capacity of the endpoints.
func TestFleetKeepsToSlowStartBudget(t *testing.T) {
	for name, quota := range map[string]float64{
		"0.03 attempts per second per balancer": 12, "0.9 attempts per second per balancer": 360, "no quotas": 0,
	} {
		for seed := range uint64(8) {
			balancersRestart := seed%2 == 1
			fleet := newTestFleet(t, quota, seed)
			for fleet.now < time.Hour+2*time.Second { // the balancers learn the latencies during this time
				fleet.serve()
			}
			startedAt := fleet.now
			fleet.startEndpoint(balancersRestart)
			for fleet.now < startedAt+fleet.cfg.SlowStartDuration {
				now := fleet.now
				fleet.serve()
				budget := fleet.slowStartBudget(now - startedAt)
				if limit := budget + 2*math.Sqrt(budget) + 2; float64(len(fleet.recentSends)) > limit {
					t.Errorf("%s, seed %d: got %d requests within a second, %v after the start; want at most %.1f",
						name, seed, len(fleet.recentSends), now-startedAt, limit)
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
	requestsPerBalancer = 6 // requests per step of 20 ms
)

// testFleet is a fleet of balancers, each with more requests than it can send.
type testFleet struct {
	t           *testing.T
	cfg         Config
	seeds       *rand.Rand
	now         time.Duration
	balancers   []*Balancer
	hosts       []*fakeHost
	recentSends []time.Duration // times of the sends to the starting endpoint within the last second
}

// newTestFleet returns a fleet whose endpoint list does not contain the starting endpoint yet.
func newTestFleet(t *testing.T, quota float64, seed uint64) *testFleet {
	t.Helper()
	cfg := testConfig()
	cfg.FleetSize, cfg.Slots = fleetBalancers, 40
	cfg.Tenants = []Tenant{{Share: 1, Quota: quota}}
	fleet := &testFleet{t: t, cfg: cfg, now: time.Hour}
	fleet.seeds = rand.New(rand.NewPCG(seed, 1)) // similar seeds would give similar first random numbers
	fleet.balancers = make([]*Balancer, fleetBalancers)
	fleet.hosts = make([]*fakeHost, fleetBalancers)
	for i := range fleet.balancers {
		fleet.startBalancer(i, readyEndpoints(2, 3, 4, 5, 6))
	}
	return fleet
}

// startBalancer replaces a balancer by a new one that receives a full endpoint list.
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

// startEndpoint reports the start of the endpoint to all balancers at the same time. If
// balancersRestart is set, the balancers restart too and receive a full endpoint list.
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

// serve delivers requests to all balancers, ends attempts after their latency, and advances the time
// by 20 ms.
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

// slowStartBudget returns the load that an endpoint of this age can handle, in requests per second.
func (f *testFleet) slowStartBudget(age time.Duration) float64 {
	capacity := f.cfg.Tenants[0].Quota / fleetEndpoints
	if capacity == 0 {
		capacity = float64(time.Second) / float64(fleetLatency) // one request at a time
	}
	factor := f.cfg.SlowStartInitialShare + (1-f.cfg.SlowStartInitialShare)*float64(age)/float64(f.cfg.SlowStartDuration)
	return f.cfg.SlowStartOverloadFactor * factor * capacity
}
