package peers

import (
	"context"
	"time"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

// Outcomes of a request.
const (
	Served         Outcome = iota
	Rejected               // a retry is safe
	Failed                 // the request may have been executed
	InvalidRequest         // the sidecar considers the request invalid
	Lost                   // no complete response arrived
)

// outcomeNames contains the names that 'sidecar try' prints.
var outcomeNames = [...]string{
	Served:         "served",
	Rejected:       "refused",
	Failed:         "failed",
	InvalidRequest: "rejected",
	Lost:           "lost",
}

// String returns the name that 'sidecar try' prints for the outcome: 'refused' for Rejected and
// 'rejected' for InvalidRequest.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what a client received for a request.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // for Rejected: time to wait before a retry; 0 if the response has none
	Body       []byte        // for Served: the response body
	// HeaderFields are the header fields of a Served response, by name as received.
	HeaderFields map[string][]string
	Text         string // the reason, if the response has one
	Err          error  // for Lost: the error
}

// lost returns the result of a request without a complete response.
func lost(err error) Result { return Result{Outcome: Lost, Err: err} }

// Client sends requests to a sidecar and never retries them. Client is safe for concurrent use.
type Client interface {
	// Do sends a request and blocks until the response arrives or ctx ends.
	Do(ctx context.Context, call Call) Result
	// Close closes the client's open connections.
	Close()
}

// NewClient returns a client that uses protocol. The client connects when it sends its first request.
func NewClient(protocol Protocol, addr string) Client {
	if protocol == RPC {
		return &rpcClient{addr: addr}
	}
	return &httpClient{addr: addr}
}
