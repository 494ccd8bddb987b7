package fleet

import (
	"math"
	"testing"
	"time"
)

// meanResponse offers a node Poisson arrivals at a utilisation until so many jobs are done, and returns the mean
// response time in seconds and the node's measured utilisation.
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

// With processor sharing the mean response time is E[S]/(1-rho), whatever the distribution of the work (Kleinrock,
// Queueing Systems II, 4.4).
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
				t.Errorf("%s at %v: a mean of %.3f ms, want %.3f: %.1f%% off", name, utilisation, mean*1e3, want*1e3, off*100)
			}
			if math.Abs(busy-utilisation) > 0.01 {
				t.Errorf("%s: utilisation %.3f, want %.3f", name, busy, utilisation)
			}
		}
	}
}

// An overloaded node collapses, stays so though the load is bearable again, and recovers after it was idle.
func TestOverloadCollapse(t *testing.T) {
	var events eventQueue
	server := &node{events: &events, params: NodeParams{Cores: 1, Speed: 1, OverloadCollapse: OverloadCollapse{
		RequestsPerCore: 3, OnsetTime: time.Second, Slowdown: 2, RecoveryTime: 2 * time.Second, MaxDuration: time.Hour,
	}}}
	for range 10 {
		server.accept(new(job), 0.5)
	}
	// Ten times 0.5 s of work: overloaded from 0 on, collapsed after 1 s; the rest takes twice 4 s.
	for _, want := range []struct {
		at        time.Duration
		collapsed bool
	}{{999 * ms, false}, {1001 * ms, true}, {8999 * ms, true}, {10 * time.Second, true}, {11001 * ms, false}} {
		for events.processNext(want.at) {
		}
		events.now = want.at
		if server.collapsed != want.collapsed {
			t.Errorf("at %v: collapsed %v, want %v; it holds %d", want.at, server.collapsed, want.collapsed, len(server.jobs))
		}
	}
}

// Thirty sidecars and one node that warms up: in the second that counts each sidecar's share of what it can do is less
// than one request. They learn of its start by an update, or start themselves and get a list with it.
func TestWarmUpAmongThirtySidecars(t *testing.T) {
	for name, fault := range map[string]Fault{
		"the node starts":   {Kind: Restart, Start: 5 * time.Second, Duration: 500 * ms},
		"all start at once": {Kind: PowerLoss, Start: 5 * time.Second, Duration: 500 * ms},
	} {
		for seed := range uint64(6) {
			scenario := warmUpScenario(seed)
			scenario.Faults = []Fault{fault}
			result, err := Run(scenario)
			if err != nil || len(result.Violations) > 0 {
				t.Errorf("%s, seed %d: %v %q", name, seed, err, result.Violations)
			} else if result.NodeServed[0] == 0 {
				t.Errorf("%s, seed %d: the node was never used", name, seed)
			}
		}
	}
}

// warmUpScenario offers far more than nodes that warm up can take.
func warmUpScenario(seed uint64) Scenario {
	scenario := steadyScenario(10, 1.5)
	scenario.Seed, scenario.Duration, scenario.Sidecars = seed, 20*time.Second, 30
	scenario.Node = NodeParams{
		Cores: 2, Speed: 1, InitialSpeedShare: 0.3, WarmUpTime: 8 * time.Second, WarmUpOverloadFactor: 2.5,
	}
	scenario.Classes[0].Work, scenario.Classes[0].Deadline = 50*ms, 2*time.Second // 40 a second of each node
	scenario.Tenants = []Tenant{{Share: 1, Quota: 380}}
	scenario.List.MaxDelay = 100 * ms
	return scenario
}
