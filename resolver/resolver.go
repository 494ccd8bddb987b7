// Package resolver decides when a sidecar calls discovery and which calls it cancels.
//
// A call without a response is either slow or lost, and only a response shows which. To
// cancel it too early is to fail with any discovery that is slower than the timeout. To wait
// for it is to miss a discovery that was down and is back, which does not respond to calls from
// before. A Schedule therefore hedges: it keeps two calls, of which the older one has a timeout
// that grows and the newer one is replaced at intervals. The number of calls stays bounded: two
// at a time, and one start for each interval, which grows while there is no response.
//
// The package has no clock, no goroutine and no I/O.
package resolver

import (
	"math/rand/v2"
	"time"
)

// maxCalls is how many calls of a Schedule run at a time.
const maxCalls = 2

// CallID identifies a call of a Schedule. The first one is 1.
type CallID int

// call is a call without a response.
type call struct {
	id        CallID
	startedAt time.Duration
}

// Schedule decides on the calls for one list. It is made by New, is not safe for concurrent
// use, and no method blocks. The times that its methods take are of any one clock that does
// not go backwards.
type Schedule struct {
	config      Config
	rng         *rand.Rand
	hasList     bool
	lastID      CallID
	calls       []call        // in the order of their starts, at most maxCalls
	hedgeAfter  time.Duration // without jitter
	callTimeout time.Duration
	nextStartAt time.Duration // of a further call, while there is one
}

// New returns a Schedule without calls. Two Schedules of the same seed draw the same jitter.
func New(config Config, seed uint64) *Schedule {
	return &Schedule{
		config:      config,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		hedgeAfter:  config.HedgeAfter,
		callTimeout: config.CallTimeout,
	}
}

// SetHasList sets whether the sidecar has a list, which may be out of date.
func (s *Schedule) SetHasList(hasList bool) { s.hasList = hasList }

// Step is what the caller is to do now.
type Step struct {
	Cancel []CallID
	Start  bool          // a call with the ID Call
	Call   CallID        // where Start is set
	Wait   time.Duration // until Next is due, if no call responds or fails before
}

// Next returns what to do at a time.
func (s *Schedule) Next(now time.Duration) Step {
	if len(s.calls) > 0 && now < s.nextStartAt {
		return Step{Wait: s.nextStartAt - now}
	}
	var step Step
	if len(s.calls) == maxCalls {
		step.Cancel = []CallID{s.cancelOne(now)}
	}
	if len(s.calls) > 0 {
		s.hedgeAfter = min(2*s.hedgeAfter, s.maxHedgeAfter())
	}
	s.lastID++
	s.calls = append(s.calls, call{id: s.lastID, startedAt: now})
	step.Start, step.Call = true, s.lastID
	step.Wait = s.jitteredHedgeAfter()
	s.nextStartAt = now + step.Wait
	return step
}

// cancelOne removes one of two calls: the older one after its timeout, else the newer one.
func (s *Schedule) cancelOne(now time.Duration) CallID {
	older, newer := s.calls[0], s.calls[1]
	if now-older.startedAt < s.callTimeout {
		s.calls = s.calls[:1]
		return newer.id
	}
	s.callTimeout = min(2*s.callTimeout, s.config.MaxCallTimeout)
	s.calls = append(s.calls[:0], newer)
	return older.id
}

func (s *Schedule) maxHedgeAfter() time.Duration {
	if s.hasList {
		return s.config.MaxHedgeAfter
	}
	return s.config.HedgeAfterWithoutList
}

// jitteredHedgeAfter returns the time until the next call starts.
func (s *Schedule) jitteredHedgeAfter() time.Duration {
	wait := min(s.hedgeAfter, s.maxHedgeAfter())
	return wait - time.Duration(s.config.Jitter*s.rng.Float64()*float64(wait))
}

// CallAnswered notes that the response to a call has started; the caller cancels all others. The
// next call is hedged after half as long again as this one took to respond, or HedgeAfter if
// that is longer.
func (s *Schedule) CallAnswered(now time.Duration, id CallID) {
	for _, answered := range s.calls {
		if answered.id == id {
			responseTime := now - answered.startedAt
			s.hedgeAfter = max(s.config.HedgeAfter, responseTime+responseTime/2)
		}
	}
	s.calls, s.callTimeout = nil, s.config.CallTimeout
}

// CallFailed notes that a call failed, and reports whether another one is still running.
func (s *Schedule) CallFailed(id CallID) bool {
	for i, failed := range s.calls {
		if failed.id == id {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	return len(s.calls) > 0
}

// CancelAll notes that the caller cancelled all calls.
func (s *Schedule) CancelAll() { s.calls = nil }
