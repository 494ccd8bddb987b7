package peers

import "time"

// Protocol is the protocol that clients and upstreams use.
type Protocol string

// Protocols of clients and upstreams.
const (
	HTTP Protocol = "http"        // HTTP/1.1
	RPC  Protocol = "msgpack-rpc" // MessagePack-RPC
)

// Call is a request. Clients send it and upstreams read it.
type Call struct {
	ID             string
	Class          string
	Tenant         string
	IdempotencyKey string
	NotIdempotent  bool          // in HTTP: a POST without an idempotency key
	Timeout        time.Duration // time left until the client's deadline
	Body           []byte
	HeaderFields   map[string]string // additional header fields that a client sends
	ClientRetry    bool              // the client marks the request as its own retry

	// Attempt is set by an upstream with a ledger: the number of times that the request has reached
	// an upstream, from 1.
	Attempt int
	// HeaderValue is set by an upstream. It returns the value of a header field: in HTTP the first value,
	// in MessagePack-RPC all values joined by commas, and "" if the field is absent.
	HeaderValue func(name string) string
}

// ResponseAction is how an upstream responds to a request.
type ResponseAction int

// Response actions. All of them except Reject execute the request's effect.
const (
	Serve       ResponseAction = iota // respond with success
	Error                             // respond that the request failed
	Reject                            // respond that the request was not started; its effect is not executed
	Hang                              // do not respond
	Reset                             // reset the connection
	Truncate                          // close the connection after TruncateAt bytes of the response
	Duplicate                         // respond twice
	Malformed                         // respond with bytes that are not a message of the protocol
	Unsolicited                       // respond, and also write a response to no request
)

// Response is what a script decides for a request. The zero value serves the request immediately.
type Response struct {
	Action     ResponseAction
	Delay      time.Duration // time before the response
	Body       []byte        // response body; nil: the request's id
	TruncateAt int           // for Truncate: number of bytes of the response to write

	HeaderFields map[string]string // for Serve: additional header fields of the response

	// WaitForAction, if set, blocks and returns the action. In HTTP, WaitForAction runs after Delay; in
	// MessagePack-RPC it replaces Delay. WaitForAction must return once cancelled is closed. In HTTP,
	// cancelled is closed when the upstream closes; in MessagePack-RPC, when the request is cancelled,
	// but not when its connection ends.
	WaitForAction func(cancelled <-chan struct{}) ResponseAction
}

// Script decides how an upstream responds to a request. Each connection's goroutine calls it, so it
// must be safe for concurrent use.
type Script func(Call) Response

// ServeAll is a script that serves each request immediately.
func ServeAll(Call) Response { return Response{} }
