package policy

// Reason says why a request was refused or failed, or was sent again.
type Reason int

// The reasons.
const (
	NoReason          Reason = iota
	InvalidRequest           // its class or tenant does not exist, or it came with no time left
	TooLate                  // an answer would come too late to be of worth
	LoadShedding             // too few of the last were answered in time: see Balancer.shed
	QueueFull                // its compartment's slots and queue are full
	AttemptsExhausted        // it has had all its attempts
	RetryNotAllowed          // what may have run may not be sent again
	QueueTimeout             // no slot or server was free in its time
	ShuttingDown             // nothing is taken any more
	ReasonCount              // how many there are
)

var reasonNames = [ReasonCount]string{
	"none", "unknown_class", "late", "shed", "queue_full", "attempts_spent", "may_not_repeat", "waited_too_long", "ending",
}

func (r Reason) String() string { return reasonNames[r] }

// Reason returns why the request was given up that Host.Refuse or Host.Fail is being
// called for. It may be called from within those.
func (b *Balancer) Reason() Reason { return b.reason }

func (e AttemptResult) String() string {
	names := [...]string{"served", "errored", "turned_away", "timed_out", "no_connection", "broken", "cancelled", "not_sent"}
	if e < 0 || int(e) >= len(names) {
		return "unknown"
	}
	return names[e]
}
