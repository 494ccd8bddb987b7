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

	// Gone, where the front sets it, looks whether the client has left by now. It
	// may be called from anywhere until the request is answered.
	Gone func() bool
	// NeedsLength, where the front sets it, says that the front cannot show a client
	// an answer whose end is not certain: see Answer.Unsized.
	NeedsLength bool
	// By, in the copy that an attempt has, is when its last byte has to be written
	// at the latest; zero: no matter.
	By time.Time

	guard *attemptGuard // in the copy that an attempt has
}

// ErrNotBegun is why a transport wrote nothing where MayBegin forbade it.
var ErrNotBegun = errors.New("it may not begin any more")

// AnswerMargin is kept to the moment a client gives up, which counts from when
// it sent the request and not from when this process came to read it.
const AnswerMargin = 5 * time.Millisecond

// Request is a client's request. Its front sets the exported fields before
// Submit and leaves them alone from then on.
type Request struct {
	Message
	ID     string // the client's name for it: one that is held is not taken again
	Class  int
	Tenant int
	Repeat bool          // known to be a client's own further try
	Work   time.Duration // a guess at it; 0 where there is none
	Until  time.Time     // when the client gives up

	// Reply takes the one answer. It is called on the core's goroutine and must
	// not block.
	Reply func(Answer)
	// Left, where something between front and core sets it, is called once the
	// client has gone before its answer; the core has no part in it.
	Left func()

	history  history
	id       policy.RequestID
	taken    time.Duration // by the module's clock
	over     bool          // answered, or the client has gone
	attempts []*attempt
	out      int  // attempts that have not ended
	timedOut bool // the last attempt did
}

// Taker takes requests from fronts: a Core, or what stands before it.
type Taker interface {
	// Submit takes a request on; its Reply is called once, also before Submit returns.
	Submit(*Request)
	// Abandon says that a request's client has gone.
	Abandon(*Request)
	// Holds says whether a request of that id is held.
	Holds(id string) bool
	// Ready says whether a list of servers is held.
	Ready() bool
}

// Numbers turns names, by number, around.
func Numbers(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Verdict says how a request ended towards its client.
type Verdict int

// The verdicts. All but Served carry no body.
const (
	Served    Verdict = iota
	Refused           // trying again is harmless; Answer.Pause says when
	Failed            // no promise about its effect
	TimedOut          // the same, as time ran out
	Duplicate         // not taken: a request of this id is held
)

func (v Verdict) String() string { return Verdicts()[v] }

// Verdicts names them by number.
func Verdicts() []string { return []string{"served", "refused", "failed", "timed_out", "duplicate"} }

// Answer is what a client gets.
type Answer struct {
	Verdict Verdict
	Fields  map[string][]string // served: by canonical name; the front owns it
	Body    []byte
	// Unsized, served, says that the body ended with its connection, in order, and had
	// no length: that it is whole is as certain as that is. A front shows it the same way.
	Unsized bool
	Pause   time.Duration // refused: how long to stay away
	Text    string        // refused: why, where something beside the module says so; a line
}

// Node is one process of the list, as the transport of its protocol reaches it.
// Its methods may be called concurrently.
type Node interface {
	// Try carries out one attempt until it has ended or ctx has. The answer
	// comes with policy.Served and only then. Where the ending says that the
	// attempt never ran, that must be certain.
	Try(ctx context.Context, m *Message) (policy.Ending, *Answer)
	// Probe asks for a sign of life and the load. An error that is ErrNotBegun says
	// that nothing was sent for a reason of this machine; any other is the node's.
	Probe(ctx context.Context) (policy.Load, error)
	// Retire says that the process has left or moved: nothing open to it may
	// serve whoever is at its address next.
	Retire()
}

// Instance is one entry of the list of servers.
type Instance struct {
	Name string // the same at every sidecar; never another process's while it is listed
	Host string // what pools know it by; empty: Name
	Addr string // address and port
	Site string
	Kind string // the machine's kind
	// Protocol is what its source says that it speaks; empty: its pool does.
	Protocol string
	Cell     *int // nil: it shares its keys with no other
	Health   Health
	Weight   float64
	Started  time.Duration // Unix time of its last start; 0: long ago
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

// News is what a source has to tell: the whole list or what changed.
type News struct {
	Version uint64 // the source's own
	Whole   bool
	// Confirmed is when the list before these news was last known to hold; zero: not known.
	Confirmed time.Time
	Instances []Instance
}

type attempt struct {
	req    *Request
	number int
	server string
	ctx    context.Context // ends when the attempt is given up
	cancel context.CancelFunc
}
