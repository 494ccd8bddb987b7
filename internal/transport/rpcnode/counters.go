package rpcnode

// Counters count events from the start on. Their names in logs and metrics are in the tags.
type Counters struct {
	LateResponses     uint64 `metric:"late"`    // responses to abandoned requests
	UnknownResponses  uint64 `metric:"unknown"` // responses to ids that are not in use
	Malformed         uint64 // messages that could not be read
	DrainedUnanswered uint64 `metric:"condemned"` // connections drained with abandoned requests that had no response
	Dials             uint64 // connections that were to be opened, failures included
}

// Counters returns the counts so far.
func (transport *Transport) Counters() Counters {
	return Counters{
		LateResponses:     transport.late.Load(),
		UnknownResponses:  transport.unknown.Load(),
		Malformed:         transport.malformed.Load(),
		DrainedUnanswered: transport.drainedUnanswered.Load(),
		Dials:             transport.dials.Load(),
	}
}
