package load

import (
	"fmt"
	"net"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
)

// Options say what to send, and where.
type Options struct {
	Scenario    fleet.Scenario
	Protocol    peers.Protocol
	Targets     []string       // sidecars' addresses: the scenario's sidecars are mapped to them round robin
	MaxRequests int            // more is an error before the first starts
	Progress    func(Progress) // called every second on a goroutine of its own; may be nil
}

// Progress is how far a load has come.
type Progress struct {
	Elapsed, Duration              time.Duration
	Started, Total, InFlight       int // requests
	Served, Rejected, Failed, Lost uint64
	P50, P99                       time.Duration // of the latency
}

// Result is what a load measured.
type Result struct {
	fleet.Result
	StartDelay *hdrhistogram.Histogram // how long after its planned time a request started, in µs: the generator's own error
	Unexpected []string                // responses that no scenario has: lost, invalid, after the deadline
}

// maxUnexpected is how many unexpected responses are kept.
const maxUnexpected = 20

// addUnexpected keeps an unexpected response, up to the bound.
func (r *Result) addUnexpected(format string, args ...any) {
	if len(r.Unexpected) < maxUnexpected {
		r.Unexpected = append(r.Unexpected, fmt.Sprintf(format, args...))
	}
}

// Loopback checks that an address is on this machine's loopback interface.
func Loopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: a loopback address and a port are meant, such as 127.0.0.1:7070", address)
	}
	return nil
}
