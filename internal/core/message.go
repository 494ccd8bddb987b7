package core

import "time"

// Message is what is forwarded to an upstream, in terms of no protocol. Fields and Body must not
// be changed after Submit: the goroutine of an attempt reads them, also after the client has
// disconnected.
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
