package rpcfront

import "mothridge/internal/front/frontend"

// Counters are the numbers of events since the Front was created. A metric tag contains the
// counter's name in logs and metrics if that differs from the field name.
type Counters struct {
	Connections     uint64 // accepted
	Abandoned       uint64 // connections whose client had left before they were accepted
	Submitted       uint64 `metric:"taken"`    // requests that were submitted to the handler
	InvalidRequests uint64 `metric:"rejected"` // requests that got an error response because they were invalid
	LimitExceeded   uint64 `metric:"flooded"`  // requests above Config.MaxRequestsInFlight or MaxBufferedResponseBytes
	OutOfMemory     uint64 // requests and messages that were rejected because Config.Memory was exhausted
	DuplicateIDs    uint64 `metric:"repeated"` // requests ignored because their msgid was already in flight
	Malformed       uint64 // messages that violated the protocol
	Stalled         uint64 // connections closed because their client did not read its responses
	AcceptFailures  uint64 `metric:"failed"`

	// Closed connections by reason; see closeReason.
	ClosedByClient    uint64
	ClosedIdle        uint64
	ClosedUnfinished  uint64
	ClosedDrain       uint64
	ClosedInTransit   uint64
	ClosedByViolation uint64
	ClosedStalled     uint64

	LateResponses    uint64 `metric:"late"`    // responses that were written after their client's time
	OverdueResponses uint64 `metric:"overdue"` // those that were written so late that they count as lost
}

// Counters returns the current counts. It may be called from any goroutine.
func (front *Front) Counters() Counters {
	return Counters{
		Connections:     front.connections.Load(),
		Abandoned:       front.abandoned.Load(),
		Submitted:       front.submitted.Load(),
		InvalidRequests: front.invalidRequests.Load(),
		LimitExceeded:   front.limitExceeded.Load(),
		OutOfMemory:     front.outOfMemory.Load(),
		DuplicateIDs:    front.duplicateIDs.Load(),
		Malformed:       front.malformed.Load(),
		Stalled:         front.stalled.Load(),
		AcceptFailures:  front.listener.Failures(),

		ClosedByClient:    front.closesByReason[closedByClient].Load(),
		ClosedIdle:        front.closesByReason[closedIdle].Load(),
		ClosedUnfinished:  front.closesByReason[closedUnfinished].Load(),
		ClosedDrain:       front.closesByReason[closedDrain].Load(),
		ClosedInTransit:   front.closesByReason[closedInTransit].Load(),
		ClosedByViolation: front.closesByReason[closedByViolation].Load(),
		ClosedStalled:     front.closesByReason[closedStalled].Load(),

		LateResponses:    front.lateResponses.Late(),
		OverdueResponses: front.lateResponses.Overdue(),
	}
}

// AdmissionState returns how new connections have waited. It may be called from any goroutine.
func (front *Front) AdmissionState() frontend.AdmissionState { return front.admission.State() }
