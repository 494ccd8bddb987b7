package wire

import "time"

// Send starts an attempt at an endpoint. A timeout of 0 means the client's own timeout.
func (r *Reply) Send(instance, requestID uint32, to Endpoint, timeout time.Duration) {
	start := r.beginRecord(ActionSend, instance)
	r.u32(requestID)
	r.endpoint(to)
	r.duration(timeout)
	r.endRecord(start)
}

// Cancel cancels an attempt.
func (r *Reply) Cancel(instance, requestID uint32, attempt uint8) {
	start := r.beginRecord(ActionCancel, instance)
	r.u32(requestID)
	r.u8(attempt)
	r.endRecord(start)
}

// Reject responds that the request was not executed. The client may retry the request after retryAfter.
func (r *Reply) Reject(instance, requestID uint32, retryAfter time.Duration) {
	start := r.beginRecord(ActionReject, instance)
	r.u32(requestID)
	r.duration(retryAfter)
	r.endRecord(start)
}

// Fail responds that the request failed and may have been executed.
func (r *Reply) Fail(instance, requestID uint32) {
	start := r.beginRecord(ActionFail, instance)
	r.u32(requestID)
	r.endRecord(start)
}

// SetTimer requests an EventTimerFired with the given token after the delay. A timer cannot be stopped.
func (r *Reply) SetTimer(instance uint32, delay time.Duration, token uint64) {
	start := r.beginRecord(ActionSetTimer, instance)
	r.duration(delay)
	r.u64(token)
	r.endRecord(start)
}

// Probe requests a health check of an endpoint.
func (r *Reply) Probe(instance uint32, to Endpoint) {
	start := r.beginRecord(ActionProbe, instance)
	r.endpoint(to)
	r.endRecord(start)
}

// Watch starts or ends a watch of the endpoint list.
func (r *Reply) Watch(instance uint32, on bool) {
	start := r.beginRecord(ActionWatch, instance)
	if on {
		r.u8(1)
	} else {
		r.u8(0)
	}
	r.endRecord(start)
}

// Log writes a line to the simulator's report. The line is truncated to 65,535 bytes.
func (r *Reply) Log(instance uint32, line string) {
	start := r.beginRecord(ActionLog, instance)
	r.text(line)
	r.endRecord(start)
}

// Fault reports that the decision code has failed, which ends the simulation. The text is truncated to
// 65,535 bytes.
func (r *Reply) Fault(instance uint32, text string) {
	start := r.beginRecord(ActionFault, instance)
	r.text(text)
	r.endRecord(start)
}
