package fleet

import (
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// RandomScenario draws a small scenario, with up to four faults of any kind, from a seed. It is for tests of the rules.
func RandomScenario(seed uint64) Scenario {
	generator := scenarioGenerator{randomStream(seed, "scenario", 0)}
	scenario := generator.base(seed)
	if generator.chance(0.5) {
		scenario.Node.OverloadCollapse = OverloadCollapse{
			RequestsPerCore: 2,
			OnsetTime:       time.Second,
			Slowdown:        2.5,
			RecoveryTime:    3 * time.Second,
			MaxDuration:     26 * time.Second,
		}
	}
	if generator.chance(0.5) {
		network := &scenario.Network
		network.HandshakeWork, network.HandshakeRoundTrips = 4*time.Millisecond, 2
		network.IdleTimeout, network.MaxConnections = 5*time.Second, 20+generator.random.IntN(400)
	}
	if generator.chance(0.3) {
		generator.quotas(&scenario)
	}
	if generator.chance(0.3) {
		scenario.List.Membership = true
	} else {
		scenario.List.WatchRequired = generator.chance(0.3)
	}
	if generator.chance(0.5) {
		scenario.Clients.TimeoutShares = []float64{0.5, 0.8}
	}
	if generator.chance(0.3) {
		scenario.Daily = RateVariation{Period: 5 * time.Second, Amplitude: 0.3}
	}
	for range generator.random.IntN(5) {
		scenario.Faults = append(scenario.Faults, generator.fault(&scenario))
	}
	return scenario
}

// scenarioGenerator draws the parts of a random scenario. The order of the draws determines the scenario of a seed.
type scenarioGenerator struct{ random *rand.Rand }

// upTo draws a duration of 0 to n units.
func (generator scenarioGenerator) upTo(n int, unit time.Duration) time.Duration {
	return time.Duration(generator.random.IntN(n+1)) * unit
}

// chance returns true with the given probability.
func (generator scenarioGenerator) chance(probability float64) bool {
	return generator.random.Float64() < probability
}

func (generator scenarioGenerator) base(seed uint64) Scenario {
	const ms = time.Millisecond
	scenario := Scenario{
		Seed:         seed,
		Duration:     4*time.Second + generator.upTo(8, time.Second),
		Nodes:        1 + generator.random.IntN(8),
		Sidecars:     1 + generator.random.IntN(4),
		Node:         generator.node(),
		SpeedFactors: []float64{1, 0.5, 1.5},
		Network:      Network{Delay: generator.upTo(4, ms/4)},
		List:         EndpointList{MaxDelay: generator.upTo(3000, ms), CellSize: generator.random.IntN(4)},
		MaxAttempts:  1 + generator.random.IntN(3),
		LoadReports:  generator.chance(0.3),
		TrafficSkew:  generator.random.Float64(),
		Clients:      generator.clients(),
		Classes:      generator.classes(),
		Tenants:      []Tenant{{Share: 0.79}, {Share: 0.21}},
	}
	scenario.OfferedLoad = 0.2 + generator.random.Float64()
	return scenario
}

func (generator scenarioGenerator) node() NodeParams {
	return NodeParams{
		Cores:                1 + generator.random.IntN(4),
		Speed:                1,
		MaxRequests:          64,
		InitialSpeedShare:    0.3,
		WarmUpTime:           8 * time.Second,
		WarmUpOverloadFactor: 2.5,
		KeepsAbandoned:       generator.chance(0.2),
	}
}

func (generator scenarioGenerator) clients() Clients {
	return Clients{
		MaxSubmissions:    1 + generator.random.IntN(3),
		MaxRetryAfter:     generator.upTo(3, 500*time.Millisecond),
		RetryAfterShare:   generator.random.Float64(),
		RetryBackoff:      generator.upTo(4, 50*time.Millisecond),
		RetryAfterFailure: generator.chance(0.3),
	}
}

// classes returns three classes that cover each kind of idempotency and each distribution of work.
func (generator scenarioGenerator) classes() []Class {
	const ms = time.Millisecond
	dedupScopes := []DedupScope{DedupScope(policy.ScopeAll), DedupScope(policy.ScopeCell)}
	return []Class{{
		Share: 3, Work: 20 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second,
		Idempotency: Idempotency(policy.IdempotentByKey), DedupWindow: 600 * ms,
		DedupScope: dedupScopes[generator.random.IntN(2)],
	}, {
		Share: 1, Work: 40 * ms, LatencyObjective: 500 * ms, Deadline: 3 * time.Second,
		Idempotency: Idempotency(policy.NotIdempotent), WorkDistribution: LogNormal, CoefficientOfVariation: 0.8,
	}, {
		Share: 1, Work: 10 * ms, LatencyObjective: 250 * ms, Deadline: 2 * time.Second,
		Idempotency: Idempotency(policy.Idempotent), WorkDistribution: Fixed,
	}}
}

// quotas gives each tenant a quota of 0.5 to 1.5 times its share of the traffic.
func (generator scenarioGenerator) quotas(scenario *Scenario) {
	rate := scenario.meanArrivalRate()
	for i := range scenario.Tenants {
		scenario.Tenants[i].Quota = scenario.Tenants[i].Share * rate * (0.5 + generator.random.Float64())
	}
	scenario.Quotas = Quotas{
		SidecarShare:   min(1, 2/float64(scenario.Sidecars)),
		LenderReserve:  time.Second,
		RepaymentShare: 0.1,
		DebtLifetime:   time.Minute,
		LendingAllowed: generator.chance(0.5),
	}
}

func (generator scenarioGenerator) fault(scenario *Scenario) Fault {
	fault := Fault{
		Kind:     faultKinds[generator.random.IntN(len(faultKinds))],
		Start:    time.Duration(generator.random.Int64N(int64(scenario.Duration))),
		Node:     generator.random.IntN(scenario.Nodes),
		Duration: 500*time.Millisecond + generator.upTo(6000, time.Millisecond),
	}
	switch fault.Kind {
	case StealCPU:
		fault.Share = 0.1 + 0.9*generator.random.Float64()
		fault.Period = generator.upTo(4, 300*time.Millisecond)
	case ResetConnections:
		fault.Share = 0.1 + 0.9*generator.random.Float64()
	case TrafficBurst:
		fault.RateFactor = 1 + 3*generator.random.Float64()
		fault.Tenant = generator.random.IntN(2)
	default: // the other kinds have no settings of their own
	}
	if generator.chance(0.3) {
		fault.NodeShare = generator.random.Float64()
	}
	return fault
}
