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
	const balancers, endpoints, takes = 30, 6, 50 * ms
	warm := readyEndpoints(2, 3, 4, 5, 6)
	for name, quota := range map[string]float64{"a part of 0.03 a second": 12, "a part of 0.9 a second": 360, "no quotas": 0} {
		for seed := range uint64(8) {
			restarted := seed%2 == 1
			cfg := testConfig()
			cfg.FleetSize, cfg.Slots = balancers, 40
			cfg.Tenants = []Tenant{{Share: 1, Quota: quota}}
			capacity := quota / endpoints // requests a second of one endpoint, warm
			if quota == 0 {
				capacity = float64(time.Second) / float64(takes) // by latencies: it does one at a time
			}
			seeds := rand.New(rand.NewPCG(seed, 1)) // similar ones would draw similar first picks
			now := time.Hour
			fleet, hosts := make([]*Balancer, balancers), make([]*fakeHost, balancers)
			begin := func(i int, list []Endpoint) {
				h := newFakeHost()
				b, err := New(cfg, seeds.Uint64(), h)
				if err != nil {
					t.Fatal(err)
				}
				b.Start(now)
				b.EndpointsUpdated(now, FullUpdate, list)
				fleet[i], hosts[i] = b, h
			}
			for i := range fleet {
				begin(i, warm)
			}
			var sends []time.Duration
			serve := func(count bool) {
				for i, b := range fleet {
					h := hosts[i]
					for n := range 6 {
						receive(b, now, RequestID(now/ms)*10+RequestID(n)+1, idempotentClass)
					}
					for len(h.startedAt) > 0 && h.startedAt[0] <= now-takes {
						endAttempt(b, now, h.sends[0].id, 0, Served)
						h.sends, h.startedAt = h.sends[1:], h.startedAt[1:]
					}
					for _, s := range h.sends[len(h.startedAt):] {
						h.startedAt = append(h.startedAt, now)
						if count && s.to == 1 {
							sends = append(sends, now)
						}
					}
				}
			}
			for ; now < time.Hour+2*time.Second; now += 20 * ms { // latencies are known by then
				serve(false)
			}
			began := now
			cold := Endpoint{ID: 1, Health: Ready, Weight: 1, StartedAt: began}
			for i := range fleet { // all at once, by a full update to those that restart too
				if !restarted {
					fleet[i].EndpointsUpdated(now, DeltaUpdate, []Endpoint{cold})
					continue
				}
				begin(i, append([]Endpoint{cold}, warm...))
			}
			for ; now < began+cfg.SlowStartDuration; now += 20 * ms {
				serve(true)
				for len(sends) > 0 && sends[0] <= now-time.Second {
					sends = sends[1:]
				}
				factor := cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*float64(now-began)/float64(cfg.SlowStartDuration)
				budget := cfg.SlowStartOverloadFactor * factor * capacity
				if most := budget + 2*math.Sqrt(budget) + 2; float64(len(sends)) > most {
					t.Errorf("%s, seed %d: %d requests within a second, %v after its start; it bears %.1f", name, seed, len(sends), now-began, most)
				}
			}
		}
	}
}
