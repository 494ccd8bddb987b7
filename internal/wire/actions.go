package wire

import "time"

// Send starts an attempt at an endpoint. A timeout of 0 means the client's own timeout.
func (p *Reply) Send(instance, requestID uint32, to Endpoint, timeout time.Duration) {
	start := p.beginRecord(ActionSend, instance)
	p.u32(requestID)
	p.endpoint(to)
	p.duration(timeout)
	p.endRecord(start)
}

// Cancel cancels an attempt.
func (p *Reply) Cancel(instance, requestID uint32, attempt uint8) {
	start := p.beginRecord(ActionCancel, instance)
	p.u32(requestID)
	p.u8(attempt)
	p.endRecord(start)
}

// Reject responds that the request was not executed. The client may retry the request after retryAfter.
func (p *Reply) Reject(instance, requestID uint32, retryAfter time.Duration) {
	start := p.beginRecord(ActionReject, instance)
	p.u32(requestID)
	p.duration(retryAfter)
	p.endRecord(start)
}

// Fail responds that the request failed and may have been executed.
func (p *Reply) Fail(instance, requestID uint32) {
	start := p.beginRecord(ActionFail, instance)
	p.u32(requestID)
	p.endRecord(start)
}

// SetTimer requests an EventTimerFired with the given token after the delay. A timer cannot be stopped.
func (p *Reply) SetTimer(instance uint32, delay time.Duration, token uint64) {
	start := p.beginRecord(ActionSetTimer, instance)
	p.duration(delay)
	p.u64(token)
	p.endRecord(start)
}

// Probe requests a health check of an endpoint.
func (p *Reply) Probe(instance uint32, to Endpoint) {
	start := p.beginRecord(ActionProbe, instance)
	p.endpoint(to)
	p.endRecord(start)
}

// Watch starts or ends a watch of the endpoint list.
func (p *Reply) Watch(instance uint32, on bool) {
	start := p.beginRecord(ActionWatch, instance)
	if on {
		p.u8(1)
	} else {
		p.u8(0)
	}
	p.endRecord(start)
}

// Log writes a line to the simulator's report. The line is truncated to 65,535 bytes.
func (p *Reply) Log(instance uint32, line string) {
	start := p.beginRecord(ActionLog, instance)
	p.text(line)
	p.endRecord(start)
}

// Fault reports that the decision code has failed, which ends the simulation. The text is truncated to
// 65,535 bytes.
func (p *Reply) Fault(instance uint32, text string) {
	start := p.beginRecord(ActionFault, instance)
	p.text(text)
	p.endRecord(start)
}
