// Limits based on load reports: an endpoint gets no attempt while the requests that it has in flight from all
// balancers have reached its share plus a tolerance.

package policy

import "time"

const (
	loadReportFreshness = time.Second // an older load report is ignored

	// loadReportTolerance is the number of requests that an endpoint may have above its share, because
	// most of the reported requests end before the report is used.
	loadReportTolerance = 2

	// requestsPerLoadReport is the number of requests received for each probe for a load report. It does
	// not apply while traffic is low.
	requestsPerLoadReport = 2
)

// recordLoadReport stores the number of requests that the endpoint has in flight from other balancers.
func (e *endpointState) recordLoadReport(now time.Duration, report LoadReport) {
	e.loadReportedAt = now
	e.otherBalancersInFlight = max(0, report.InFlight-float64(e.inFlight))
}

// reportedFull reports whether an endpoint has at least its share, plus a tolerance, of the requests
// that the fleet has in flight while all tenants use their full quotas. The number of requests at the
// endpoint comes from its load report and the current attempts of this balancer; an old load report is
// ignored.
func (b *Balancer) reportedFull(now time.Duration, endpoint *endpointState) bool {
	if now-endpoint.loadReportedAt >= loadReportFreshness {
		return false
	}
	inFlight := endpoint.otherBalancersInFlight + float64(endpoint.inFlight)
	return inFlight >= loadReportTolerance+b.weights.proportionalShare(b.fleetInFlight, endpoint)
}

// probeForLoadReport probes the endpoints in turn, one for each requestsPerLoadReport requests. While
// traffic is low, this is not necessary, because the probes before dispatch return load reports.
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
