// The reasons that logs and metrics give for a rejected or failed request.

package policy

// Reason says why a request was rejected or failed.
type Reason int

// The reasons.
const (
	NoReason          Reason = iota
	InvalidRequest           // unknown class or tenant, or no time left
	TooLate                  // a response would come too late to have a value
	LoadShedding             // too few recent requests met their objective
	QueueFull                // and so are the slots of the bulkhead
	AttemptsExhausted        // all attempts were used
	RetryNotAllowed          // an attempt may have run and must not run again
	QueueTimeout             // no slot or endpoint was free in time
	ShuttingDown             // no request is accepted any more
	ReasonCount              // the number of reasons
)

// reasonNames appear in logs and metrics.
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

// Reason returns why the request is given up for which Host.Reject or Host.Fail is being
// called. It is meant to be called from within those two.
func (b *Balancer) Reason() Reason { return b.reason }
