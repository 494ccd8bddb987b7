// Load reports limit the requests in flight that an endpoint gets from all balancers to its share.

package policy

import "time"

const (
	loadReportFreshness   = time.Second // an older report is ignored
	loadReportTolerance   = 2           // requests above the share: most end before a report is used
	requestsPerLoadReport = 2           // received for each probe for a report, unless traffic is low
)

// recordLoadReport notes the requests that are not from this balancer.
func (e *endpointState) recordLoadReport(now time.Duration, report LoadReport) {
	e.reportedAt = now
	e.foreignInFlight = max(0, report.InFlight-float64(e.inFlight))
}

// reportedFull says that an endpoint holds its share of what the fleet has in flight at its quotas, by a
// fresh report and the own attempts.
func (b *Balancer) reportedFull(now time.Duration, endpoint *endpointState) bool {
	if now-endpoint.reportedAt >= loadReportFreshness {
		return false
	}
	inFlight := endpoint.foreignInFlight + float64(endpoint.inFlight)
	return inFlight >= loadReportTolerance+b.weights.proportionalShare(b.fleetInFlight, endpoint)
}

// probeForLoadReport probes one endpoint after the other. Where traffic is low, other probes bring reports.
func (b *Balancer) probeForLoadReport() {
	due := b.cfg.ProbeLoadReports && !b.lowTraffic && b.requestsReceived%requestsPerLoadReport == 0
	if !due || len(b.endpoints) == 0 {
		return
	}
	next := b.requestsReceived / requestsPerLoadReport % len(b.endpoints)
	if endpoint := b.endpoints[next]; endpoint.Health == Ready {
		b.host.Probe(endpoint.ID)
	}
}
