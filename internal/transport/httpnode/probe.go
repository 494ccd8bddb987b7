package httpnode

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"mothridge/internal/core"
	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// maxLoadReportBytes bounds the part of a probe's response that is read as a load report.
const maxLoadReportBytes = 4 << 10

// Probe implements core.Upstream: it requests the health of the upstream, and its load report if
// Config.ProbeLoadReports is set. It blocks for Config.DialTimeout at most. The probe fails
// without a response of status 200 by then.
func (upstream *httpUpstream) Probe(ctx context.Context) (policy.LoadReport, error) {
	transport := upstream.transport
	ctx, cancel := context.WithTimeout(ctx, transport.pool.dialTimeout)
	defer cancel()
	conn, err := transport.pool.get(ctx, upstream)
	if err != nil {
		return roundtrip.UnknownLoad(), roundtrip.ProbeError(err)
	}
	result, _, err := conn.exchange(ctx, &core.Message{
		Method: http.MethodGet,
		Target: transport.probePath,
		Host:   upstream.address,
	})
	if err != nil {
		return roundtrip.UnknownLoad(), err
	}
	if result.StatusCode != http.StatusOK {
		return roundtrip.UnknownLoad(), fmt.Errorf("probe: status %d", result.StatusCode)
	}
	return policy.LoadReport{InFlight: transport.parseInFlight(loadReportOf(&result))}, nil
}

// loadReportOf returns the load report in a response, which is in a header field or the body.
func loadReportOf(result *response) string {
	if report := result.Header.Get("Server-Load"); report != "" {
		return report
	}
	return string(result.body[:min(len(result.body), maxLoadReportBytes)])
}

// parseInFlight returns the number of requests in flight that a load report of the form
// 'TEXT name=value, name=value' gives, or -1 where it gives no valid one.
func (transport *Transport) parseInFlight(report string) float64 {
	report, _ = strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name == "" || name != transport.loadReportField {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil && isCount(number) {
			return number
		}
	}
	return -1
}

// isCount reports whether a number is finite and not negative.
func isCount(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }
