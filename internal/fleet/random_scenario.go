package fleet

import (
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// RandomScenario draws a small scenario with faults of every kind from a seed, for tests of the rules.
func RandomScenario(seed uint64) Scenario {
	draw := scenarioDraw{randomStream(seed, "scenario", 0)}
	scenario := draw.base(seed)
	if draw.chance(0.5) {
		scenario.Node.OverloadCollapse = OverloadCollapse{
			RequestsPerCore: 2,
			OnsetTime:       time.Second,
			Slowdown:        2.5,
			RecoveryTime:    3 * time.Second,
			MaxDuration:     26 * time.Second,
		}
	}
	if draw.chance(0.5) {
		network := &scenario.Network
		network.HandshakeWork, network.HandshakeRoundTrips = 4*time.Millisecond, 2
		network.IdleTimeout, network.MaxConnections = 5*time.Second, 20+draw.random.IntN(400)
	}
	if draw.chance(0.3) {
		draw.quotas(&scenario)
	}
	if draw.chance(0.3) {
		scenario.List.Membership = true
	} else {
		scenario.List.WatchRequired = draw.chance(0.3)
	}
	if draw.chance(0.5) {
		scenario.Clients.TimeoutShares = []float64{0.5, 0.8}
	}
	if draw.chance(0.3) {
		scenario.Daily = Wave{Period: 5 * time.Second, Swing: 0.3}
	}
	for range draw.random.IntN(5) {
		scenario.Faults = append(scenario.Faults, draw.fault(&scenario))
	}
	return scenario
}

// scenarioDraw draws the parts of a random scenario. The order of the draws decides the scenario of a seed.
type scenarioDraw struct{ random *rand.Rand }

// upTo draws 0 to n units.
func (draw scenarioDraw) upTo(n int, unit time.Duration) time.Duration {
	return time.Duration(draw.random.IntN(n+1)) * unit
}

// chance is true with a probability.
func (draw scenarioDraw) chance(probability float64) bool { return draw.random.Float64() < probability }

func (draw scenarioDraw) base(seed uint64) Scenario {
	const ms = time.Millisecond
	scenario := Scenario{
		Seed:         seed,
		Duration:     4*time.Second + draw.upTo(8, time.Second),
		Nodes:        1 + draw.random.IntN(8),
		Sidecars:     1 + draw.random.IntN(4),
		Node:         draw.node(),
		SpeedFactors: []float64{1, 0.5, 1.5},
		Network:      Network{Delay: draw.upTo(4, ms/4)},
		List:         EndpointList{MaxDelay: draw.upTo(3000, ms), CellSize: draw.random.IntN(4)},
		MaxAttempts:  1 + draw.random.IntN(3),
		LoadReports:  draw.chance(0.3),
		TrafficSkew:  draw.random.Float64(),
		Clients:      draw.clients(),
		Classes:      draw.classes(),
		Tenants:      []Tenant{{Share: 0.79}, {Share: 0.21}},
	}
	scenario.OfferedLoad = 0.2 + draw.random.Float64()
	return scenario
}

func (draw scenarioDraw) node() NodeParams {
	return NodeParams{
		Cores:                1 + draw.random.IntN(4),
		Speed:                1,
		MaxRequests:          64,
		InitialSpeedShare:    0.3,
		WarmUpTime:           8 * time.Second,
		WarmUpOverloadFactor: 2.5,
		KeepsAbandoned:       draw.chance(0.2),
	}
}

func (draw scenarioDraw) clients() Clients {
	return Clients{
		MaxSubmissions:  1 + draw.random.IntN(3),
		MaxRetryAfter:   draw.upTo(3, 500*time.Millisecond),
		RetryAfterShare: draw.random.Float64(),
		RetryBackoff:    draw.upTo(4, 50*time.Millisecond),
		RetriesFailures: draw.chance(0.3),
	}
}

// classes are one of each idempotency and distribution of work.
func (draw scenarioDraw) classes() []Class {
	const ms = time.Millisecond
	dedupScopes := []DedupScope{DedupScope(policy.ScopeAll), DedupScope(policy.ScopeCell)}
	return []Class{{
		Share: 3, Work: 20 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second,
		Idempotency: Idempotency(policy.IdempotentByKey), DedupWindow: 600 * ms,
		DedupScope: dedupScopes[draw.random.IntN(2)],
	}, {
		Share: 1, Work: 40 * ms, LatencyObjective: 500 * ms, Deadline: 3 * time.Second,
		Idempotency: Idempotency(policy.NotIdempotent), WorkDistribution: LogNormal, CoefficientOfVariation: 0.8,
	}, {
		Share: 1, Work: 10 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second,
		Idempotency: Idempotency(policy.Idempotent), WorkDistribution: Fixed,
	}}
}

// quotas gives the tenants quotas about their part of the traffic.
func (draw scenarioDraw) quotas(scenario *Scenario) {
	rate := scenario.meanArrivalRate()
	for i := range scenario.Tenants {
		scenario.Tenants[i].Quota = scenario.Tenants[i].Share * rate * (0.5 + draw.random.Float64())
	}
	scenario.Quotas = Quotas{
		SidecarShare:   min(1, 2/float64(scenario.Sidecars)),
		LenderReserve:  time.Second,
		RepaymentShare: 0.1,
		DebtLifetime:   time.Minute,
		LendingAllowed: draw.chance(0.5),
	}
}

func (draw scenarioDraw) fault(scenario *Scenario) Fault {
	fault := Fault{
		Kind:     faultKinds[draw.random.IntN(len(faultKinds))],
		Start:    time.Duration(draw.random.Int64N(int64(scenario.Duration))),
		Node:     draw.random.IntN(scenario.Nodes),
		Duration: 500*time.Millisecond + draw.upTo(6000, time.Millisecond),
	}
	switch fault.Kind {
	case StealCPU:
		fault.Share = 0.1 + 0.9*draw.random.Float64()
		fault.Period = draw.upTo(4, 300*time.Millisecond)
	case ResetConnections:
		fault.Share = 0.1 + 0.9*draw.random.Float64()
	case TrafficBurst:
		fault.RateFactor = 1 + 3*draw.random.Float64()
		fault.Tenant = draw.random.IntN(2)
	default: // the others have no settings of their own
	}
	if draw.chance(0.3) {
		fault.NodeShare = draw.random.Float64()
	}
	return fault
}
