// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, sent again, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no
// clock and no I/O. The program that embeds it calls one method per event and
// passes the time; the Balancer answers through the Host it was given. This
// file is the interface; the decisions are in policy.go and health.go.
package policy

import "time"

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// EndpointID names a server; it stays the same when the server restarts.
type EndpointID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within a group of servers, for a while
	NotIdempotent                      // must never run twice
)

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // answers within this earn full worth
	ObjectiveStretch float64       // the aim grows by this multiple of the request's expected work
	Deadline         time.Duration // the client's whole wait, over all its tries
	LateValueShare   float64       // share of the worth that an answer after the aim still earns
	PriorityWeight   float64
	Idempotency      Idempotency
	DedupScope       DedupScope    // keyed only
	DedupWindow      time.Duration // keyed only: how long repeats are dropped, from the first send on
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, set against the other tenants' shares
	Quota float64 // requests a second within its share over all balancers; 0 where unknown
}

// Config holds the settings a Balancer starts with; it does not change them.
type Config struct {
	FleetSize int // balancers that send to the same servers, this one included
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: then there is one, number 0

	Slots int // slots of this balancer over all compartments; 0 derives them from the rest

	MaxAttempts        int           // attempts for one request at most
	CancelAllowed      bool          // Host.Cancel may be used
	ProbesAllowed      bool          // Host.Probe may be used
	ProbeLoadReports   bool          // probes bring load reports
	MaxRetryAfter      time.Duration // the longest pause that clients heed
	ClientsMarkRetries bool          // clients mark their own further tries: Request.Repeat

	EventResolution time.Duration // events come at most this often

	WatchOnRequest     bool          // the server list must be asked for
	WatchRequestWithin time.Duration // without asking this long, a change counts as told; 0: not known

	SlowStartInitialShare   float64       // a server starts with at least this share of its capacity
	SlowStartDuration       time.Duration // and has all of it after this
	SlowStartOverloadFactor float64       // sent more than this multiple of what it can do at that moment, it falls over

	ProbeCost     float64 // price of a probe for each request, against a worth of 1
	CrossZoneCost float64 // price of an attempt that leaves the zone, against a worth of 1
}

// Health is what the server list says of a server.
type Health int

// The states of a server.
const (
	Removed Health = iota
	Draining
	Ready
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int // servers of one cell share the keys they have seen
	Health    Health
	Weight    float64       // nominal size, set against the other servers' weights
	StartedAt time.Duration // time of its last start; 0 means long ago
}

// UpdateKind says how the entries of a list event apply.
type UpdateKind int

// The kinds of list events.
const (
	FullUpdate   UpdateKind = iota // all servers; one that is absent has left
	DeltaUpdate                    // only changed entries
	CachedUpdate                   // all servers as last known, maybe old
	FailedUpdate                   // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // expected work; 0 where unknown
	ClientRetry  bool          // known to be a client's own further try
}

// AttemptResult says how an attempt ended.
type AttemptResult int

// The endings of an attempt. Rejected, ConnectionFailed and NotSent prove that
// it never ran; every other one but Served means that it may have run, and so
// does a value not listed here.
const (
	Served AttemptResult = iota
	ServerError
	Rejected
	TimedOut
	ConnectionFailed
	ConnectionReset
	Cancelled
	NotSent
)

// AttemptOutcome is the end of one attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // numbered from 0 in the order of Host.Send for this request
	Result    AttemptResult
	Completed bool // the request is over; nothing more is owed for it
}

// LoadReport is what a server reports of itself. A negative number is unknown.
type LoadReport struct {
	InFlight float64 // requests it holds
}

// Host carries out what the Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout. Where
	// within is above 0 its last byte must be written within that, or never: the
	// servers' memory of an earlier attempt ends then.
	Send(id RequestID, to EndpointID, timeout, within time.Duration)
	// Reject ends a request; trying again is harmless, best after the pause.
	Reject(id RequestID, pause time.Duration)
	// Fail ends a request with no promise about its effect.
	Fail(id RequestID)
	// Cancel calls off one attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// SetTimer asks for a call of Balancer.SetTimer after d.
	SetTimer(d time.Duration)
	// Probe asks a server for a load report; Balancer.Probed brings it, or
	// Balancer.ProbeNotSent that nothing was sent.
	Probe(to EndpointID)
	// RequestWatch subscribes to the server list; Balancer.List brings changes.
	RequestWatch()
}

// Counters tell what a Balancer did since it was made.
type Counters struct {
	RoundRobinPicks uint64 `metric:"ordinary"` // turns given by the ordinary path: a slot, and the server whose turn it was; two for a knock
	ProbedSends     uint64 `metric:"knocked"`  // sends to the first or least loaded of the servers probed for the request
	SkippedPicks    uint64 `metric:"passed"`   // turns moved on past a server that held its portion or was judged unwell
	TrialRequests   uint64 `metric:"trials"`   // turns of a server judged unwell
	LoadShed        uint64 `metric:"shed"`     // requests refused at once: late, or too few of the last were answered within their aim
	Retries         uint64 `metric:"retries"`  // further attempts after one that failed
	Rejected        uint64 `metric:"refused"`
	Failed          uint64 `metric:"failed"`
}
