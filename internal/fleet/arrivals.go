package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// startArrivals starts the arrival process of each sidecar, or the replay of recorded arrivals.
func (sim *simulation) startArrivals() {
	if len(sim.scenario.RecordedArrivals) > 0 {
		sim.replayArrival(0)
		return
	}
	for _, sidecar := range sim.sidecars {
		sidecar.startArrivalProcess()
	}
}

// replayArrival schedules the recorded request with the given number, and then the requests after it. Sidecars get
// the recorded requests in round-robin order.
func (sim *simulation) replayArrival(number int) {
	if number >= len(sim.scenario.RecordedArrivals) {
		return
	}
	recorded := sim.scenario.RecordedArrivals[number]
	sim.schedule(recorded.At-sim.now, func() {
		request := &clientRequest{class: recorded.Class, tenant: recorded.Tenant}
		sim.sidecars[number%len(sim.sidecars)].beginRequest(request, recorded.Work)
		sim.replayArrival(number + 1)
	})
}

// arrivalProcess creates a sidecar's new requests as a Poisson process. If the rate varies, the process runs at the
// peak rate and drops arrivals at random (thinning; Lewis and Shedler, 1979).
type arrivalProcess struct {
	*sidecar
	rate       float64 // arrivals per second at the peak
	peakFactor float64 // peak rate / mean rate
}

func (sidecar *sidecar) startArrivalProcess() {
	peakFactor := sidecar.scenario.peakRateFactor()
	weight, total := sidecar.scenario.trafficWeight(sidecar.number), sidecar.scenario.totalTrafficWeight()
	rate := sidecar.arrivalRate * weight / total * peakFactor
	process := &arrivalProcess{sidecar, rate, peakFactor}
	process.scheduleNext()
}

// trafficWeight returns a sidecar's weight by Zipf's law.
func (scenario *Scenario) trafficWeight(sidecar int) float64 {
	return math.Pow(float64(sidecar+1), -scenario.TrafficSkew)
}

func (scenario *Scenario) totalTrafficWeight() float64 {
	total := 0.0
	for sidecar := range scenario.Sidecars {
		total += scenario.trafficWeight(sidecar)
	}
	return total
}

// peakRateFactor returns the greatest factor on the mean arrival rate that the daily variation and the traffic bursts
// can reach.
func (scenario *Scenario) peakRateFactor() float64 {
	daily := 1 + scenario.Daily.Amplitude
	peak := daily
	for _, fault := range scenario.Faults {
		if fault.Kind == TrafficBurst {
			peak = max(peak, daily*max(1, fault.RateFactor))
		}
	}
	return peak
}

// scheduleNext draws the time to the next arrival and schedules it.
func (process *arrivalProcess) scheduleNext() {
	interarrival := process.arrivalRandom.ExpFloat64() / process.rate * float64(time.Second)
	process.scheduleEvent(time.Duration(interarrival), process, onlyEvent)
}

// handleEvent processes an arrival: it schedules the next one and begins the request unless thinning drops it.
func (process *arrivalProcess) handleEvent(eventKind) {
	if process.now > process.scenario.Duration {
		return
	}
	process.scheduleNext()
	if process.peakFactor > 1 && process.arrivalRandom.Float64()*process.peakFactor >= process.rateFactor() {
		return
	}
	classes := process.scenario.Classes
	request := &clientRequest{}
	request.class = weightedIndex(process.requestRandom, len(classes), func(i int) float64 { return classes[i].Share })
	if tenants := len(process.scenario.Tenants); tenants > 0 {
		request.tenant = weightedIndex(process.requestRandom, tenants, process.tenantShare)
	}
	process.beginRequest(request, 0)
}

// tenantShare returns a tenant's current share of the traffic, bursts included. A scenario without tenants has one,
// with a share of 1.
func (process *arrivalProcess) tenantShare(tenant int) float64 {
	if len(process.scenario.Tenants) == 0 {
		return process.rateFactors[0]
	}
	return process.scenario.Tenants[tenant].Share * process.rateFactors[tenant]
}

// rateFactor returns the current factor on the mean arrival rate.
func (process *arrivalProcess) rateFactor() float64 {
	current, baseline := 0.0, 0.0
	for tenant, factor := range process.rateFactors {
		share := process.tenantShare(tenant)
		current += share
		baseline += share / max(factor, 1e-9)
	}
	return current / baseline * process.scenario.Daily.factorAt(process.now)
}

// factorAt returns the factor on the mean arrival rate at the given time.
func (variation *RateVariation) factorAt(at time.Duration) float64 {
	if variation.Period <= 0 {
		return 1
	}
	return 1 + variation.Amplitude*math.Sin(2*math.Pi*float64(at)/float64(variation.Period))
}

// drawWork draws the work of a request, in seconds on a core of speed 1.
func (class *Class) drawWork(random *rand.Rand) float64 {
	mean := class.Work.Seconds()
	switch class.WorkDistribution {
	case Exponential:
		return mean * random.ExpFloat64()
	case LogNormal:
		variance := math.Log(1 + class.CoefficientOfVariation*class.CoefficientOfVariation)
		factor := distuv.LogNormal{Mu: -variance / 2, Sigma: math.Sqrt(variance), Src: random} // its mean is 1
		return mean * factor.Rand()
	case Fixed:
	}
	return mean
}
