package fleet

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// steadyScenario returns a scenario with one class of idempotent requests and nodes of one core, without faults.
func steadyScenario(nodes int, load float64) Scenario {
	return Scenario{
		Seed:        1,
		Duration:    time.Minute,
		Nodes:       nodes,
		Sidecars:    1,
		OfferedLoad: load,
		Node:        NodeParams{Cores: 1, Speed: 1},
		MaxAttempts: 3,
		Clients:     Clients{MaxSubmissions: 1},
		Classes:     []Class{{Share: 1, Work: 10 * ms, LatencyObjective: time.Second, Deadline: 30 * time.Second}},
	}
}

// mustRun runs a scenario. It ends the test after an error, a violation of a rule or a truncated run.
func mustRun(t *testing.T, scenario Scenario) *Result {
	t.Helper()
	result, err := Run(scenario)
	if err != nil || len(result.Violations) > 0 || result.Truncated != "" {
		t.Fatalf("seed %d: got error %v, violations %q, truncated %s; want none",
			scenario.Seed, err, result.Violations, result.Truncated)
	}
	return result
}

// mustStart returns a simulation in its state before the first arrival.
func mustStart(t *testing.T, scenario Scenario) *simulation {
	t.Helper()
	sim, err := newSimulation(&scenario)
	if err != nil {
		t.Fatal(err)
	}
	return sim
}

// objectiveShare returns the share of the requests arrived in the windows that met their latency objective.
func objectiveShare(windows []Window) float64 {
	var tally Tally
	for _, window := range windows {
		tally.Requests += window.Requests
		tally.MetObjective += window.MetObjective
	}
	return tally.ObjectiveShare()
}
