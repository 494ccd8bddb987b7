package fleet

import (
	"testing"
	"time"
)

// faultTest injects a fault from 5 to 15 s of a run of 20 s, into all nodes if it is a fault of nodes, and checks its
// effect against a run without faults.
type faultTest struct {
	name  string
	fault Fault
	ok    func(result, faultless *Result) bool
}

var faultTests = []faultTest{
	{"hang", Fault{Kind: Hang}, func(result, _ *Result) bool {
		return result.ObjectiveShare() < 0.7 && recoversAfterFault(result)
	}},
	{"responses dropped", Fault{Kind: DropResponses}, func(result, _ *Result) bool {
		return result.Windows[8].Served == 0 && result.NodeUtilisation[0] > 0.35
	}},
	{"requests dropped", Fault{Kind: DropRequests}, func(result, _ *Result) bool {
		return result.Windows[8].Served == 0 && result.NodeUtilisation[0] < 0.25
	}},
	{"connections reset", Fault{Kind: ResetConnections, Share: 0.5}, func(result, faultless *Result) bool {
		return result.Attempts > faultless.Attempts*6/5 && result.ObjectiveShare() > 0.9
	}},
	{"CPU stolen", Fault{Kind: StealCPU, Share: 0.5}, func(result, faultless *Result) bool {
		return result.Latency.Mean() > 1.5*faultless.Latency.Mean()
	}},
	{"CPU stolen on and off", Fault{Kind: StealCPU, Share: 0.5, Period: 100 * ms}, func(result, faultless *Result) bool {
		ratio := result.Latency.Mean() / faultless.Latency.Mean()
		return ratio > 1.1 && ratio < 1.6
	}},
	{"empty list", Fault{Kind: IncompleteList}, func(result, _ *Result) bool {
		return result.Rejected > 500 && result.Windows[8].Attempts+result.Windows[8].Served == 0
	}},
	{"traffic burst", Fault{Kind: TrafficBurst, RateFactor: 2}, func(result, faultless *Result) bool {
		return result.Requests > faultless.Requests*14/10 && result.Requests < faultless.Requests*16/10
	}},
	{"power loss", Fault{Kind: PowerLoss}, func(result, _ *Result) bool {
		return result.Lost > 1000 && recoversAfterFault(result)
	}},
	{"sidecar restart", Fault{Kind: SidecarRestart}, func(result, _ *Result) bool {
		return result.Lost > 0 && result.Lost < 50
	}},
}

// recoversAfterFault reports whether no request is served in window 8, during the fault, and more than 50 requests are
// served in window 19, after the fault.
func recoversAfterFault(result *Result) bool {
	return result.Windows[8].Served == 0 && result.Windows[19].Served > 50
}

// Each kind of fault has the expected effect, compared with a run without faults.
func TestFaults(t *testing.T) {
	scenario := steadyScenario(4, 0.4)
	scenario.Policy, scenario.Duration = RoundRobin, 20*time.Second
	scenario.Clients.MaxSubmissions, scenario.Classes[0].Deadline = 2, 2*time.Second
	faultless := mustRun(t, scenario)
	if faultless.ObjectiveShare() != 1 || faultless.Rejected+faultless.Failed+faultless.Lost != 0 {
		t.Errorf("without faults: got %+v, want every request served within its objective", faultless)
	}
	for _, test := range faultTests {
		test.fault.Start, test.fault.Duration, test.fault.NodeShare = 5*time.Second, 10*time.Second, 1
		scenario.Faults = []Fault{test.fault}
		result := mustRun(t, scenario)
		if !test.ok(result, faultless) {
			t.Errorf("%s: got %+v, objective share %.3f, mean %.1f ms (without fault: %.1f), window 8: %+v; want the effect that the case's ok function checks",
				test.name, result.Tally,
				result.ObjectiveShare(), result.Latency.Mean()/1e3, faultless.Latency.Mean()/1e3, result.Windows[8])
		}
	}
}
