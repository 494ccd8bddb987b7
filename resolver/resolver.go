// Package resolver decides when a sidecar calls the discovery service and which calls it cancels.
//
// A call without a response is either slow or lost, and the sidecar cannot tell which before a response
// arrives. If the sidecar cancels calls too early, it never gets a response from a service that is slower
// than the timeout. If it only waits, it does not notice that a service was down and has recovered, because
// the recovered service does not respond to earlier calls. A Schedule therefore hedges: it keeps up to two
// calls. The older call has a timeout that grows, and the newer call is replaced at intervals. The number
// of calls is bounded: at most two run at a time, and one starts in each interval, which grows while there
// is no response.
//
// The package has no clock, no goroutine and no I/O.
package resolver

import (
	"math/rand/v2"
	"time"
)

// maxCalls is the maximum number of calls of a Schedule that run at the same time.
const maxCalls = 2

// CallID identifies a call of a Schedule. The first call has the ID 1.
type CallID int

// call is a running call, which has no response yet.
type call struct {
	id        CallID
	startedAt time.Duration
}

// Schedule decides when the calls for one endpoint list start and which calls are cancelled. Create a
// Schedule with New. It is not safe for concurrent use, and no method blocks. The times that are passed to
// the methods must come from a single clock that does not go backwards.
type Schedule struct {
	config      Config
	rng         *rand.Rand
	hasList     bool
	lastID      CallID
	calls       []call        // in the order in which they started, at most maxCalls
	hedgeAfter  time.Duration // present interval between calls, without jitter
	callTimeout time.Duration
	nextStartAt time.Duration // when the next call may start, while a call is running
}

// New returns a Schedule without calls. Two Schedules with the same seed use the same jitter.
func New(config Config, seed uint64) *Schedule {
	return &Schedule{
		config:      config,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		hedgeAfter:  config.HedgeAfter,
		callTimeout: config.CallTimeout,
	}
}

// SetHasList sets whether the sidecar has a list. The list may be outdated.
func (s *Schedule) SetHasList(hasList bool) { s.hasList = hasList }

// Step describes the actions that the caller must perform now.
type Step struct {
	Cancel []CallID      // calls to cancel
	Start  bool          // start a call with the ID Call
	Call   CallID        // valid only if Start is set
	Wait   time.Duration // time until the next call of Next, unless a call responds or fails earlier
}

// Next returns the actions that are due at the time now.
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

// cancelOne removes one of the two calls and returns its ID. It removes the older call if the timeout of that
// call has passed, otherwise the newer call.
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

// jitteredHedgeAfter returns the time until the next call starts, shortened by the jitter.
func (s *Schedule) jitteredHedgeAfter() time.Duration {
	wait := min(s.hedgeAfter, s.maxHedgeAfter())
	return wait - time.Duration(s.config.Jitter*s.rng.Float64()*float64(wait))
}

// CallResponded records that the response to a call has started. The caller must cancel all other calls. The
// next call is hedged after 1.5 times the response time of the answered call, or after HedgeAfter if that
// is longer.
func (s *Schedule) CallResponded(now time.Duration, id CallID) {
	for _, answered := range s.calls {
		if answered.id == id {
			responseTime := now - answered.startedAt
			s.hedgeAfter = max(s.config.HedgeAfter, responseTime+responseTime/2)
		}
	}
	s.calls, s.callTimeout = nil, s.config.CallTimeout
}

// CallFailed records that a call has failed, and reports whether another call is still running.
func (s *Schedule) CallFailed(id CallID) bool {
	for i, failed := range s.calls {
		if failed.id == id {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	return len(s.calls) > 0
}

// CancelAll records that the caller has cancelled all calls.
func (s *Schedule) CancelAll() { s.calls = nil }
