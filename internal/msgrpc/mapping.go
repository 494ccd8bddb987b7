package msgrpc

import "time"

// The methods of the mapping.
const (
	MethodCall          = "call"           // request: a request of the application
	MethodProbe         = "probe"          // request to a node: a health check that returns the load of the node
	MethodReady         = "ready"          // request to a sidecar: whether it has an endpoint list and is not draining
	MethodCancel        = "cancel"         // notification: the sender has abandoned the request with the given msgid
	MethodDrain         = "drain"          // notification: the receiver must send no new requests on this connection
	MethodProtocolError = "protocol_error" // notification: a message was ignored, with the reason
)

// The kinds of a Fault.
const (
	KindRefused    = "refused"     // a retry is safe; pause_ms is the time to wait before the retry
	KindFailed     = "failed"      // the request may have run
	KindTimeout    = "timeout"     // the request may have run, and its timeout has passed
	KindRejected   = "rejected"    // the request did not run because it is invalid
	KindDuplicate  = "duplicate"   // the request did not run: a request with the same id is in flight
	KindNotStarted = "not_started" // from a node: the request did not run
	KindError      = "error"       // from a node: the request may have run
	KindCancelled  = "cancelled"   // the request was cancelled and may have run
)

// Maximum sizes in the mapping, in bytes.
const (
	MaxRequestBodyBytes = 64 << 10                     // body of a request
	MaxRequestBytes     = MaxRequestBodyBytes + 24<<10 // request including its envelope
	MaxResponseBytes    = 1<<20 + 128<<10              // response of a node including its envelope
	MaxNameBytes        = 256                          // id, class and tenant of a request
	maxTextBytes        = 20 << 10                     // any other text: the maximum size of an HTTP header
)

const (
	// maxDuration is the maximum of any received duration; longer durations are reduced to it.
	maxDuration = time.Hour
	// maxMapKeys is the maximum number of keys of a call, a result or a fault.
	maxMapKeys = 64
	// MaxFields is the maximum number of header fields of a message.
	MaxFields = 4096
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

// internKey returns raw as a string. It does not allocate if raw is a key of the mapping.
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
