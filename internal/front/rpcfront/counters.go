package rpcfront

// Counters count events from the start on. Their names in logs and metrics are in the tags.
type Counters struct {
	Connections     uint64 // accepted
	Submitted       uint64 `metric:"taken"`    // requests that were given to the handler
	InvalidRequests uint64 `metric:"rejected"` // requests that were answered with an error of the client's
	LimitExceeded   uint64 `metric:"flooded"`  // requests beyond Config.MaxRequestsInFlight or MaxBufferedResponseBytes
	DuplicateIDs    uint64 `metric:"repeated"` // requests under a msgid that was in flight: ignored
	Malformed       uint64 // messages that could not be read
	Stalled         uint64 // connections closed because their client did not read
	AcceptFailures  uint64 `metric:"failed"`
}

// Counters returns the counts so far. It may be called from any goroutine.
func (front *Front) Counters() Counters {
	return Counters{
		Connections:     front.connections.Load(),
		Submitted:       front.submitted.Load(),
		InvalidRequests: front.invalidRequests.Load(),
		LimitExceeded:   front.limitExceeded.Load(),
		DuplicateIDs:    front.duplicateIDs.Load(),
		Malformed:       front.malformed.Load(),
		Stalled:         front.stalled.Load(),
		AcceptFailures:  front.listener.Failures(),
	}
}
