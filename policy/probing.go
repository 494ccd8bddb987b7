// Probes before dispatch, which are used while the balancer's own traffic is too low to show the state
// of the endpoints. Before an attempt, the next endpoints in round-robin order are probed. The attempt
// goes to the first endpoint that responds, or, if probes return load reports, to the less loaded
// endpoint (power of two choices). Loads are numbers of requests. Costs are relative to the value of a
// served request, which is 1.

package policy

import "time"

const (
	lowTrafficRate   = 1.0  // own requests per second per endpoint; traffic is low below this rate
	probesPerRequest = 2    // a second candidate gives most of the gain that more candidates could give
	assumedSuccesses = 10.0 // requests assumed to have succeeded before any request is counted

	// secondCandidateWaitResolutions is how long a request with a known candidate waits for a candidate with a
	// lower load, in units of Config.EventResolution.
	secondCandidateWaitResolutions = 2
)

// updateLowTraffic decides whether traffic is low, from the quotas and the number of endpoints.
func (b *Balancer) updateLowTraffic() {
	rate := b.totalQuota / float64(b.cfg.FleetSize*max(1, len(b.endpoints)))
	b.lowTraffic = b.cfg.ProbesAllowed && rate < lowTrafficRate
}

// shouldProbe reports whether the cost of probes is lower than the expected loss of requests without probes.
func (b *Balancer) shouldProbe() bool {
	expectedLoss := 1 + b.load.offered - b.load.succeeded
	cost := probesPerRequest * b.cfg.ProbeCost * (b.load.offered + assumedSuccesses)
	return b.lowTraffic && expectedLoss > cost
}

// probeCandidates probes two endpoints in round-robin order. The request uses a slot until it is
// dispatched or the wait for the results ends.
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

// stopAwaitingProbes ends the wait for probes, if there is one, and frees the slot that it uses.
func (r *requestState) stopAwaitingProbes() {
	if r.awaitingProbes {
		r.awaitingProbes = false
		r.bulkhead.inUse--
	}
}

// onProbeResult applies the result of a probe to the request that has waited longest for this endpoint.
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

// considerCandidate keeps the less loaded of the endpoints that responded. Without a load report, the
// request is dispatched to the endpoint at once. With a load report, the request waits a short time
// for the result of the other probe.
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
		wait := secondCandidateWaitResolutions * b.cfg.EventResolution
		request.probeDeadline = now + wait
		b.setTimer(now, wait)
	}
}

// dispatchToBest starts an attempt at the best candidate. If that is not possible, the request is
// dispatched to other endpoints, queued, rejected or failed.
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
