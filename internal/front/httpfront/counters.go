package httpfront

import "mothridge/internal/front/frontend"

// Counters are the numbers of events since the Front was created. A metric tag contains the
// counter's name in logs and metrics if that differs from the field name.
type Counters struct {
	Connections     uint64 // accepted
	Abandoned       uint64 // connections whose client had left before they were accepted
	Submitted       uint64 `metric:"taken"`    // requests that were submitted to the handler
	InvalidRequests uint64 `metric:"rejected"` // requests that got an error response because they were invalid
	OutOfMemory     uint64 // requests that were rejected because Config.Memory was exhausted
	Disconnects     uint64 `metric:"left"` // clients that disconnected before they received their response
	AcceptFailures  uint64 `metric:"failed"`

	// Closed connections by reason; see closeReason.
	ClosedByServer   uint64
	ClosedIdle       uint64
	ClosedDrain      uint64
	ClosedSilent     uint64
	ClosedUnfinished uint64
	ClosedTruncated  uint64 `metric:"closed_cut"`

	// ClosedUnanswered counts requests whose connection this process closed before the response
	// was written. A value other than 0 means that this package has a bug.
	ClosedUnanswered uint64

	LateResponses    uint64 `metric:"late"`    // responses that were written after their client's time
	OverdueResponses uint64 `metric:"overdue"` // those that were written so late that they count as lost
}

// Counters returns the current counts. It may be called from any goroutine.
func (front *Front) Counters() Counters {
	listener := front.listener
	return Counters{
		Connections:      listener.accepted.Load(),
		Abandoned:        listener.abandoned.Load(),
		Submitted:        front.submitted.Load(),
		InvalidRequests:  front.invalidRequests.Load(),
		OutOfMemory:      listener.outOfMemory.Load(),
		Disconnects:      front.disconnects.Load(),
		AcceptFailures:   listener.Failures(),
		ClosedByServer:   listener.closesByReason[closedByServer].Load(),
		ClosedIdle:       listener.closesByReason[closedIdle].Load(),
		ClosedDrain:      listener.closesByReason[closedDrain].Load(),
		ClosedSilent:     listener.closesByReason[closedSilent].Load(),
		ClosedUnfinished: listener.closesByReason[closedUnfinished].Load(),
		ClosedTruncated:  listener.closesByReason[closedTruncated].Load(),
		ClosedUnanswered: front.closedUnanswered.Load(),
		LateResponses:    front.lateResponses.Late(),
		OverdueResponses: front.lateResponses.Overdue(),
	}
}

// AdmissionState returns how new connections have waited. It may be called from any goroutine.
func (front *Front) AdmissionState() frontend.AdmissionState { return front.listener.admission.State() }
