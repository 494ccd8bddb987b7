package msgrpc

import "time"

// The methods of the mapping.
const (
	MethodCall          = "call"           // request: one of the application's requests
	MethodProbe         = "probe"          // request, to a node: a health check that returns its load
	MethodReady         = "ready"          // request, to a sidecar: does it hold an endpoint list?
	MethodCancel        = "cancel"         // notification: the request of a msgid is abandoned
	MethodDrain         = "drain"          // notification: send nothing new on this connection
	MethodProtocolError = "protocol_error" // notification: a message was ignored, and why
)

// The kinds of a Fault.
const (
	KindRefused    = "refused"     // a retry is harmless; pause_ms says when
	KindFailed     = "failed"      // it may have run
	KindTimeout    = "timeout"     // it may have run, and its time has passed
	KindRejected   = "rejected"    // it did not run: the request is invalid
	KindDuplicate  = "duplicate"   // it did not run: one of this id is in flight
	KindNotStarted = "not_started" // of a node: it did not run
	KindError      = "error"       // of a node: it may have run
	KindCancelled  = "cancelled"   // of a node: cancelled; it may have run
)

// Bounds of the mapping, in bytes.
const (
	MaxRequestBodyBytes = 64 << 10                     // body of a request
	MaxRequestBytes     = MaxRequestBodyBytes + 24<<10 // request with its envelope
	MaxResponseBytes    = 1<<20 + 128<<10              // response of a node with its envelope
	MaxNameBytes        = 256                          // id, class and tenant of a request
	maxTextBytes        = 20 << 10                     // any other text: as much as an HTTP header may hold
)

const (
	// maxDuration bounds every duration on the wire; a longer one is cut to it.
	maxDuration = time.Hour
	// maxMapKeys bounds the keys of a call, a result or a fault.
	maxMapKeys = 64
	// maxFields bounds the header fields of a message.
	maxFields = 4096
)

// The keys of calls, results and faults.
const (
	keyID             = "id"
	keyClass          = "class"
	keyTenant         = "tenant"
	keyIdempotencyKey = "key"
	keyTimeout        = "left_ms"
	keyClientRetry    = "retry"
	keyExpectedWork   = "work_us"
	keyAffinityKey    = "affinity"
	keyTarget         = "target"
	keyHost           = "host"
	keyFields         = "fields"
	keyBody           = "body"
	keyInFlight       = "in_flight"
	keyKind           = "kind"
	keyRetryAfter     = "pause_ms"
	keyText           = "text"
)

// internKey returns a key without allocating where it is one of the mapping's.
func internKey(raw []byte) string {
	switch string(raw) {
	case keyID:
		return keyID
	case keyClass:
		return keyClass
	case keyTenant:
		return keyTenant
	case keyIdempotencyKey:
		return keyIdempotencyKey
	case keyTimeout:
		return keyTimeout
	case keyClientRetry:
		return keyClientRetry
	case keyExpectedWork:
		return keyExpectedWork
	case keyAffinityKey:
		return keyAffinityKey
	case keyTarget:
		return keyTarget
	case keyHost:
		return keyHost
	case keyFields:
		return keyFields
	case keyBody:
		return keyBody
	case keyInFlight:
		return keyInFlight
	case keyKind:
		return keyKind
	case keyRetryAfter:
		return keyRetryAfter
	case keyText:
		return keyText
	}
	return string(raw)
}
