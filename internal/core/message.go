package core

import "time"

// Message is the part of a request that is forwarded to an upstream, in a form that does not depend on
// the protocol. Fields and Body must not be changed after Submit, because the goroutines of attempts may
// read them even after the client has disconnected.
type Message struct {
	Method string              // GET if the request is safe to repeat, otherwise POST
	Target string              // path and query, as received
	Host   string              // host name that the client addressed
	Fields map[string][]string // header fields by canonical name, including Request-Id
	Body   []byte

	// ClientDisconnected reports whether the client has disconnected. Listeners may leave
	// ClientDisconnected nil. It may be called from any goroutine until the request is completed.
	ClientDisconnected func() bool
	// RequiresLength reports that the listener cannot forward a response whose end is uncertain: see
	// Response.DelimitedByClose.
	RequiresLength bool
	// WriteDeadline is the latest time at which the last byte of an attempt may be written; zero means
	// no bound. The Core sets WriteDeadline in the attempt's copy of the message.
	WriteDeadline time.Time

	guard *attemptGuard // set in an attempt's copy of the message; nil otherwise
}
