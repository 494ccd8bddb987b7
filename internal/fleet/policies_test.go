package fleet

import (
	"testing"
	"time"
)

// At a load of 0.9, two random choices have a lower mean latency than one random choice, as shown by Mitzenmacher. No
// policy violates a rule.
func TestTwoChoicesHaveLowerLatencyThanRandom(t *testing.T) {
	mean := make(map[Policy]float64)
	for _, policy := range knownPolicies {
		scenario := steadyScenario(10, 0.9)
		scenario.Policy = policy
		mean[policy] = mustRun(t, scenario).Latency.Mean()
	}
	lower := func(policy Policy, factor float64) bool { return mean[policy] < factor*mean[Random] }
	if !lower(TwoChoices, 0.6) || !lower(PeakEWMA, 0.8) || !lower(RoundRobin, 1) {
		t.Errorf("got mean latencies %v µs, want two-choices < 0.6, peak-ewma < 0.8 and round-robin < 1 times random",
			mean)
	}
}

// retryStorm returns a scenario in which a burst can start a metastable failure: timed-out attempts are retried while
// the nodes still work on the first attempts (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021).
func retryStorm(policy Policy, retries RetryMode) Scenario {
	scenario := steadyScenario(10, 0.5)
	scenario.Policy, scenario.Retries, scenario.Sidecars = policy, retries, 4
	scenario.Node.Cores, scenario.Node.KeepsAbandoned = 2, true
	scenario.Classes[0] = Class{Share: 1, Work: 50 * ms, LatencyObjective: 500 * ms, Deadline: 1500 * ms}
	scenario.Faults = []Fault{{Kind: TrafficBurst, Start: 15 * time.Second, Duration: 5 * time.Second, RateFactor: 3}}
	return scenario
}

// Naive retries keep the fleet overloaded after the burst. With a retry budget, or with the decision module, the fleet
// recovers by itself.
func TestRetryStormEndsUnlessRetriesAreNaive(t *testing.T) {
	for _, test := range []struct {
		name        string
		scenario    Scenario
		least, most float64 // bounds of the objective share in the last 15 s, 25 s after the burst
	}{
		{"naive", retryStorm(Random, RetryNaively), 0, 0.2},
		{"budget", retryStorm(Random, RetryWithBudget), 0.95, 1},
		{"mothridge", retryStorm(Mothridge, RetryUnstarted), 0.95, 1},
	} {
		windows := mustRun(t, test.scenario).Windows
		before, after := objectiveShare(windows[0:15]), objectiveShare(windows[45:60])
		if before < 0.95 || after < test.least || after > test.most {
			t.Errorf("%s: objective share: got %.3f before the burst, want at least 0.95; got %.3f 25 s after it, want %v to %v",
				test.name, before, after, test.least, test.most)
		}
	}
}
