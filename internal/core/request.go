package core

import (
	"errors"
	"time"

	"mothridge/policy"
)

// AnswerMargin is subtracted from a client's timeout by listeners: the client counts it from
// when it sends the request, the listener from when it reads the request.
const AnswerMargin = 5 * time.Millisecond

// ErrNotSent is returned by transports that wrote nothing, for a reason on this side: Message.AllowSend
// forbade it, or this machine lacks a resource.
var ErrNotSent = errors.New("not sent")

// Message is what is forwarded to an upstream, in terms of no protocol. Fields and Body must not
// be changed after Submit: concurrent attempts read them.
type Message struct {
	Method string              // GET if the request is safe to repeat, else POST
	Target string              // path and query, as received
	Host   string              // host name the client addressed
	Fields map[string][]string // by canonical name, Request-Id and the other fields of the request included
	Body   []byte

	// ClientGone reports whether the client has disconnected by now. Listeners may leave it nil.
	// It may be called from any goroutine until the request is completed.
	ClientGone func() bool
	// RequiresLength says that the listener cannot forward a response whose end is uncertain:
	// see Response.DelimitedByClose.
	RequiresLength bool
	// WriteDeadline is the latest time at which the last byte of an attempt may be written; zero:
	// no bound. Set by the Core in the copy that an attempt has.
	WriteDeadline time.Time

	guard *attemptGuard // in the copy that an attempt has; nil elsewhere
}

// Request is a client's request. Its listener sets the exported fields; each Handler that it
// passes may wrap Respond and OnClientGone before it calls the next one. From Submit to the Core
// on, nothing changes them.
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

	history  requestHistory
	id       policy.RequestID
	taken    time.Duration // by the module's clock
	over     bool          // answered, or the client has gone
	attempts []*attempt
	out      int  // attempts that have not ended
	timedOut bool // the last attempt did
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
