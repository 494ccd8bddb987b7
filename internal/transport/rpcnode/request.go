package rpcnode

import (
	"errors"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hopbyhop"
	"mothridge/internal/msgrpc"
)

// maxTimeout is the timeout that is sent to an upstream if the attempt has no deadline.
const maxTimeout = time.Hour

// errNotWritten reports that the last byte of a request was not written, so that the upstream cannot
// have started the request.
var errNotWritten = errors.New("request was not completely written")

// completion describes how a request ended. Exactly one of its fields is set.
type completion struct {
	err    error
	fault  *msgrpc.Fault
	result *msgrpc.Result
}

// mayHaveRun reports whether the last byte of the request may have been written.
func (completed *completion) mayHaveRun() bool { return !errors.Is(completed.err, errNotWritten) }

// encodeFunc appends an encoded request with an id to buffer. timeout is the time for which the sender
// waits for the response.
type encodeFunc func(buffer []byte, id uint32, timeout time.Duration) []byte

// requestState is the state of a request on its connection:
//
//	queued --encodeQueueLocked--> writing --onWritten, completely--> written
//	writing --onWritten, not completely--> queued
type requestState int

const (
	requestQueued  requestState = iota // the last byte was not written
	requestWriting                     // some bytes may have been written
	requestWritten                     // all bytes were written
)

// pendingRequest is an attempt or a probe on a connection. The lock of the connection guards its fields.
type pendingRequest struct {
	id       uint32
	message  *core.Message // the attempt's message; nil for a probe
	encode   encodeFunc    // called right before the write, when the timeout is known
	deadline time.Time     // until when to wait for the response; zero for no deadline
	queuedAt time.Time
	state    requestState

	timeout time.Duration // as sent to the upstream; set together with size
	size    int           // encoded size in bytes

	completion chan completion // capacity 1; receives the single value
}

// appendTo appends the encoded request to buffer, and sets timeout and size.
func (request *pendingRequest) appendTo(buffer []byte, now time.Time) []byte {
	request.timeout = maxTimeout
	if !request.deadline.IsZero() {
		request.timeout = max(request.deadline.Sub(now), time.Millisecond)
	}
	start := len(buffer)
	buffer = request.encode(buffer, request.id, request.timeout)
	request.size = len(buffer) - start
	return buffer
}

// encodeCall returns the encodeFunc for the request of an attempt.
func encodeCall(message *core.Message) encodeFunc {
	return func(buffer []byte, id uint32, timeout time.Duration) []byte {
		return newCall(message, timeout).Append(buffer, id)
	}
}

// encodeProbe is the encodeFunc for a probe. A probe contains no timeout.
func encodeProbe(buffer []byte, id uint32, _ time.Duration) []byte {
	return msgrpc.AppendRequestWithoutParams(buffer, id, msgrpc.MethodProbe)
}

// newCall converts the request of an attempt to a call. A header field that has its own key in the
// mapping is stored under that key, any other field in Call.Fields, unless it belongs to one hop or a message cannot
// contain it.
func newCall(message *core.Message, timeout time.Duration) *msgrpc.Call {
	call := &msgrpc.Call{Timeout: timeout, Target: message.Target, Host: message.Host, Body: message.Body}
	for name, values := range message.Fields {
		if hopbyhop.IsHopByHop(name) || call.SetHTTPField(name, values) || !msgrpc.CanEncodeField(name, values) {
			continue
		}
		if call.Fields == nil {
			call.Fields = make(map[string][]string, len(message.Fields))
		}
		call.Fields[name] = values
	}
	return call
}
