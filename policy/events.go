// What the events bring: requests, results of attempts, entries of the endpoint list and
// load reports. The methods that take them are in balancer.go.

package policy

import "time"

// RequestID names a request. The program picks it and never uses one twice.
type RequestID uint64

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int           // index into Config.Classes
	Tenant       int           // index into Config.Tenants
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // 0 where unknown
	ClientRetry  bool          // marked by the client as a retry of its own
}

// AttemptOutcome is the end of one attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // numbered from 0 in the order of Host.Send for this request
	Result    AttemptResult
	Completed bool // the client has its answer, or waits for none any more
}

// AttemptResult says how an attempt ended.
type AttemptResult int

// The results of an attempt. Rejected, ConnectionFailed and NotSent prove that it never
// ran; after any other one, and after one not named here, it may have run.
const (
	Served           AttemptResult = iota
	ServerError                    // an error in response
	Rejected                       // by the endpoint, before it ran
	TimedOut                       // no response within its timeout
	ConnectionFailed               // no connection, or it broke before the request was complete
	ConnectionReset                // the connection broke later
	Cancelled                      // by Host.Cancel
	NotSent                        // for a reason of this machine
)

// resultNames appear in logs and metrics.
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

// provesNotRun says that the endpoint has not started the request and never will.
func (result AttemptResult) provesNotRun() bool {
	return result == Rejected || result == ConnectionFailed || result == NotSent
}

// EndpointID names an endpoint; it stays the same when the endpoint restarts.
type EndpointID uint64

// Health is the state of an endpoint in the list.
type Health int

// The states of an endpoint.
const (
	Removed  Health = iota // gets nothing more and is forgotten
	Draining               // finishes its requests and gets nothing more
	Ready
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int // endpoints of a cell drop repeats of each other's requests: ScopeCell
	Health    Health
	Weight    float64       // nominal size, relative to other endpoints; unless above 0 it counts as 1
	StartedAt time.Duration // the last start, on the balancer's clock; 0 means long ago
}

// UpdateKind says how the entries of an update of the list apply.
type UpdateKind int

// The kinds of updates.
const (
	FullUpdate   UpdateKind = iota // all endpoints; one that is absent is removed
	DeltaUpdate                    // only changed entries
	CachedUpdate                   // all endpoints as last known, maybe outdated
	FailedUpdate                   // a call failed or the watch ended; no entries
)

// LoadReport is what an endpoint reports of itself. A negative number is unknown.
type LoadReport struct {
	InFlight float64 // requests that it holds, of all balancers
}

// unknownLoad is the report of a probe that brought none.
var unknownLoad = LoadReport{InFlight: -1}

func (report LoadReport) known() bool { return report.InFlight >= 0 }
