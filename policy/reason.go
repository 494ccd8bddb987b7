// The reasons that logs and metrics give for a rejected or failed request.

package policy

// Reason is the reason why a request was rejected or failed.
type Reason int

// The reasons for which a request is rejected or failed.
const (
	NoReason          Reason = iota // the request is neither rejected nor failed
	InvalidRequest                  // the class or tenant is unknown, or no time is left
	TooLate                         // a response would arrive too late to have a value
	LoadShedding                    // too few recent requests met their latency objective
	QueueFull                       // all slots of the bulkhead are in use and its queue is full
	AttemptsExhausted               // all attempts are used, or the probes returned no result in time
	RetryNotAllowed                 // an earlier attempt may have run, and the request must not run again
	QueueTimeout                    // no slot or no endpoint became available in time
	ShuttingDown                    // the Balancer accepts no requests after Shutdown
	ReasonCount                     // the number of reasons
)

// reasonNames are the names of the reasons in logs and metrics.
var reasonNames = [ReasonCount]string{
	NoReason:          "none",
	InvalidRequest:    "unknown_class",
	TooLate:           "late",
	LoadShedding:      "shed",
	QueueFull:         "queue_full",
	AttemptsExhausted: "attempts_spent",
	RetryNotAllowed:   "may_not_repeat",
	QueueTimeout:      "waited_too_long",
	ShuttingDown:      "ending",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reason returns the reason for the call of Host.Reject or Host.Fail in progress. The result is valid
// only within those two methods.
func (b *Balancer) Reason() Reason { return b.reason }
