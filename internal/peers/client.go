package peers

import (
	"context"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	Served         Outcome = iota
	Rejected               // a retry is harmless
	Failed                 // no promise about the effect
	InvalidRequest         // the sidecar considers the request wrong
	Lost                   // no complete response
)

// outcomeNames are printed by 'sidecar try'.
var outcomeNames = [...]string{
	Served:         "served",
	Rejected:       "refused",
	Failed:         "failed",
	InvalidRequest: "rejected",
	Lost:           "lost",
}

// String returns the outcome as 'sidecar try' prints it: 'refused' for Rejected and 'rejected' for
// InvalidRequest.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what a client got for a request.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // Rejected: how long to stay away; 0: not said
	Body       []byte        // Served: of the response
	Text       string        // the reason, where the response has one
	Err        error         // Lost: the error
}

// lost is the result of a request without a complete response.
func lost(err error) Result { return Result{Outcome: Lost, Err: err} }

// Client sends requests to a sidecar and retries none of them. It is safe for concurrent use.
type Client interface {
	// Do sends a request and blocks until its response or the end of ctx.
	Do(ctx context.Context, call Call) Result
	// Close closes the connections that are kept.
	Close()
}

// NewClient makes a client of a protocol. It connects with its first request.
func NewClient(protocol Protocol, addr string) Client {
	if protocol == RPC {
		return &rpcClient{addr: addr}
	}
	return &httpClient{addr: addr}
}
