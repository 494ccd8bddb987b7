package core

import (
	"time"

	"mothridge/policy"
)

// Result says how a request ended towards its client.
type Result int

// The results. Only Served has a body.
const (
	Served    Result = iota // an upstream's response
	Rejected                // a retry is harmless, best after Response.RetryAfter
	Failed                  // it may have taken effect
	TimedOut                // the same, because the deadline passed
	Duplicate               // not handled: another request with its Request-Id is
)

// String returns the result's name in metrics.
func (r Result) String() string { return ResultNames()[r] }

// ResultNames returns the results' names in metrics, by number.
func ResultNames() []string {
	return []string{"served", "refused", "failed", "timed_out", "duplicate"}
}

// Response is what a client gets.
type Response struct {
	Result Result
	Fields map[string][]string // if Served: by canonical name; the listener may change them
	Body   []byte              // if Served
	// DelimitedByClose says that the upstream ended the body of a Served response by closing its
	// connection in order, without a length. It is complete only as far as that can be relied on,
	// so a listener ends its response the same way.
	DelimitedByClose bool
	RetryAfter       time.Duration // if Rejected: how long the client should wait
	Detail           string        // if Rejected: the reason in one line, where a Handler before the Core gives one
}

// respond completes a request with a response, unless it is completed.
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
