package httpnode

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"mothridge/internal/core"
	"mothridge/internal/sockets"
	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// maxLoadReportBytes is the maximum length of the part of a probe's response body that is parsed as
// a load report.
const maxLoadReportBytes = 4 << 10

// Probe implements core.Upstream: it requests the health of the upstream, or the load report of the
// upstream if Config.ProbeLoadReports is set. It blocks for at most Config.DialTimeout. The probe
// fails if no response with status 200 is received by then.
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
		if sockets.IsReset(err) { // under an attempt it is no sign, because answers get lost so as well
			upstream.reportProcessEnd()
		}
		return roundtrip.UnknownLoad(), err
	}
	if result.StatusCode != http.StatusOK {
		return roundtrip.UnknownLoad(), fmt.Errorf("probe: unexpected status %d", result.StatusCode)
	}
	return policy.LoadReport{InFlight: transport.parseInFlight(loadReportOf(&result))}, nil
}

// loadReportOf returns the load report of a response: the value of the Server-Load header field, or
// the body if the response has no such field.
func loadReportOf(result *response) string {
	if report := result.Header.Get("Server-Load"); report != "" {
		return report
	}
	return string(result.body[:min(len(result.body), maxLoadReportBytes)])
}

// parseInFlight returns the number of requests in flight from a load report of the form
// 'TEXT name=value, name=value'. It returns -1 if the report contains no valid number for them.
func (transport *Transport) parseInFlight(report string) float64 {
	report, _ = strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name == "" || name != transport.loadReportField {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil && isValidCount(number) {
			return number
		}
	}
	return -1
}

// isValidCount reports whether number is finite and not negative.
func isValidCount(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }
