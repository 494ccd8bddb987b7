package membership

import (
	"math"
	"time"
)

// Flap damping follows RFC 2439. Each time an endpoint stops being Up, its penalty grows by
// flapPenalty, and the penalty halves with each half-life. An endpoint whose penalty reaches the
// suppress threshold is suppressed: it drains, even while it is Up, until the penalty has decayed
// to the reuse threshold. Damping delays a return to service; it never delays a drain.
const (
	flapPenalty       = 1.0 // the other penalties and thresholds are multiples of this unit
	maxPenalty        = 6.0 // limits how long an endpoint stays suppressed
	suppressThreshold = 3.0
	reuseThreshold    = 1.0
	penaltyHalfLife   = 20 * time.Second
)

// updatePenalty decays the endpoint's penalty, and increases it if the endpoint is Ready and its
// status is no longer Up.
func (s *Set) updatePenalty(now time.Duration, ep *endpoint, status Status) {
	ep.decayPenalty(now)
	if ep.isReady() && status != Up {
		ep.penalty = min(maxPenalty, ep.penalty+flapPenalty)
		ep.suppressed = ep.suppressed || ep.penalty >= suppressThreshold
	}
	if ep.suppressed {
		s.timers[ep.addr] = true
	}
}

// decayPenalty reduces the penalty by the time since its last update, and ends the suppression once
// the penalty is at or below the reuse threshold.
func (ep *endpoint) decayPenalty(now time.Duration) {
	ep.penalty *= math.Exp2(-float64(now-ep.penaltyUpdatedAt) / float64(penaltyHalfLife))
	ep.penaltyUpdatedAt = now
	if ep.penalty <= reuseThreshold {
		ep.suppressed = false
	}
}

// stateOf returns the state of an endpoint with the given status, and the reason for the state. A
// suppressed endpoint is Ready if no other endpoint is.
func (s *Set) stateOf(ep *endpoint, status Status, reason string) (State, string) {
	switch {
	case status != Up:
		return Draining, reason
	case !ep.suppressed:
		return Ready, reason
	case !s.hasOtherReady(ep):
		return Ready, "flaps, but no other endpoint is ready; " + reason
	}
	return Draining, "flaps: drained until its flap penalty has decayed; " + reason
}

// hasOtherReady reports whether any endpoint other than ep is Ready.
func (s *Set) hasOtherReady(ep *endpoint) bool {
	others := s.readyCount
	if ep.isReady() {
		others--
	}
	return others > 0
}
