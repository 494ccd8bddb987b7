package fleet

import (
	"math"
	"testing"
	"time"
)

// Arrivals vary by the day and by sidecar, are planned as they are simulated, and can be replayed.
func TestArrivals(t *testing.T) {
	scenario := steadyScenario(4, 0.4)
	scenario.Sidecars, scenario.TrafficSkew, scenario.Daily = 4, 1, Wave{Period: time.Minute, Swing: 0.5}
	plan, err := PlanArrivals(scenario)
	if err != nil {
		t.Fatal(err)
	}
	result := mustRun(t, scenario)
	if uint64(len(plan)) != result.Requests {
		t.Errorf("%d are planned, %d arrived", len(plan), result.Requests)
	}
	bySidecar := make([]int, 4)
	for _, planned := range plan {
		bySidecar[planned.Sidecar]++
	}
	if ratio := float64(bySidecar[0]) / float64(bySidecar[3]); math.Abs(ratio-4) > 0.6 {
		t.Errorf("the first sidecar has %.2f of the fourth's requests, want 4", ratio)
	}
	if ratio := float64(result.Windows[15].Requests) / float64(result.Windows[45].Requests); math.Abs(ratio-3) > 0.8 {
		t.Errorf("the peak has %.2f of the trough's requests, want 3", ratio)
	}
	scenario.OfferedLoad = 0
	for _, planned := range plan {
		scenario.RecordedArrivals = append(scenario.RecordedArrivals, planned.Arrival)
	}
	replayed := mustRun(t, scenario)
	if replayed.Requests != result.Requests || math.Abs(replayed.NodeUtilisation[0]-result.NodeUtilisation[0]) > 0.02 {
		t.Errorf("replayed: %d requests of %d, utilisation %.3f and %.3f",
			replayed.Requests, result.Requests, replayed.NodeUtilisation[0], result.NodeUtilisation[0])
	}
}
