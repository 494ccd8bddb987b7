package fleet

import (
	"testing"
	"time"
)

// At a load of 0.9 two choices have a lower mean latency than a random one, as Mitzenmacher has it. No policy violates
// a rule.
func TestTwoChoicesAgainstRandom(t *testing.T) {
	mean := make(map[Policy]float64)
	for _, policy := range knownPolicies {
		scenario := steadyScenario(10, 0.9)
		scenario.Policy = policy
		mean[policy] = mustRun(t, scenario).Latency.Mean()
	}
	lower := func(policy Policy, factor float64) bool { return mean[policy] < factor*mean[Random] }
	if !lower(TwoChoices, 0.6) || !lower(PeakEWMA, 0.8) || !lower(RoundRobin, 1) {
		t.Errorf("mean latencies in µs: %v", mean)
	}
}

// retryStorm is a fleet in which a burst can start a metastable failure: timed-out attempts are retried while
// the nodes still work on the first ones (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021).
func retryStorm(policy Policy, retries RetryMode) Scenario {
	scenario := steadyScenario(10, 0.5)
	scenario.Policy, scenario.Retries, scenario.Sidecars = policy, retries, 4
	scenario.Node.Cores, scenario.Node.KeepsAbandoned = 2, true
	scenario.Classes[0] = Class{Share: 1, Work: 50 * ms, LatencyObjective: 500 * ms, Deadline: 1500 * ms}
	scenario.Faults = []Fault{{Kind: TrafficBurst, Start: 15 * time.Second, Duration: 5 * time.Second, RateFactor: 3}}
	return scenario
}

// Naive retries keep the fleet down after the burst; with a budget, or the decision module, it recovers by itself.
func TestRetryStorm(t *testing.T) {
	for _, test := range []struct {
		name        string
		scenario    Scenario
		least, most float64 // objective share of the last 15 s, 25 s after the burst
	}{
		{"naive", retryStorm(Random, RetryNaively), 0, 0.2},
		{"budget", retryStorm(Random, RetryWithBudget), 0.95, 1},
		{"mothridge", retryStorm(Mothridge, RetryUnstarted), 0.95, 1},
	} {
		windows := mustRun(t, test.scenario).Windows
		before, after := objectiveShare(windows[0:15]), objectiveShare(windows[45:60])
		if before < 0.95 || after < test.least || after > test.most {
			t.Errorf("%s: objective share %.3f before the burst, %.3f long after it; want 0.95 or more, and %v to %v",
				test.name, before, after, test.least, test.most)
		}
	}
}
