package membership

import (
	"math"
	"time"
)

// Flap damping after RFC 2439: an endpoint gets a penalty each time it stops being Up, and
// the penalty halves with each half-life. From the suppress threshold on the endpoint drains,
// also while it is Up, until the penalty is down to the reuse threshold. Damping delays a
// return; it never delays a drain.
const (
	flapPenalty       = 1.0 // the unit of the others
	maxPenalty        = 6.0 // bounds the time of suppression
	suppressThreshold = 3.0
	reuseThreshold    = 1.0
	penaltyHalfLife   = 20 * time.Second
)

// updatePenalty decays the endpoint's penalty and adds to it if the endpoint was Ready and
// its status is not Up any more.
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

func (ep *endpoint) decayPenalty(now time.Duration) {
	ep.penalty *= math.Exp2(-float64(now-ep.penaltyUpdatedAt) / float64(penaltyHalfLife))
	ep.penaltyUpdatedAt = now
	if ep.penalty <= reuseThreshold {
		ep.suppressed = false
	}
}

// stateOf returns the state of an endpoint of the given status, and why. A suppressed one is
// Ready where no other is.
func (s *Set) stateOf(ep *endpoint, status Status, reason string) (State, string) {
	switch {
	case status != Up:
		return Draining, reason
	case !ep.suppressed:
		return Ready, reason
	case !s.anotherReady(ep):
		return Ready, "it flaps, but there is no other; " + reason
	}
	return Draining, "it flaps: drained until it has kept up for a while; " + reason
}

// anotherReady reports whether any endpoint but ep is Ready.
func (s *Set) anotherReady(ep *endpoint) bool {
	others := s.readyCount
	if ep.isReady() {
		others--
	}
	return others > 0
}
