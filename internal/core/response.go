package core

import (
	"time"

	"mothridge/policy"
)

// Result is the outcome of a request as reported to its client.
type Result int

// The results. Only a response with the result Served has a body.
const (
	Served    Result = iota // the response of an upstream
	Rejected                // the request may safely be retried, preferably after Response.RetryAfter
	Failed                  // the request may have taken effect
	TimedOut                // the deadline passed; the request may have taken effect
	Duplicate               // not handled, because another request with the same Request-Id is being handled
)

// String returns the result's name in metrics.
func (r Result) String() string { return ResultNames()[r] }

// ResultNames returns the results' names in metrics, by number.
func ResultNames() []string {
	return []string{"served", "refused", "failed", "timed_out", "duplicate"}
}

// Response is the response to a client.
type Response struct {
	Result Result
	Fields map[string][]string // header fields by canonical name, if Served; the listener may change them
	Body   []byte              // set only if Served
	// DelimitedByClose reports that the upstream stated no length for the body of a Served response and
	// ended the body by closing its connection in order. Such a close does not prove that the body is
	// complete, so the listener must end its own response in the same way.
	DelimitedByClose bool
	RetryAfter       time.Duration // if Rejected: how long the client should wait before a retry
	Detail           string        // if Rejected: the reason in one line, if a Handler before the Core provides it
}

// respond completes a request with a response, unless the request is already completed.
func (c *Core) respond(id policy.RequestID, response Response) {
	request := c.requests.byID[id]
	if request == nil || request.completed {
		return
	}
	request.history.complete(time.Now(), false)
	c.requests.complete(request)
	if request.history.responded {
		reportViolation(&c.invariants.respondedTwice, "answered_twice", request.ID)
	}
	request.history.responded = true
	if c.config.OnResponse != nil {
		c.config.OnResponse(request.Class, response.Result, c.now-request.receivedAt)
	}
	request.Respond(response)
}
