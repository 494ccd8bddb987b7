package core

import (
	"time"

	"mothridge/policy"
)

// ResponseMargin is subtracted from a client's timeout by listeners: the client counts it from
// when it sends the request, the listener from when it reads the request.
const ResponseMargin = 5 * time.Millisecond

// Request is a client's request. Its listener sets the exported fields; each Handler that it
// passes may wrap Respond before it calls the next one; only package quotas sets OnClientGone. From
// Submit to the Core on, nothing changes them.
type Request struct {
	Message
	ID           string        // Request-Id: while it is in use, another request with it is a Duplicate
	Class        int           // index into policy.Config.Classes
	Tenant       int           // index into policy.Config.Tenants
	ClientRetry  bool          // known to be a retry of the client's own
	ExpectedWork time.Duration // estimate; 0: unknown
	Deadline     time.Time     // when the client stops waiting

	// Respond receives the one response. The Core calls it on the event loop: it must not block.
	Respond func(Response)
	// OnClientGone, if set, is called by the Handler that set it once the client has disconnected
	// before its response. The Core does not call it.
	OnClientGone func()

	history requestHistory

	// Event loop only.
	policyID     policy.RequestID // its number in the Balancer; 0: not registered
	receivedAt   time.Duration    // on the Balancer's clock
	completed    bool             // it has its response, or its client has disconnected
	attempts     []*attempt       // by number
	inFlight     int              // attempts that have not ended
	lastTimedOut bool             // the attempt that ended last timed out
}

// ranOutOfTime reports whether a request that fails does so because its deadline passed: the Balancer
// may notice that before the attempt in flight ends with policy.TimedOut.
func (r *Request) ranOutOfTime() bool {
	return r.lastTimedOut || r.inFlight > 0
}

// Handler takes requests from listeners: the Core, or what precedes it in the chain (plug-ins,
// quotas). Its methods may be called from any goroutine.
type Handler interface {
	// Submit starts the handling of a request. Request.Respond is called once, possibly before
	// Submit returns, unless Abandon is called first. Submit may block while the event loop is
	// busy.
	Submit(*Request)
	// Abandon reports that the client of a submitted request has disconnected. Respond may
	// have been called nevertheless.
	Abandon(*Request)
	// HasRequest reports whether a request with that Request-Id is being handled.
	HasRequest(id string) bool
	// Ready reports whether an endpoint list is known.
	Ready() bool
}

// IndexByName returns the index of each name, as Request.Class and Request.Tenant need it.
func IndexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}
