package load

import (
	"fmt"
	"net"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
)

// Options specify the requests to send and the sidecars that receive them.
type Options struct {
	Scenario    fleet.Scenario
	Protocol    peers.Protocol
	Targets     []string       // addresses of sidecars; the scenario's sidecars are mapped to them round robin
	MaxRequests int            // a scenario with more requests is an error before the first request starts
	Progress    func(Progress) // called every second on its own goroutine; may be nil
}

// Progress reports how much of a scenario's load has been sent and completed.
type Progress struct {
	Elapsed, Duration              time.Duration
	Started, Total, InFlight       int           // requests
	Served, Rejected, Failed, Lost uint64        // submissions
	P50, P99                       time.Duration // quantiles of the latency
}

// Result holds the measurements of a run over sockets.
type Result struct {
	fleet.Result
	StartDelay *hdrhistogram.Histogram // delay in µs between a request's planned time and its start: the generator's own error
	Unexpected []string                // responses that should never occur: lost, invalid, or after the deadline
}

// maxUnexpected is the maximum number of unexpected responses in a result.
const maxUnexpected = 20

// addUnexpected records an unexpected response, up to maxUnexpected of them.
func (r *Result) addUnexpected(format string, args ...any) {
	if len(r.Unexpected) < maxUnexpected {
		r.Unexpected = append(r.Unexpected, fmt.Sprintf(format, args...))
	}
}

// CheckLoopback returns an error unless an address is a loopback IP address with a port.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: must be a loopback address with a port, such as 127.0.0.1:7070", address)
	}
	return nil
}
