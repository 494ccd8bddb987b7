package pacing

import "time"

// State says what a Pacer goes by, for operators.
type State struct {
	// Rate is the processor time that paced work may use in a second, in seconds, and FullRate what it may use while the process gets
	// its whole share.
	Rate, FullRate float64
	// Left is the processor time that may be used at once, in seconds; negative if more was used than the share allows.
	Left float64
	// MessageCost is the mean processor time of a message.
	MessageCost time.Duration
	Waiting     int // flows that wait
}

// State returns what the Pacer goes by now.
func (p *Pacer) State() State {
	return State{
		Rate:        p.budget.rate,
		FullRate:    p.budget.fullRate(),
		Left:        p.budget.seconds,
		MessageCost: time.Duration(p.cost * float64(time.Second)),
		Waiting:     len(p.waiting),
	}
}
