// Package resolver decides when a sidecar calls discovery, and which calls it gives up.
//
// A call that has not begun to answer is either slow or lost, and nothing tells which
// before it answers. Giving it up loses a discovery that is slow, for good where it is
// always slower than the patience; waiting for it loses the news of one that was down
// and is back, as calls made before are not answered then. A Schedule therefore keeps
// two calls: the older one is waited for with growing patience, the younger one is
// replaced from time to time. Calls in sum stay bounded: two at a time, and one more
// for each eager interval, which grows while nothing answers.
//
// It has no clock, no goroutine and no I/O.
package resolver

import (
	"math/rand/v2"
	"time"
)

// Config holds the times of a Schedule.
type Config struct {
	// HedgeAfter is how long a call may be without an answer before a further one begins. It
	// doubles each time up to MaxHedgeAfter, or HedgeAfterWithoutList while no list is held: nothing
	// that is out of date is used then, and nothing is lost but time.
	HedgeAfter, MaxHedgeAfter, HedgeAfterWithoutList time.Duration
	// CallTimeout is how long the older call is waited for. It doubles each time that one
	// was waited for in vain, up to MaxCallTimeout.
	CallTimeout, MaxCallTimeout time.Duration
	// Jitter is the share of an eager interval that is drawn, so that the sidecars of a
	// fleet do not call as one.
	Jitter float64
}

// ForPushedLists returns the times for an agent on the sidecar's own machine, which answers at
// once at no cost or is silent while discovery is down. What it gets at the return
// counts as told then, and a drain among it has to be kept 2 s later.
func ForPushedLists() Config {
	return Config{
		HedgeAfter: time.Second, MaxHedgeAfter: time.Second, HedgeAfterWithoutList: time.Second,
		CallTimeout: 8 * time.Second, MaxCallTimeout: time.Minute,
	}
}

// ForPolledLists returns the times for one service that works through the calls of all sidecars
// in turn. A change counts as told 6 s after it could be had, and a drain has to be
// kept 2 s later: a call that begins 4.5 s after the return leaves 3.5 s for its answer.
// The older call is waited for in the service's queue: 8 s were too few where 900 sidecars
// wait and all calls take 20 s, as it was worked through for nobody (fleet.Crowd).
func ForPolledLists() Config {
	return Config{
		HedgeAfter: 3 * time.Second, MaxHedgeAfter: 4500 * time.Millisecond, HedgeAfterWithoutList: 24 * time.Second,
		CallTimeout: 30 * time.Second, MaxCallTimeout: 2 * time.Minute, Jitter: 0.2,
	}
}

// CallID names a call of a Schedule.
type CallID int

// Schedule decides on the calls for one list. The zero value is of no use.
type Schedule struct {
	config  Config
	rng     *rand.Rand
	held    bool
	last    CallID
	calls   []call // the older one first
	eager   time.Duration
	patient time.Duration
	due     time.Duration // when the younger call has had its time
}

type call struct {
	id    CallID
	began time.Duration
}

// New returns a Schedule without calls.
func New(c Config, seed uint64) *Schedule {
	s := &Schedule{config: c, rng: rand.New(rand.NewPCG(seed, 0))}
	s.eager, s.patient = c.HedgeAfter, c.CallTimeout
	return s
}

// SetHasList tells whether a list is held, which may be out of date.
func (s *Schedule) SetHasList(held bool) { s.held = held }

// Step is what is to be done now.
type Step struct {
	Cancel []CallID
	Start  bool   // a call under the name Call
	Call   CallID // where Start is set
	Wait   time.Duration
}

// Next returns what to do at a time, and after how long to ask again if nothing happens.
func (s *Schedule) Next(now time.Duration) Step {
	if len(s.calls) > 0 && now < s.due {
		return Step{Wait: s.due - now}
	}
	var step Step
	if len(s.calls) == 2 {
		step.Cancel = []CallID{s.giveUp(now)}
	}
	if len(s.calls) > 0 {
		s.eager = min(2*s.eager, s.eagerMost())
	}
	s.last++
	step.Start, step.Call = true, s.last
	s.calls = append(s.calls, call{s.last, now})
	step.Wait = s.interval()
	s.due = now + step.Wait
	return step
}

// giveUp takes out one of two calls: the older one once its time is over, else the
// younger one.
func (s *Schedule) giveUp(now time.Duration) CallID {
	older, younger := s.calls[0], s.calls[1]
	if now-older.began < s.patient {
		s.calls = s.calls[:1]
		return younger.id
	}
	s.patient = min(2*s.patient, s.config.MaxCallTimeout)
	s.calls = append(s.calls[:0], younger)
	return older.id
}

func (s *Schedule) eagerMost() time.Duration {
	if s.held {
		return s.config.MaxHedgeAfter
	}
	return s.config.HedgeAfterWithoutList
}

// interval is the time until the next call, at most the longest one allowed.
func (s *Schedule) interval() time.Duration {
	d := min(s.eager, s.eagerMost())
	return d - time.Duration(s.config.Jitter*s.rng.Float64()*float64(d))
}

// CallAnswered takes that a call has begun to answer. All calls are over with it; the next
// ones are given the time that this one took, and half of it again.
func (s *Schedule) CallAnswered(now time.Duration, id CallID) {
	for _, c := range s.calls {
		if c.id == id {
			s.eager = max(s.config.HedgeAfter, (now-c.began)*3/2)
		}
	}
	s.calls, s.patient = nil, s.config.CallTimeout
}

// CallFailed takes that a call has failed, and says whether another one is still waited for.
func (s *Schedule) CallFailed(id CallID) bool {
	for i, c := range s.calls {
		if c.id == id {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	return len(s.calls) > 0
}

// CancelAll takes that all calls were given up from outside.
func (s *Schedule) CancelAll() { s.calls = nil }
