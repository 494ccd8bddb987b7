package fleet

import (
	"errors"
	"fmt"
	"time"

	"mothridge/policy"
)

// Scenario is all that a run follows from.
type Scenario struct {
	Seed     uint64
	Policy   Policy        // what decides in every sidecar
	Duration time.Duration // new requests come for this long
	Nodes    int
	Sidecars int
	Rate     float64 // first tries a second, over all sidecars
	Node     NodeParams
	Speeds   []float64     // of the nodes, in turn; none: Node.Speed for all
	Network  time.Duration // mean one-way delay between sidecar and node, exponential
	ListLag  time.Duration // longest delay of news of the list, even from 0
	Classes  []Class
	Tenants  []policy.Tenant // none: one
	Slots    int             // of each sidecar; 0: the module's own
	Attempts int             // for one request, at most
	Tries    int             // of a client, its first among them
	MaxPause time.Duration   // the longest pause that clients heed; 0: they come back at once
	Troubles []Trouble

	// MostEvents ends a run that would not end; 0 stands for a hundred million.
	MostEvents uint64
}

// Class is a kind of requests.
type Class struct {
	Share    float64       // of the requests, against the other classes'
	Work     time.Duration // mean, of a core of speed 1
	Fixed    bool          // each takes the mean; else exponential
	Aim      time.Duration
	Deadline time.Duration
	Effect   policy.Effect
	Scope    policy.Scope  // keyed: which nodes drop a repeat; each is a cell of its own
	Window   time.Duration // keyed: for how long, from when the first may have run
}

// NodeParams is what a node can do.
type NodeParams struct {
	Cores        int
	Speed        float64 // of a core
	Queue        int     // requests that it holds at most; 0: any number
	ColdFrom     float64 // share of its speed right after a start
	ColdTime     time.Duration
	ColdMultiple float64 // work offered, over what it can do while cold, above which it falls over
	Fresh        bool    // all have just started when the run begins
}

// Trouble is what happens to a node.
type Trouble struct {
	Kind TroubleKind
	At   time.Duration
	Node int
	For  time.Duration // of a hang and a drain; 0: for good
}

// TroubleKind is a kind of Trouble.
type TroubleKind string

// The kinds of trouble.
const (
	Hang    TroubleKind = "hang"    // it takes requests and answers none
	Drain   TroubleKind = "drain"   // the list says so; then it is back
	Restart TroubleKind = "restart" // what it holds is lost, and it is cold
)

// check names what is wrong with a scenario.
func (s *Scenario) check() error {
	switch {
	case s.Nodes < 1 || s.Sidecars < 1:
		return fmt.Errorf("scenario: %d nodes and %d sidecars: at least one of each is needed", s.Nodes, s.Sidecars)
	case s.Duration <= 0 || !(s.Rate > 0):
		return fmt.Errorf("scenario: a duration of %v and a rate of %v: both above 0 are needed", s.Duration, s.Rate)
	case s.Node.Cores < 1 || !(s.Node.Speed > 0):
		return fmt.Errorf("scenario: nodes of %d cores of speed %v: both above 0 are needed", s.Node.Cores, s.Node.Speed)
	case len(s.Classes) == 0:
		return errors.New("scenario: no class of requests")
	case s.Attempts < 1 || s.Tries < 1:
		return fmt.Errorf("scenario: %d attempts and %d tries: at least one of each is needed", s.Attempts, s.Tries)
	}
	for i, c := range s.Classes {
		if !(c.Share > 0) || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim {
			return fmt.Errorf("scenario: class %d: share %v, work %v, aim %v and deadline %v: all above 0 are needed, the deadline not before the aim", i, c.Share, c.Work, c.Aim, c.Deadline)
		}
	}
	for i, t := range s.Troubles {
		if t.Node < 0 || t.Node >= s.Nodes || t.At < 0 || t.For < 0 {
			return fmt.Errorf("scenario: trouble %d: node %d of %d at %v for %v", i, t.Node, s.Nodes, t.At, t.For)
		}
		if t.Kind != Hang && t.Kind != Drain && t.Kind != Restart {
			return fmt.Errorf("scenario: trouble %d: kind %q is not known: %q, %q or %q is meant", i, t.Kind, Hang, Drain, Restart)
		}
	}
	return nil
}
