// Package core is the one goroutine that owns the decision module. It takes
// requests from fronts, carries out through transports what the module decides
// and passes the list of servers on to it. It knows no protocol: a front turns
// what it reads into a Request and an Answer into what it writes; a transport
// turns a Message into an attempt at a Node and its end into a policy.Ending.
package core

import (
	"context"
	"errors"
	"time"

	"mothridge/policy"
)

// Message is what goes on to a node, whatever protocol it came by. Its map and
// its body must not be changed once it was handed to the core: several attempts
// may read them.
type Message struct {
	Method string              // GET where it is safe to repeat, else POST
	Target string              // path and query, as they came
	Host   string              // the name that the client asked
	Fields map[string][]string // by canonical name; Request-Id and what else belongs to the request among them
	Body   []byte

	// ClientGone, where the front sets it, looks whether the client has left by now. It
	// may be called from anywhere until the request is answered.
	ClientGone func() bool
	// RequiresLength, where the front sets it, says that the front cannot show a client
	// an answer whose end is not certain: see Answer.Unsized.
	RequiresLength bool
	// WriteDeadline, in the copy that an attempt has, is when its last byte has to be written
	// at the latest; zero: no matter.
	WriteDeadline time.Time

	guard *attemptGuard // in the copy that an attempt has
}

// ErrNotSent is why a transport wrote nothing where MayBegin forbade it.
var ErrNotSent = errors.New("it may not begin any more")

// AnswerMargin is kept to the moment a client gives up, which counts from when
// it sent the request and not from when this process came to read it.
const AnswerMargin = 5 * time.Millisecond

// Request is a client's request. Its front sets the exported fields before
// Submit and leaves them alone from then on.
type Request struct {
	Message
	ID           string // the client's name for it: one that is held is not taken again
	Class        int
	Tenant       int
	ClientRetry  bool          // known to be a client's own further try
	ExpectedWork time.Duration // a guess at it; 0 where there is none
	Deadline     time.Time     // when the client gives up

	// Respond takes the one answer. It is called on the core's goroutine and must
	// not block.
	Respond func(Response)
	// OnClientGone, where something between front and core sets it, is called once the
	// client has gone before its answer; the core has no part in it.
	OnClientGone func()

	history  history
	id       policy.RequestID
	taken    time.Duration // by the module's clock
	over     bool          // answered, or the client has gone
	attempts []*attempt
	out      int  // attempts that have not ended
	timedOut bool // the last attempt did
}

// Handler takes requests from fronts: a Core, or what stands before it.
type Handler interface {
	// Submit takes a request on; its Reply is called once, also before Submit returns.
	Submit(*Request)
	// Abandon says that a request's client has gone.
	Abandon(*Request)
	// HasRequest says whether a request of that id is held.
	HasRequest(id string) bool
	// Ready says whether a list of servers is held.
	Ready() bool
}

// IndexByName turns names, by number, around.
func IndexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Result says how a request ended towards its client.
type Result int

// The verdicts. All but Served carry no body.
const (
	Served    Result = iota
	Rejected         // trying again is harmless; Answer.Pause says when
	Failed           // no promise about its effect
	TimedOut         // the same, as time ran out
	Duplicate        // not taken: a request of this id is held
)

func (v Result) String() string { return ResultNames()[v] }

// ResultNames names them by number.
func ResultNames() []string { return []string{"served", "refused", "failed", "timed_out", "duplicate"} }

// Response is what a client gets.
type Response struct {
	Result Result
	Fields map[string][]string // served: by canonical name; the front owns it
	Body   []byte
	// DelimitedByClose, served, says that the body ended with its connection, in order, and had
	// no length: that it is whole is as certain as that is. A front shows it the same way.
	DelimitedByClose bool
	RetryAfter       time.Duration // refused: how long to stay away
	Detail           string        // refused: why, where something beside the module says so; a line
}

// Upstream is one process of the list, as the transport of its protocol reaches it.
// Its methods may be called concurrently.
type Upstream interface {
	// RoundTrip carries out one attempt until it has ended or ctx has. The answer
	// comes with policy.Served and only then. Where the ending says that the
	// attempt never ran, that must be certain.
	RoundTrip(ctx context.Context, m *Message) (policy.AttemptResult, *Response)
	// Probe asks for a sign of life and the load. An error that is ErrNotBegun says
	// that nothing was sent for a reason of this machine; any other is the node's.
	Probe(ctx context.Context) (policy.LoadReport, error)
	// Retire says that the process has left or moved: nothing open to it may
	// serve whoever is at its address next.
	Retire()
}

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	Name        string // the same at every sidecar; never another process's while it is listed
	Host        string // what pools know it by; empty: Name
	Addr        string // address and port
	Zone        string
	MachineType string // the machine's kind
	// Protocol is what its source says that it speaks; empty: its pool does.
	Protocol  string
	Cell      *int // nil: it shares its keys with no other
	Health    Health
	Weight    float64
	StartedAt time.Duration // Unix time of its last start; 0: long ago
}

// Health is what a source says of an instance.
type Health int

// What a source can say. A word that is not known counts as Draining: it is to
// get nothing new.
const (
	Draining Health = iota
	Up
	Removed
)

// EndpointUpdate is what a source has to tell: the whole list or what changed.
type EndpointUpdate struct {
	Version  uint64 // the source's own
	Complete bool
	// ConfirmedAt is when the list before these news was last known to hold; zero: not known.
	ConfirmedAt time.Time
	Endpoints   []Endpoint
}

type attempt struct {
	req    *Request
	number int
	server string
	ctx    context.Context // ends when the attempt is given up
	cancel context.CancelFunc
}
