package fleet

import (
	"strings"
	"testing"
)

// invalidChanges are changes that each make a valid random scenario invalid.
var invalidChanges = []func(*Scenario){
	func(scenario *Scenario) { scenario.Nodes = 0 },
	func(scenario *Scenario) { scenario.ArrivalRate = 1 },
	func(scenario *Scenario) { scenario.OfferedLoad = 0 },
	func(scenario *Scenario) { scenario.Node.Cores = 0 },
	func(scenario *Scenario) { scenario.Classes = nil },
	func(scenario *Scenario) { scenario.Clients.MaxSubmissions = 0 },
	func(scenario *Scenario) { scenario.Classes[0].Deadline = 0 },
	func(scenario *Scenario) { scenario.Faults = []Fault{{Kind: Hang, Node: 99}} },
	func(scenario *Scenario) { scenario.Faults = []Fault{{Kind: "flood"}} },
	func(scenario *Scenario) { scenario.Faults = []Fault{{Kind: StealCPU}} },
	func(scenario *Scenario) { scenario.Faults = []Fault{{Kind: ListOutage}} },
	func(scenario *Scenario) { scenario.Faults = []Fault{{Kind: TrafficBurst, Duration: 1, Tenant: 5}} },
	func(scenario *Scenario) { scenario.Policy = "best" },
	func(scenario *Scenario) { scenario.Retries = "often" },
	func(scenario *Scenario) { scenario.Tenants = []Tenant{{Share: -1}} },
	func(scenario *Scenario) { scenario.SpeedFactors = []float64{0} },
	func(scenario *Scenario) { scenario.Clients.TimeoutShares = []float64{0.9, 0.1} },
	func(scenario *Scenario) { scenario.Node.OverloadCollapse = OverloadCollapse{Slowdown: 2} },
	func(scenario *Scenario) { scenario.Daily.Amplitude = 2 },
	func(scenario *Scenario) { scenario.RecordedArrivals = []Arrival{{At: 2}, {At: 1}} },
	func(scenario *Scenario) { scenario.Classes[0].WorkDistribution = "wide" },
	func(scenario *Scenario) { scenario.Node.InitialSpeedShare = 0 },
}

// Run returns an error of one line for each invalid scenario.
func TestInvalidScenariosAreErrors(t *testing.T) {
	for i, change := range invalidChanges {
		scenario := RandomScenario(1)
		change(&scenario)
		if _, err := Run(scenario); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("change %d: got error %v, want an error of one line", i, err)
		}
	}
}
