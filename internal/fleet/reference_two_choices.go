package fleet

import (
	"math/rand/v2"
	"time"
)

// twoChoicesSelector draws two ready endpoints and selects the one with the lower cost (Mitzenmacher, 2001).
type twoChoicesSelector struct {
	random *rand.Rand
	cost   func(now time.Duration, target *target) float64
}

func (selector *twoChoicesSelector) selectTarget(now time.Duration, ready []*target) *target {
	first := ready[selector.random.IntN(len(ready))]
	second := ready[selector.random.IntN(len(ready))]
	if selector.cost(now, second) < selector.cost(now, first) {
		return second
	}
	return first
}

// inFlightCost returns the number of this sidecar's attempts in flight to an endpoint (TwoChoices).
func inFlightCost(_ time.Duration, target *target) float64 { return float64(target.inFlight) }
