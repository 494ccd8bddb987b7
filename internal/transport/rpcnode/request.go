package rpcnode

import (
	"errors"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

// maxTimeout is the timeout that an upstream is given where an attempt has no deadline.
const maxTimeout = time.Hour

// errNotWritten says that the last byte of a request was not written: the upstream cannot have
// started it.
var errNotWritten = errors.New("the request was not written to its end")

// reply is how a request ended; one of its fields is set.
type reply struct {
	err    error
	fault  *msgrpc.Fault
	result *msgrpc.Result
}

// mayHaveRun reports whether the last byte of the request may have been written.
func (answer *reply) mayHaveRun() bool { return !errors.Is(answer.err, errNotWritten) }

// encodeFunc appends the encoded request of an id, whose response is waited for until timeout.
type encodeFunc func(buffer []byte, id uint32, timeout time.Duration) []byte

// requestState is the state of a request on its connection:
//
//	queued --encodeQueueLocked--> writing --onWritten, to its last byte--> written
//	writing --onWritten, not to its last byte--> queued
type requestState int

const (
	requestQueued  requestState = iota // its last byte was not written
	requestWriting                     // some of its bytes may have been written
	requestWritten                     // all of its bytes were written
)

// pendingRequest is an attempt or a probe on a connection, whose lock guards it.
type pendingRequest struct {
	id       uint32
	message  *core.Message // of the attempt; nil: it is a probe
	encode   encodeFunc    // called when it is written: only then is its timeout known
	deadline time.Time     // until when the response is waited for; zero: there is none
	queuedAt time.Time
	state    requestState

	timeout time.Duration // as the upstream is given it; set with size
	size    int           // in bytes, encoded

	reply chan reply // of capacity 1: takes the one reply
}

// appendTo appends the encoded request.
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

// encodeCall returns what encodes an attempt's request.
func encodeCall(message *core.Message) encodeFunc {
	return func(buffer []byte, id uint32, timeout time.Duration) []byte {
		return newCall(message, timeout).Append(buffer, id)
	}
}

// encodeProbe appends a probe. It carries no timeout.
func encodeProbe(buffer []byte, id uint32, _ time.Duration) []byte {
	return msgrpc.AppendRequestWithoutParams(buffer, id, msgrpc.MethodProbe)
}

// newCall maps an attempt's request to a call. Header fields that have a key of their own go
// there.
func newCall(message *core.Message, timeout time.Duration) *msgrpc.Call {
	call := &msgrpc.Call{Timeout: timeout, Target: message.Target, Host: message.Host, Body: message.Body}
	others := 0
	for name, values := range message.Fields {
		if !call.SetHTTPField(name, values) {
			others++
		}
	}
	if others == 0 {
		return call
	}
	call.Fields = make(map[string][]string, others)
	for name, values := range message.Fields {
		if !msgrpc.HasOwnKey(name) {
			call.Fields[name] = values
		}
	}
	return call
}
