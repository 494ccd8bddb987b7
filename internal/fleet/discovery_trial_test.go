package fleet

import (
	"fmt"
	"testing"
	"time"
)

// discoveryTrials returns trials of several fleet sizes, in which the service takes from 2 to 20 s in total to process
// one call of every sidecar.
func discoveryTrials() []DiscoveryTrial {
	var trials []DiscoveryTrial
	for _, sidecars := range []int{30, 300, 900} {
		for _, total := range []time.Duration{2 * time.Second, 8 * time.Second, 20 * time.Second} {
			for _, maxWait := range []time.Duration{0, 2 * time.Second} {
				for _, hasList := range []bool{false, true} {
					trials = append(trials, DiscoveryTrial{
						Sidecars: sidecars, ServiceTime: total / time.Duration(sidecars), MaxWait: maxWait, HasList: hasList,
						Rule: HedgedCalls, StartSpread: 200 * ms, Seed: 1, MaxCalls: 100 * sidecars,
					})
				}
			}
		}
	}
	return trials
}

// Every sidecar receives the list within 5 s plus twice the time that the service takes to process one call of every
// sidecar, and a sidecar makes at most 12 calls on average.
func TestDiscoveryServesAllSidecars(t *testing.T) {
	for _, trial := range discoveryTrials() {
		result := trial.Run()
		fixed := trial
		fixed.Rule = FixedTimeout
		total := trial.ServiceTime * time.Duration(trial.Sidecars)
		name := fmt.Sprintf("%d sidecars, total service time %v, longest wait %v, with a list %v",
			trial.Sidecars, total, trial.MaxWait, trial.HasList)
		t.Logf("%s: got %+v; with a fixed timeout %+v", name, result, fixed.Run())
		if result.Served != trial.Sidecars || result.Last > 2*total+5*time.Second || result.Calls > 12*trial.Sidecars {
			t.Errorf("%s: got %+v, want all sidecars served within 5 s + 2 * total service time, with at most 12 calls each on average",
				name, result)
		}
	}
}
