package fleet

import (
	"math"
	"time"
)

const (
	ewmaDecay  = 2 * time.Second // time constant of the smoothed latency
	minLatency = 1e-6            // seconds; the cost of endpoints without a latency depends on their attempts in flight
)

// expectedLatencyCost returns the smoothed latency multiplied by the number of attempts in flight plus 1 (PeakEWMA, as
// in Finagle).
func expectedLatencyCost(now time.Duration, target *target) float64 {
	decayed := target.smoothedLatency * decayFactor(now-target.smoothedAt)
	return (decayed + minLatency) * float64(target.inFlight+1)
}

// recordLatency updates the smoothed latency: a higher latency replaces it at once, a lower latency reduces it
// gradually.
func (target *target) recordLatency(now, latency time.Duration) {
	seconds, keep := latency.Seconds(), decayFactor(now-target.smoothedAt)
	target.smoothedLatency = max(seconds, target.smoothedLatency*keep+seconds*(1-keep))
	target.smoothedAt = now
}

func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(ewmaDecay))
}
