package fleet

import (
	"flag"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"
)

var longRun = flag.Bool("long", false, "process 10^8 events in the memory test")

// A scenario gives the same result in concurrent runs, and another seed gives another result.
func TestSameSeedSameResult(t *testing.T) {
	run := func(seed uint64) *Result {
		result, err := Run(RandomScenario(seed))
		if err != nil {
			t.Error(err)
		}
		return result
	}
	for seed := range uint64(6) {
		results := make(chan *Result, 4)
		for range 4 {
			go func() { results <- run(seed) }()
		}
		first := <-results
		for range 3 {
			if result := <-results; !reflect.DeepEqual(result, first) {
				t.Errorf("seed %d: got different results of two runs: %+v and %+v", seed, result, first)
			}
		}
	}
	if reflect.DeepEqual(run(1), run(2)) {
		t.Error("two seeds give the same result")
	}
}

// A run that would not end is truncated after MaxEvents, and the result says so.
func TestEndlessRunIsTruncated(t *testing.T) {
	scenario := RandomScenario(3)
	scenario.Duration, scenario.MaxEvents, scenario.Faults = 1000*time.Hour, 5000, nil
	result, err := Run(scenario)
	if err != nil || result.Events != 5000 || !strings.Contains(result.Truncated, "after 5000 events") {
		t.Errorf("got result %+v, error %v; want the run truncated after 5000 events", result, err)
	}
}

// heapAfter returns the size of the heap in bytes after the given number of events of a run.
func heapAfter(t *testing.T, events uint64) uint64 {
	scenario := RandomScenario(5)
	scenario.Duration, scenario.MaxEvents, scenario.Faults = 10000*time.Hour, events, nil
	scenario.OfferedLoad, scenario.RecordedArrivals = 0.6, nil
	sim := mustStart(t, scenario)
	sim.startArrivals()
	sim.processEvents()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	runtime.KeepAlive(sim)
	return memory.HeapAlloc
}

// Memory depends on the pending events and open requests, not on the number of events processed so far. With -long
// the run has 10^8 events.
func TestMemoryIsBoundedByPendingWork(t *testing.T) {
	events := uint64(2_000_000)
	if *longRun {
		events = 100_000_000
	}
	early, late := heapAfter(t, events/10), heapAfter(t, events)
	if late > early+early/4+1<<20 {
		t.Errorf("heap: got %d KiB after %d events, %d KiB after %d; want at most 1/4 + 1 MiB more",
			early>>10, events/10, late>>10, events)
	}
	t.Logf("heap: %d KiB after %d events, %d KiB after %d", early>>10, events/10, late>>10, events)
}

// The explanation of a request begins with its first submission, also if the number of a client retry is given.
func TestExplanation(t *testing.T) {
	scenario := steadyScenario(2, 0.8)
	scenario.Duration, scenario.Clients = 10*time.Second, Clients{MaxSubmissions: 3, RetryBackoff: 20 * ms}
	scenario.Classes[0].Deadline = 2 * time.Second
	scenario.Policy, scenario.Faults = RoundRobin, []Fault{{Kind: Hang, Duration: 3 * time.Second, NodeShare: 1}}
	result := mustRun(t, scenario)
	if len(result.Samples) == 0 {
		t.Fatal("got no sample to explain, want at least one")
	}
	scenario.ExplainRequest = result.Samples[0].ID
	explanation := mustRun(t, scenario).Explanation
	text := fmt.Sprint(explanation)
	number := fmt.Sprintf("request %d", scenario.ExplainRequest)
	if len(explanation) < 4 || !strings.Contains(explanation[0].Text, "try 1") {
		t.Errorf("request %d: got explanation %v, want at least 4 lines from the first try on",
			scenario.ExplainRequest, explanation)
	}
	if !strings.Contains(text, "which hangs") || !strings.Contains(text, number) {
		t.Errorf("request %d: got explanation %v, want the node that hangs and the request's number",
			scenario.ExplainRequest, explanation)
	}
}

// BenchmarkRun runs fleets of several sizes. It reports the events per second of one core.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct {
		sidecars, nodes int
		policy          Policy
	}{
		{4, 10, Mothridge}, {4, 10, TwoChoices}, {30, 50, Mothridge}, {30, 50, TwoChoices},
		{200, 2000, Mothridge}, {200, 2000, TwoChoices},
	} {
		b.Run(fmt.Sprintf("%s/%dx%d", size.policy, size.sidecars, size.nodes), func(b *testing.B) {
			scenario := steadyScenario(size.nodes, 0.5)
			scenario.Sidecars, scenario.Policy = size.sidecars, size.policy
			scenario.Node, scenario.Network.Delay = NodeParams{Cores: 2, Speed: 1, MaxRequests: 64}, ms/2
			scenario.Duration = time.Duration(200/size.nodes+1) * 2 * time.Second
			scenario.Classes[0].Work, scenario.Classes[0].Deadline = 20*ms, 2*time.Second
			benchmarkScenario(b, scenario)
		})
	}
}

func benchmarkScenario(b *testing.B, scenario Scenario) {
	events := uint64(0)
	for range b.N {
		result, err := Run(scenario)
		if err != nil {
			b.Fatal(err)
		}
		events += result.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapSys)/(1<<20), "heap-MiB")
}
