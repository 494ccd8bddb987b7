package hook

import "time"

// The kinds of events; each has a hook of the same name.
const (
	KindRequest = "request" // a request, before the core gets it
	KindOutcome = "outcome" // a request's final response
	KindMember  = "member"  // an instance of the endpoint list
)

// hookKinds are the kinds of events in the order in which the checker looks at them.
var hookKinds = []string{KindRequest, KindOutcome, KindMember}

// maxFields is how many fields an event has at most.
const maxFields = 8

// Event is the input of a run. The fields of its kind are in Text or Int, as their types are, by
// the numbers below.
type Event struct {
	Kind    string // KindRequest, KindOutcome or KindMember
	Now     time.Time
	Text    [maxFields]string
	Int     [maxFields]int64 // durations in ns; bools 0 or 1
	Headers Headers          // of a request; may be nil
}

// Headers returns a request's header by name, "" if there is none.
type Headers interface{ Header(name string) string }

// The fields of a request.
const (
	RequestClass  = iota // Text
	RequestTenant        // Text
	RequestID            // Text
	RequestKey           // Text; the idempotency key, or ""
	RequestTarget        // Text
	RequestSize          // Int; bytes
	RequestLeft          // Int; time to the deadline, in ns
	RequestRetry         // Int; 1 if the client marked it as a retry
)

// The fields of an outcome.
const (
	OutcomeClass  = iota // Text
	OutcomeTenant        // Text
	OutcomeID            // Text
	OutcomeEnding        // Text; served, refused, failed, timed_out or duplicate
	OutcomeTook          // Int; ns
)

// The fields of a member.
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

// eventFields are the fields of each kind of event by their numbers.
var eventFields = map[string][]eventField{
	KindRequest: {
		RequestClass:  {"class", typeText},
		RequestTenant: {"tenant", typeText},
		RequestID:     {"id", typeText},
		RequestKey:    {"key", typeText},
		RequestTarget: {"target", typeText},
		RequestSize:   {"size", typeInt},
		RequestLeft:   {"left", typeDuration},
		RequestRetry:  {"retry", typeBool},
	},
	KindOutcome: {
		OutcomeClass:  {"class", typeText},
		OutcomeTenant: {"tenant", typeText},
		OutcomeID:     {"id", typeText},
		OutcomeEnding: {"ending", typeText},
		OutcomeTook:   {"took", typeDuration},
	},
	KindMember: {
		MemberName:    {"name", typeText},
		MemberAddress: {"address", typeText},
		MemberSite:    {"site", typeText},
		MemberKind:    {"kind", typeText},
		MemberState:   {"state", typeText},
	},
}
