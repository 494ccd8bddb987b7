// The data of events: requests, results of attempts, entries of the endpoint list and load
// reports. The event methods of the Balancer are in balancer.go.

package policy

import "time"

// RequestID identifies a request. The program chooses the ID and never uses it for two requests.
type RequestID uint64

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int           // index into Config.Classes
	Tenant       int           // index into Config.Tenants
	Timeout      time.Duration // time until the client stops waiting
	ExpectedWork time.Duration // time that the endpoint is expected to work on the request; 0 if unknown
	ClientRetry  bool          // the client marked the request as a retry
}

// AttemptOutcome describes the end of one attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // numbered from 0 in the order of the calls of Host.Send for this request
	Result    AttemptResult
	Completed bool // the client has its response, or no longer waits for a response
}

// AttemptResult is how an attempt ended.
type AttemptResult int

// The results of an attempt. Rejected, ConnectionFailed and NotSent prove that the endpoint did not
// run the request and never will. After any other result, including a value that is not listed here,
// the request may have run.
const (
	Served           AttemptResult = iota // the endpoint responded without an error
	ServerError                           // the endpoint responded with an error
	Rejected                              // the endpoint rejected the request before running it
	TimedOut                              // no response arrived within the timeout of the attempt
	ConnectionFailed                      // no connection, or it failed before the request was fully sent
	ConnectionReset                       // the connection failed after the request was fully sent
	Cancelled                             // ended by Host.Cancel
	NotSent                               // not sent for a reason on this machine
)

// resultNames are the names of the results in logs and metrics.
var resultNames = [...]string{
	Served:           "served",
	ServerError:      "errored",
	Rejected:         "turned_away",
	TimedOut:         "timed_out",
	ConnectionFailed: "no_connection",
	ConnectionReset:  "broken",
	Cancelled:        "cancelled",
	NotSent:          "not_sent",
}

// String returns the name of the result in logs and metrics.
func (result AttemptResult) String() string {
	if result < 0 || int(result) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[result]
}

// provesNotRun reports whether the result proves that the endpoint has not run the request and never will.
func (result AttemptResult) provesNotRun() bool {
	return result == Rejected || result == ConnectionFailed || result == NotSent
}

// EndpointID identifies an endpoint. An endpoint keeps its ID when it restarts.
type EndpointID uint64

// Health is the state of an endpoint in the list.
type Health int

// The states of an endpoint.
const (
	Removed  Health = iota // gets no further attempts and is removed from the list
	Draining               // finishes the requests in flight and gets no further attempts
	Ready                  // may get attempts
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int // endpoints of one cell drop repeats of each other's requests (ScopeCell)
	Health    Health
	Weight    float64       // size relative to other endpoints; counts as 1 unless finite and above 0
	StartedAt time.Duration // time of the last start, on the balancer's clock; 0 means long ago

	// AddressReused reports that another endpoint is, or was, listed at the same address, so that attempts at
	// this endpoint may have reached the process of the other one.
	AddressReused bool
}

// UpdateKind is how the entries of an update apply to the endpoint list.
type UpdateKind int

// The kinds of updates of the endpoint list.
const (
	FullUpdate   UpdateKind = iota // all endpoints; an endpoint without an entry is removed
	DeltaUpdate                    // changed endpoints only
	CachedUpdate                   // all endpoints from a cache, possibly outdated
	FailedUpdate                   // the watch request failed or the watch ended; no entries
)

// LoadReport is the load that an endpoint reports about itself. A negative number means unknown.
type LoadReport struct {
	InFlight float64 // requests of all balancers that the endpoint is processing
}

// unknownLoad stands for the load report of a probe that returned no load report.
var unknownLoad = LoadReport{InFlight: -1}

func (report LoadReport) known() bool { return report.InFlight >= 0 }
