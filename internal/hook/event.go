package hook

import "time"

// The kinds of events. The hook for a kind has the same name.
const (
	KindRequest = "request" // a request, before the core receives it
	KindOutcome = "outcome" // a request's final response
	KindMember  = "member"  // an instance of the endpoint list
)

// hookKinds are the kinds of events. Their order is that of the bits of a hookSet, and the checker
// searches for event fields in this order.
var hookKinds = []string{KindRequest, KindOutcome, KindMember}

// maxFields is the maximum number of fields of an event.
const maxFields = 8

// Event is the input of a run. The fields of its kind are entries of Text or Int, depending on their
// type. The constants below are their indexes.
type Event struct {
	Kind    string // KindRequest, KindOutcome or KindMember
	Now     time.Time
	Text    [maxFields]string
	Int     [maxFields]int64 // ints; durations in ns; bools as 0 or 1
	Headers Headers          // the headers of a request; may be nil
}

// Headers gives access to the headers of a request. Header returns the value of a header, "" if the
// request does not have the header.
type Headers interface{ Header(name string) string }

// The indexes of the fields of a request.
const (
	RequestClass    = iota // Text
	RequestTenant          // Text
	RequestID              // Text
	RequestKey             // Text; the idempotency key, or ""
	RequestTarget          // Text
	RequestSize            // Int; bytes
	RequestTimeLeft        // Int; time to the deadline, in ns
	RequestRetry           // Int; 1 if the client marked it as a retry
)

// The indexes of the fields of an outcome.
const (
	OutcomeClass    = iota // Text
	OutcomeTenant          // Text
	OutcomeID              // Text
	OutcomeEnding          // Text; served, refused, failed, timed_out or duplicate
	OutcomeDuration        // Int; duration in ns
)

// The indexes of the fields of a member.
const (
	MemberName    = iota // Text
	MemberAddress        // Text
	MemberSite           // Text
	MemberKind           // Text
	MemberState          // Text; up, draining or removed
)

// eventField is a field that a program reads as event.NAME.
type eventField struct {
	name      string
	valueType *valueType
}

// eventFields are the fields of each kind of event, by their indexes.
var eventFields = map[string][]eventField{
	KindRequest: {
		RequestClass:    {"class", typeText},
		RequestTenant:   {"tenant", typeText},
		RequestID:       {"id", typeText},
		RequestKey:      {"key", typeText},
		RequestTarget:   {"target", typeText},
		RequestSize:     {"size", typeInt},
		RequestTimeLeft: {"left", typeDuration},
		RequestRetry:    {"retry", typeBool},
	},
	KindOutcome: {
		OutcomeClass:    {"class", typeText},
		OutcomeTenant:   {"tenant", typeText},
		OutcomeID:       {"id", typeText},
		OutcomeEnding:   {"ending", typeText},
		OutcomeDuration: {"took", typeDuration},
	},
	KindMember: {
		MemberName:    {"name", typeText},
		MemberAddress: {"address", typeText},
		MemberSite:    {"site", typeText},
		MemberKind:    {"kind", typeText},
		MemberState:   {"state", typeText},
	},
}
