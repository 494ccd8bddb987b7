package fleet

import (
	"math"
	"testing"
	"time"
)

// meanResponse offers a node Poisson arrivals at the given utilisation until the given number of jobs is done. It
// returns the mean response time in seconds and the node's measured utilisation.
func meanResponse(utilisation, meanWork float64, jobs int, work func(float64) float64) (mean, busy float64) {
	var events eventQueue
	server := &node{events: &events, params: NodeParams{Cores: 1, Speed: 1}}
	random, ended, sum := randomStream(7, "queue", 0), 0, time.Duration(0)
	var arrive func()
	arrive = func() {
		arrivedAt := events.now
		done := func(bool) {
			ended++
			sum += events.now - arrivedAt
		}
		server.accept(&job{owner: jobEndedFunc(done)}, meanWork*work(random.ExpFloat64()))
		events.schedule(time.Duration(random.ExpFloat64()*meanWork/utilisation*1e9), arrive)
	}
	events.schedule(0, arrive)
	for ended < jobs && events.processNext(noEnd) {
	}
	return sum.Seconds() / float64(ended), server.busyCoreSeconds / events.now.Seconds()
}

// With processor sharing the mean response time is E[S]/(1-rho) for any distribution of the work (Kleinrock, Queueing
// Systems II, 4.4).
func TestNodeIsAProcessorSharingQueue(t *testing.T) {
	const meanWork, jobs = 0.010, 2_000_000
	distributions := map[string]func(float64) float64{
		"exponential": func(exponential float64) float64 { return exponential },
		"fixed":       func(float64) float64 { return 1 },
	}
	for _, utilisation := range []float64{0.5, 0.8} {
		for name, work := range distributions {
			mean, busy := meanResponse(utilisation, meanWork, jobs, work)
			want := meanWork / (1 - utilisation)
			if off := math.Abs(mean/want - 1); off > 0.01 {
				t.Errorf("%s at utilisation %v: got mean response time %.3f ms, want %.3f ms; off by %.1f%%",
					name, utilisation, mean*1e3, want*1e3, off*100)
			}
			if math.Abs(busy-utilisation) > 0.01 {
				t.Errorf("%s: got utilisation %.3f, want %.3f", name, busy, utilisation)
			}
		}
	}
}

// An overloaded node collapses, stays collapsed after its load has fallen below the limit again, and recovers after it
// has been idle.
func TestOverloadCollapse(t *testing.T) {
	var events eventQueue
	server := &node{events: &events, params: NodeParams{Cores: 1, Speed: 1, OverloadCollapse: OverloadCollapse{
		RequestsPerCore: 3, OnsetTime: time.Second, Slowdown: 2, RecoveryTime: 2 * time.Second, MaxDuration: time.Hour,
	}}}
	for range 10 {
		server.accept(new(job), 0.5)
	}
	// Ten jobs with 0.5 s of work each: the node is overloaded from 0 on and collapses after 1 s; the remaining 4 s of
	// work take twice as long.
	for _, want := range []struct {
		at        time.Duration
		collapsed bool
	}{{999 * ms, false}, {1001 * ms, true}, {8999 * ms, true}, {10 * time.Second, true}, {11001 * ms, false}} {
		for events.processNext(want.at) {
		}
		events.now = want.at
		if server.collapsed != want.collapsed {
			t.Errorf("at %v: got collapsed %v, want %v; jobs at the node: %d",
				want.at, server.collapsed, want.collapsed, len(server.jobs))
		}
	}
}

// Thirty sidecars that each send one request to a node that warms up can overload the node (rule 4): the node's
// capacity in the second that rule 4 counts is less than one request for each sidecar. The sidecars learn of the
// node's start through an update, or start together with the node and receive a list that contains it.
func TestThirtySidecarsDoNotOverloadWarmingNode(t *testing.T) {
	for name, fault := range map[string]Fault{
		"the node starts":   {Kind: Restart, Start: 5 * time.Second, Duration: 500 * ms},
		"all start at once": {Kind: PowerLoss, Start: 5 * time.Second, Duration: 500 * ms},
	} {
		for seed := range uint64(6) {
			scenario := warmUpScenario(seed)
			scenario.Faults = []Fault{fault}
			result, err := Run(scenario)
			if err != nil || len(result.Violations) > 0 {
				t.Errorf("%s, seed %d: got error %v, violations %q; want none", name, seed, err, result.Violations)
			} else if result.NodeServed[0] == 0 {
				t.Errorf("%s, seed %d: got 0 requests served by the node, want at least 1", name, seed)
			}
		}
	}
}

// warmUpScenario returns a scenario that offers far more load than nodes that warm up can process.
func warmUpScenario(seed uint64) Scenario {
	scenario := steadyScenario(10, 1.5)
	scenario.Seed, scenario.Duration, scenario.Sidecars = seed, 20*time.Second, 30
	scenario.Node = NodeParams{
		Cores: 2, Speed: 1, InitialSpeedShare: 0.3, WarmUpTime: 8 * time.Second, WarmUpOverloadFactor: 2.5,
	}
	scenario.Classes[0].Work, scenario.Classes[0].Deadline = 50*ms, 2*time.Second // 40 requests per second and node
	scenario.Tenants = []Tenant{{Share: 1, Quota: 380}}
	scenario.List.MaxDelay = 100 * ms
	return scenario
}
