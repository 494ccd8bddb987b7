package hook

import "time"

// kind is what a value is.
type kind uint8

const (
	kindNone kind = iota
	kindBool
	kindInt
	kindFloat
	kindText
	kindDuration // in ns
	kindTime     // Unix time in ns
	kindList
	kindMap // from texts
)

// typ is a value's type. Types are compared by their identity: each is made once.
type typ struct {
	kind kind
	of   *typ // of a list's entries, of a map's values
}

var (
	typeNone     = &typ{kind: kindNone}
	typeBool     = &typ{kind: kindBool}
	typeInt      = &typ{kind: kindInt}
	typeFloat    = &typ{kind: kindFloat}
	typeText     = &typ{kind: kindText}
	typeDuration = &typ{kind: kindDuration}
	typeTime     = &typ{kind: kindTime}

	named = map[string]*typ{"bool": typeBool, "int": typeInt, "float": typeFloat, "text": typeText, "duration": typeDuration, "time": typeTime}
)

func (t *typ) same(o *typ) bool {
	return t == o || t.kind == o.kind && t.of != nil && o.of != nil && t.of.same(o.of)
}

func (t *typ) String() string {
	switch t.kind {
	case kindList:
		return "list[" + t.of.String() + "]"
	case kindMap:
		return "map[" + t.of.String() + "]"
	}
	for name, x := range named {
		if x == t {
			return name
		}
	}
	return "nothing"
}

// ordered says whether < and > are of use.
func (t *typ) ordered() bool {
	return t.kind == kindInt || t.kind == kindFloat || t.kind == kindText || t.kind == kindDuration || t.kind == kindTime
}

// plain says whether a value is held in its number or text alone.
func (t *typ) plain() bool { return t.kind != kindList && t.kind != kindMap && t.kind != kindNone }

// value is a value of the machine: which of its parts counts follows from its
// type, which the compiler knows.
type value struct {
	n    int64 // bool, int, float's bits, duration and time
	s    string
	list *list
	m    *dict
}

// list and dict are values that can be changed in place; all who hold one see it.
type list struct{ items []value }

// dict keeps its keys in the order in which they came, so that a walk over it is
// the same every time.
type dict struct {
	at   map[string]int
	keys []string
	vals []value
}

// Event is what a hook is run for.
type Event struct {
	Kind string // request, outcome or member
	Now  time.Time
	// Fields are those of the kind, by the numbers of Fields.
	Text  [maxFields]string
	Int   [maxFields]int64
	Heads Headers // of a request; may be nil
}

// Headers finds a request's header; absent is "".
type Headers interface{ Header(name string) string }

const maxFields = 8

// field is something that an event tells.
type field struct {
	name string
	t    *typ
}

// fields are those of each kind of event, in the order of Event.Text and Event.Int.
var fields = map[string][]field{
	"request": {{"class", typeText}, {"tenant", typeText}, {"id", typeText}, {"key", typeText}, {"target", typeText}, {"size", typeInt}, {"left", typeDuration}, {"retry", typeBool}},
	"outcome": {{"class", typeText}, {"tenant", typeText}, {"id", typeText}, {"ending", typeText}, {"took", typeDuration}},
	"member":  {{"name", typeText}, {"address", typeText}, {"site", typeText}, {"kind", typeText}, {"state", typeText}},
}

// The numbers of the fields, in Event.Text or Event.Int as their types are.
const (
	RequestClass = iota
	RequestTenant
	RequestID
	RequestKey
	RequestTarget
	RequestSize
	RequestLeft
	RequestRetry
)

// Those of an outcome.
const (
	OutcomeClass = iota
	OutcomeTenant
	OutcomeID
	OutcomeEnding
	OutcomeTook
)

// Those of a member.
const (
	MemberName = iota
	MemberAddress
	MemberSite
	MemberKind
	MemberState
)

// Effect is something that a program asks for. Nothing of it is done before the
// run has ended well.
type Effect struct {
	Kind  EffectKind
	Name  string
	Text  string
	Pause time.Duration
}

// EffectKind is a kind of Effect.
type EffectKind uint8

// The effects.
const (
	SetHeader    EffectKind = iota // Name and Text
	RemoveHeader                   // Name
	Tag                            // Text
	SetTenant                      // Text
	Refuse                         // Text is why, Pause when to come back
	Count                          // Name, of the daemon's metrics
	Label                          // Name and Text, of an outcome or an instance
)

// allowed are the hooks in which an effect may be asked for.
var allowed = map[EffectKind][]string{
	SetHeader: {"request"}, RemoveHeader: {"request"}, Tag: {"request"}, SetTenant: {"request"}, Refuse: {"request"},
	Count: {"request", "outcome", "member"}, Label: {"outcome", "member"},
}
