package httpfront

// Counters count events from the start on. Their names in logs and metrics are in the tags.
type Counters struct {
	Connections     uint64 // accepted
	Submitted       uint64 `metric:"taken"`    // requests that were given to the handler
	InvalidRequests uint64 `metric:"rejected"` // requests that were answered with an error of the client's
	Disconnects     uint64 `metric:"left"`     // clients that disconnected before their response
	AcceptFailures  uint64 `metric:"failed"`

	// Connections that were closed, by reason: see closeReason.
	ClosedByServer   uint64
	ClosedIdle       uint64
	ClosedDrain      uint64
	ClosedSilent     uint64
	ClosedUnfinished uint64
	ClosedTruncated  uint64 `metric:"closed_cut"`

	// ClosedUnanswered counts requests whose connection was closed here before their
	// response. Anything but 0 is a fault of this package.
	ClosedUnanswered uint64
}

// Counters returns the counts so far. It may be called from any goroutine.
func (front *Front) Counters() Counters {
	listener := front.listener
	return Counters{
		Connections:      listener.accepted.Load(),
		Submitted:        front.submitted.Load(),
		InvalidRequests:  front.invalidRequests.Load(),
		Disconnects:      front.disconnects.Load(),
		AcceptFailures:   listener.Failures(),
		ClosedByServer:   listener.closes[closedByServer].Load(),
		ClosedIdle:       listener.closes[closedIdle].Load(),
		ClosedDrain:      listener.closes[closedDrain].Load(),
		ClosedSilent:     listener.closes[closedSilent].Load(),
		ClosedUnfinished: listener.closes[closedUnfinished].Load(),
		ClosedTruncated:  listener.closes[closedTruncated].Load(),
		ClosedUnanswered: front.closedUnanswered.Load(),
	}
}
