package fleet

import "time"

// PlannedArrival is a request that a scenario creates.
type PlannedArrival struct {
	Arrival
	// Sidecar is the number of the sidecar that receives the request, from 0.
	Sidecar int
}

// PlanArrivals returns the requests that a run of the scenario creates, with their times and work, in order of time.
// It returns an error if the scenario is invalid.
func PlanArrivals(scenario Scenario) ([]PlannedArrival, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return nil, err
	}
	var plan []PlannedArrival
	sim.plan = &plan
	for _, fault := range scenario.Faults {
		if fault.Kind == TrafficBurst { // the only kind of fault that changes arrivals
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
