package fleet

import (
	"fmt"
	"testing"
	"time"
)

// discoveryTrials are fleets of several sizes at a service that takes from 2 to 20 s for one call of every sidecar.
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

// All sidecars get the list within little more than the time that the service takes for a call of each, and make few
// calls in all.
func TestAllSidecarsAreAnsweredByDiscovery(t *testing.T) {
	for _, trial := range discoveryTrials() {
		result := trial.Run()
		fixed := trial
		fixed.Rule = FixedTimeout
		total := trial.ServiceTime * time.Duration(trial.Sidecars)
		name := fmt.Sprintf("%d sidecars, all in %v, longest wait %v, with a list %v",
			trial.Sidecars, total, trial.MaxWait, trial.HasList)
		t.Logf("%s: %+v; with a fixed timeout %+v", name, result, fixed.Run())
		if result.Answered != trial.Sidecars || result.Last > 2*total+5*time.Second || result.Calls > 12*trial.Sidecars {
			t.Errorf("%s: %+v", name, result)
		}
	}
}
