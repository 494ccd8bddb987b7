package peers

import "time"

// Protocol is what clients and upstreams speak.
type Protocol string

// The protocols.
const (
	HTTP Protocol = "http"        // HTTP/1.1
	RPC  Protocol = "msgpack-rpc" // MessagePack-RPC
)

// Call is a request, as a client sends it and an upstream reads it.
type Call struct {
	ID             string
	Class          string
	Tenant         string
	IdempotencyKey string
	NotIdempotent  bool          // in HTTP: POST without a key
	Timeout        time.Duration // time left until the client's deadline
	Body           []byte
	Fields         map[string]string // a client's further header fields
	ClientRetry    bool              // a client's own retry

	// Attempt is set at an upstream with a ledger: how often the request has reached one, from 1.
	Attempt int
	// Field is set at an upstream. It returns a header field's value: the first one in HTTP,
	// all of them joined by commas in MessagePack-RPC, "" where there is none.
	Field func(name string) string
}

// ResponseAction is what an upstream does with a request.
type ResponseAction int

// The response actions. Each but Reject executes the request's effect.
const (
	Serve       ResponseAction = iota // respond with success
	Error                             // respond that the request failed
	Reject                            // respond that it was not started; no effect
	Hang                              // do not respond
	Reset                             // reset the connection
	Truncate                          // end the connection after TruncateAt bytes of the response
	Duplicate                         // respond twice
	Malformed                         // respond with bytes that are no message of the protocol
	Unsolicited                       // respond, and also to a request that does not exist
)

// Response is what a script decides for a request. The zero value serves it at once.
type Response struct {
	Action     ResponseAction
	Delay      time.Duration // before the response
	Body       []byte        // nil: the request's id
	TruncateAt int           // Truncate: bytes of the response that are written

	// Wait, if set, blocks and returns the action: after Delay in HTTP, instead of it in
	// MessagePack-RPC. It must return once cancelled is closed. In HTTP that is when the upstream
	// closes; in MessagePack-RPC when the request is cancelled, and not when its connection ends.
	Wait func(cancelled <-chan struct{}) ResponseAction
}

// Script decides how an upstream responds. It is called from each connection's goroutine.
type Script func(Call) Response

// ServeAll is a script that serves each request at once.
func ServeAll(Call) Response { return Response{} }
