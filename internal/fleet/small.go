package fleet

import (
	"time"

	"mothridge/policy"
)

// Small draws a small scenario from a seed, with troubles of every kind: what
// the seed farm plays (see 'fleetsim farm').
func RandomScenario(seed uint64) Scenario {
	const ms = time.Millisecond
	rng := randomStream(seed, "scenario", 0)
	upTo := func(n int, unit time.Duration) time.Duration { return time.Duration(rng.IntN(n+1)) * unit }
	one := func(p float64) bool { return rng.Float64() < p }
	s := Scenario{
		Seed: seed, Duration: 4*time.Second + upTo(8, time.Second), Nodes: 1 + rng.IntN(8), Sidecars: 1 + rng.IntN(4),
		Node:         NodeParams{Cores: 1 + rng.IntN(4), Speed: 1, MaxRequests: 64, InitialSpeedShare: 0.3, WarmUpTime: 8 * time.Second, WarmUpOverloadFactor: 2.5, KeepsAbandoned: one(0.2)},
		SpeedFactors: []float64{1, 0.5, 1.5},
		Network:      Network{Delay: upTo(4, ms/4)},
		List:         EndpointList{MaxDelay: upTo(3000, ms), CellSize: rng.IntN(4)},
		MaxAttempts:  1 + rng.IntN(3), LoadReports: one(0.3), TrafficSkew: rng.Float64(),
		Clients: Clients{MaxSubmissions: 1 + rng.IntN(3), MaxRetryAfter: upTo(3, 500*ms), RetryAfterShare: rng.Float64(), RetryBackoff: upTo(4, 50*ms), RetriesFailures: one(0.3)},
		Classes: []Class{
			{Share: 3, Work: 20 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second, Idempotency: Idempotency(policy.IdempotentByKey), DedupWindow: 600 * ms, DedupScope: []DedupScope{DedupScope(policy.ScopeAll), DedupScope(policy.ScopeCell)}[rng.IntN(2)]},
			{Share: 1, Work: 40 * ms, LatencyObjective: 500 * ms, Deadline: 3 * time.Second, Idempotency: Idempotency(policy.NotIdempotent), WorkDistribution: LogNormal, CoefficientOfVariation: 0.8},
			{Share: 1, Work: 10 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second, Idempotency: Idempotency(policy.Idempotent), WorkDistribution: Fixed},
		},
		Tenants:     []Tenant{{Share: 0.79}, {Share: 0.21}},
		OfferedLoad: 0.2 + rng.Float64(),
	}
	if one(0.5) {
		s.Node.OverloadCollapse = OverloadCollapse{RequestsPerCore: 2, OnsetTime: time.Second, Slowdown: 2.5, RecoveryTime: 3 * time.Second, MaxDuration: 26 * time.Second}
	}
	if one(0.5) {
		s.Network.HandshakeWork, s.Network.HandshakeRoundTrips, s.Network.IdleTimeout, s.Network.MaxConnections = 4*ms, 2, 5*time.Second, 20+rng.IntN(400)
	}
	if one(0.3) {
		q := s.OfferedLoad * s.Capacity() / s.meanWork()
		for i := range s.Tenants {
			s.Tenants[i].Quota = s.Tenants[i].Share * q * (0.5 + rng.Float64())
		}
		s.Quotas = Quotas{SidecarShare: min(1, 2/float64(s.Sidecars)), LenderReserve: time.Second, RepaymentShare: 0.1, DebtLifetime: time.Minute, LendingAllowed: one(0.5)}
	}
	if one(0.3) {
		s.List.Membership = true
	} else {
		s.List.WatchRequired = one(0.3)
	}
	if one(0.5) {
		s.Clients.TimeoutShares = []float64{0.5, 0.8}
	}
	if one(0.3) {
		s.Daily = Wave{Period: 5 * time.Second, Swing: 0.3}
	}
	for range rng.IntN(5) {
		t := Fault{Kind: faultKinds[rng.IntN(len(faultKinds))], Start: time.Duration(rng.Int64N(int64(s.Duration))), Node: rng.IntN(s.Nodes), Duration: 500*ms + upTo(6000, ms)}
		switch t.Kind {
		case StealCPU:
			t.Share, t.Period = 0.1+0.9*rng.Float64(), upTo(4, 300*ms)
		case ResetConnections:
			t.Share = 0.1 + 0.9*rng.Float64()
		case TrafficBurst:
			t.RateFactor, t.Tenant = 1+3*rng.Float64(), rng.IntN(2)
		}
		if one(0.3) {
			t.NodeShare = rng.Float64()
		}
		s.Faults = append(s.Faults, t)
	}
	return s
}
