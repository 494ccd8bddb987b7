// Probes before dispatch, where a balancer has too little traffic to learn an endpoint's state from it: the
// next endpoints are probed, and the attempt goes to the first that responds, or to the less loaded where
// probes bring load reports (power of two choices). Loads are requests; costs are set against a value of 1.

package policy

import "time"

const (
	lowTrafficRate        = 1.0  // own requests a second for each endpoint; below, traffic is low
	probesPerRequest      = 2    // a second candidate brings most of what more could bring
	assumedSuccesses      = 10.0 // requests taken to have succeeded before any was counted
	secondCandidateEvents = 2    // event resolutions that a known load waits for a lower one
)

func (b *Balancer) updateLowTraffic() {
	rate := b.totalQuota / float64(b.cfg.FleetSize*max(1, len(b.endpoints)))
	b.lowTraffic = b.cfg.ProbesAllowed && rate < lowTrafficRate
}

// probesPayOff says that probes cost less than what requests are expected to lose without.
func (b *Balancer) probesPayOff() bool {
	expectedLoss := 1 + b.load.offered - b.load.succeeded
	cost := probesPerRequest * b.cfg.ProbeCost * (b.load.offered + assumedSuccesses)
	return b.lowTraffic && expectedLoss > cost
}

// probeCandidates health-checks two endpoints in round-robin order and keeps a slot until one responds.
func (b *Balancer) probeCandidates(now time.Duration, request *requestState, first *endpointState) {
	request.bulkhead.inUse++
	request.awaitingProbes = true
	request.bestProbed = nil
	request.pendingProbes = 0
	request.probeDeadline = now + time.Duration(overloadLatencyShare*float64(request.class.LatencyObjective))
	for candidate := first; candidate != nil; candidate = b.selectEndpoint(now, request) {
		request.probed = append(request.probed, candidate)
		candidate.probeWaiters = append(candidate.probeWaiters, request)
		b.host.Probe(candidate.ID)
		request.pendingProbes++
		if request.pendingProbes == probesPerRequest {
			break
		}
	}
}

func (r *requestState) stopAwaitingProbes() {
	if r.awaitingProbes {
		r.awaitingProbes = false
		r.bulkhead.inUse--
	}
}

// onProbeResult passes a result on to the request that has waited longest for this endpoint.
func (b *Balancer) onProbeResult(now time.Duration, endpoint *endpointState, ok bool, report LoadReport) {
	request := endpoint.probeWaiters[0]
	endpoint.probeWaiters = endpoint.probeWaiters[1:]
	if request.awaitingProbes {
		request.pendingProbes--
		if ok {
			b.considerCandidate(now, request, endpoint, report)
		}
		if request.pendingProbes == 0 || now >= request.probeDeadline {
			b.dispatchToBest(now, request)
		}
	}
	b.dispatchQueued(now)
}

// considerCandidate keeps the less loaded of the endpoints that responded. Without a load report the
// request goes there at once; with one it waits a moment for the other.
func (b *Balancer) considerCandidate(now time.Duration, request *requestState, candidate *endpointState,
	report LoadReport) {
	load := (1 + max(0, report.InFlight)) / (candidate.Weight * b.slowStartFactor(now, candidate))
	better := request.bestProbed == nil || load < request.bestProbedLoad
	if !better {
		return
	}
	request.bestProbed = candidate
	request.bestProbedLoad = load
	request.probeDeadline = now
	if report.known() {
		wait := secondCandidateEvents * b.cfg.EventResolution
		request.probeDeadline = now + wait
		b.setTimer(now, wait)
	}
}

// dispatchToBest starts the attempt at the best candidate, or gives the request others, or ends it.
func (b *Balancer) dispatchToBest(now time.Duration, request *requestState) {
	request.stopAwaitingProbes()
	inTime := request.bestProbed != nil && now < request.startDeadline()
	if !inTime || !b.startAttempt(now, request, request.bestProbed) {
		b.retryOrFinish(now, request)
		return
	}
	request.pendingProbes = 0
	b.counters.ProbedSends++
}
