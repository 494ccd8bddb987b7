package fleet

import "time"

// PlannedArrival is a request as a scenario creates it.
type PlannedArrival struct {
	Arrival
	// Sidecar that gets the request, from 0.
	Sidecar int
}

// PlanArrivals returns the requests that a run of the scenario creates, with their times and work, in order of time.
// The error says what is wrong with the scenario.
func PlanArrivals(scenario Scenario) ([]PlannedArrival, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return nil, err
	}
	var plan []PlannedArrival
	sim.plan = &plan
	for _, fault := range scenario.Faults {
		if fault.Kind == TrafficBurst { // the only one that changes arrivals
			sim.schedule(fault.Start, func() { sim.injectFault(fault) })
		}
	}
	sim.startArrivals()
	for _, sidecar := range sim.sidecars {
		sidecar.stopped = true
		sidecar.cancel(sidecar.balancerTimer)
	}
	sim.processEvents()
	return plan, nil
}

func (sidecar *sidecar) plannedArrival(request *clientRequest) PlannedArrival {
	arrival := Arrival{
		At:     sidecar.now,
		Class:  request.class,
		Tenant: request.tenant,
		Work:   time.Duration(request.work * float64(time.Second)),
	}
	return PlannedArrival{arrival, sidecar.number}
}
