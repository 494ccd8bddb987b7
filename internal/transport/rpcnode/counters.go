package rpcnode

// Counters counts events since the start of the transport. A tag contains the field's name in logs
// and metrics.
type Counters struct {
	LateResponses     uint64 `metric:"late"`    // responses to abandoned requests
	UnknownResponses  uint64 `metric:"unknown"` // responses to ids that are not in use
	Malformed         uint64 // messages that could not be parsed
	DrainedUnanswered uint64 `metric:"condemned"` // connections drained while abandoned requests had no response
	Dials             uint64 // attempts to open a connection, including failed ones
}

// Counters returns the current counts.
func (transport *Transport) Counters() Counters {
	return Counters{
		LateResponses:     transport.late.Load(),
		UnknownResponses:  transport.unknown.Load(),
		Malformed:         transport.malformed.Load(),
		DrainedUnanswered: transport.drainedUnanswered.Load(),
		Dials:             transport.dials.Load(),
	}
}
