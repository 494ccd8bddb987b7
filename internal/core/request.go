package core

import (
	"time"

	"mothridge/policy"
)

// ResponseMargin is the time that listeners subtract from a client's timeout. The client counts its timeout
// from when it sends the request, but the listener counts it from when the listener reads the request.
const ResponseMargin = 5 * time.Millisecond

// Request is a client's request. Its listener sets the exported fields, except for OnClientDisconnected,
// which only package quotas sets. Each Handler in the chain may wrap Respond before it calls the next
// Handler. No exported field changes after the request was submitted to the Core.
type Request struct {
	Message
	ID           string        // Request-Id; while in use, another request with this ID is a Duplicate
	Class        int           // index into policy.Config.Classes
	Tenant       int           // index into policy.Config.Tenants
	ClientRetry  bool          // whether the request is known to be the client's own retry
	ExpectedWork time.Duration // estimated work; 0 if unknown
	Deadline     time.Time     // latest time for the response: ResponseMargin before the client's timeout expires

	// Respond receives the only response. The Core calls Respond on the event loop, so it must not block.
	Respond func(Response)
	// OnClientDisconnected, if set, is called when the client disconnects or cancels the request before its
	// response. The Handler that set OnClientDisconnected calls it; the Core does not.
	OnClientDisconnected func()

	history requestHistory

	// Fields used only by the event loop.
	policyID     policy.RequestID // the request's ID in the Balancer; 0 if not registered
	receivedAt   time.Duration    // on the Balancer's clock
	completed    bool             // the request has its response, or its client has disconnected or cancelled it
	attempts     []*attempt       // by attempt number
	inFlight     int              // attempts that have not ended
	abandoned    bool             // requestRegistry.abandon was called
	lastTimedOut bool             // whether the attempt that ended last timed out
}

// timedOut reports whether a failing request fails because its deadline has passed. The Balancer may
// fail the request at its deadline before the attempt in flight ends with policy.TimedOut, so an attempt
// in flight also means that the deadline has passed.
func (r *Request) timedOut() bool {
	return r.lastTimedOut || r.inFlight > 0
}

// Handler handles the requests of listeners. The Core is a Handler, and so are the plugin.Gate and the
// quotas.Gate before it in the chain. The methods may be called from any goroutine.
type Handler interface {
	// Submit starts the handling of a request. The Handler calls Request.Respond once, possibly before
	// Submit returns, unless Abandon is called first. Submit may block while the event loop is busy.
	Submit(*Request)
	// Abandon reports that the client of a submitted request has disconnected or has cancelled the
	// request. The Handler may have called Respond already.
	Abandon(*Request)
	// HasRequest reports whether a request with the given Request-Id is being handled.
	HasRequest(id string) bool
	// Ready reports whether an endpoint list is known.
	Ready() bool
}

// IndexByName returns the index of each name. Request.Class and Request.Tenant are such indexes.
func IndexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}
