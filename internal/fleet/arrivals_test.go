package fleet

import (
	"math"
	"testing"
	"time"
)

// Arrivals follow the daily variation and the skew among sidecars. PlanArrivals returns the arrivals that a run
// simulates, and a replay of them gives the same requests and utilisation.
func TestArrivals(t *testing.T) {
	scenario := steadyScenario(4, 0.4)
	scenario.Sidecars, scenario.TrafficSkew, scenario.Daily = 4, 1, RateVariation{Period: time.Minute, Amplitude: 0.5}
	plan, err := PlanArrivals(scenario)
	if err != nil {
		t.Fatal(err)
	}
	result := mustRun(t, scenario)
	if uint64(len(plan)) != result.Requests {
		t.Errorf("got %d planned arrivals, want %d as in the run", len(plan), result.Requests)
	}
	bySidecar := make([]int, 4)
	for _, planned := range plan {
		bySidecar[planned.Sidecar]++
	}
	if ratio := float64(bySidecar[0]) / float64(bySidecar[3]); math.Abs(ratio-4) > 0.6 {
		t.Errorf("requests of the first sidecar / those of the fourth: got %.2f, want 4 within 0.6", ratio)
	}
	if ratio := float64(result.Windows[15].Requests) / float64(result.Windows[45].Requests); math.Abs(ratio-3) > 0.8 {
		t.Errorf("requests at the peak / those at the trough: got %.2f, want 3 within 0.8", ratio)
	}
	scenario.OfferedLoad = 0
	for _, planned := range plan {
		scenario.RecordedArrivals = append(scenario.RecordedArrivals, planned.Arrival)
	}
	replayed := mustRun(t, scenario)
	if replayed.Requests != result.Requests || math.Abs(replayed.NodeUtilisation[0]-result.NodeUtilisation[0]) > 0.02 {
		t.Errorf("replay: got %d requests, want %d; got utilisation %.3f, want %.3f within 0.02",
			replayed.Requests, result.Requests, replayed.NodeUtilisation[0], result.NodeUtilisation[0])
	}
}
