package fleet

import (
	"time"

	"mothridge/policy"
)

// Small draws a small scenario from a seed, with troubles of every kind: what
// the seed farm plays (see 'fleetsim farm').
func Small(seed uint64) Scenario {
	const ms = time.Millisecond
	rng := stream(seed, "scenario", 0)
	upTo := func(n int, unit time.Duration) time.Duration { return time.Duration(rng.IntN(n+1)) * unit }
	one := func(p float64) bool { return rng.Float64() < p }
	s := Scenario{
		Seed: seed, Duration: 4*time.Second + upTo(8, time.Second), Nodes: 1 + rng.IntN(8), Sidecars: 1 + rng.IntN(4),
		Node:     NodeParams{Cores: 1 + rng.IntN(4), Speed: 1, Queue: 64, ColdFrom: 0.3, ColdTime: 8 * time.Second, ColdMultiple: 2.5, KeepsAbandoned: one(0.2)},
		Speeds:   []float64{1, 0.5, 1.5},
		Network:  Network{Delay: upTo(4, ms/4)},
		List:     List{Lag: upTo(3000, ms), Cell: rng.IntN(4)},
		Attempts: 1 + rng.IntN(3), Probes: one(0.3), Skew: rng.Float64(),
		Clients: Clients{Tries: 1 + rng.IntN(3), MaxPause: upTo(3, 500*ms), Heeds: rng.Float64(), Pause: upTo(4, 50*ms), Insists: one(0.3)},
		Classes: []Class{
			{Share: 3, Work: 20 * ms, Aim: 250 * ms, Deadline: 2 * time.Second, Effect: Effect(policy.IdempotentByKey), Window: 600 * ms, Scope: []Scope{Scope(policy.ScopeAll), Scope(policy.ScopeCell)}[rng.IntN(2)]},
			{Share: 1, Work: 40 * ms, Aim: 500 * ms, Deadline: 3 * time.Second, Effect: Effect(policy.NotIdempotent), Spread: LogNormal, CV: 0.8},
			{Share: 1, Work: 10 * ms, Aim: 250 * ms, Deadline: 2 * time.Second, Effect: Effect(policy.Idempotent), Spread: Fixed},
		},
		Tenants: []Tenant{{Share: 0.79}, {Share: 0.21}},
		Load:    0.2 + rng.Float64(),
	}
	if one(0.5) {
		s.Node.Choke = Choke{Above: 2, After: time.Second, Times: 2.5, Rest: 3 * time.Second, Longest: 26 * time.Second}
	}
	if one(0.5) {
		s.Network.Handshake, s.Network.Trips, s.Network.Idle, s.Network.Most = 4*ms, 2, 5*time.Second, 20+rng.IntN(400)
	}
	if one(0.3) {
		q := s.Load * s.Capacity() / s.work()
		for i := range s.Tenants {
			s.Tenants[i].Quota = s.Tenants[i].Share * q * (0.5 + rng.Float64())
		}
		s.Quotas = Quotas{Part: min(1, 2/float64(s.Sidecars)), Reclaim: time.Second, Repay: 0.1, DebtAge: time.Minute, Lends: one(0.5)}
	}
	if one(0.3) {
		s.List.Membership = true
	} else {
		s.List.Asked = one(0.3)
	}
	if one(0.5) {
		s.Clients.Patience = []float64{0.5, 0.8}
	}
	if one(0.3) {
		s.Daily = Wave{Period: 5 * time.Second, Swing: 0.3}
	}
	for range rng.IntN(5) {
		t := Trouble{Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(s.Duration))), Node: rng.IntN(s.Nodes), For: 500*ms + upTo(6000, ms)}
		switch t.Kind {
		case Steal:
			t.Share, t.Every = 0.1+0.9*rng.Float64(), upTo(4, 300*ms)
		case Break:
			t.Share = 0.1 + 0.9*rng.Float64()
		case Burst:
			t.Times, t.Tenant = 1+3*rng.Float64(), rng.IntN(2)
		}
		if one(0.3) {
			t.Of = rng.Float64()
		}
		s.Troubles = append(s.Troubles, t)
	}
	return s
}
