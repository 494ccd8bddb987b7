package rpcnode

// Counters counts events since the start of the transport. A metric tag contains
// the counter's name in logs and metrics if that differs from the field name.
type Counters struct {
	LateResponses     uint64 `metric:"late"`    // responses to abandoned requests
	UnknownResponses  uint64 `metric:"unknown"` // responses to ids that are not in use
	Malformed         uint64 // messages that could not be parsed
	DrainedUnanswered uint64 `metric:"condemned"` // connections drained while abandoned requests had no response
	DialAttempts      uint64 `metric:"dials"`     // attempts to open a connection, including failed ones
}

// Counters returns the current counts.
func (transport *Transport) Counters() Counters {
	return Counters{
		LateResponses:     transport.late.Load(),
		UnknownResponses:  transport.unknown.Load(),
		Malformed:         transport.malformed.Load(),
		DrainedUnanswered: transport.drainedUnanswered.Load(),
		DialAttempts:      transport.dialAttempts.Load(),
	}
}
