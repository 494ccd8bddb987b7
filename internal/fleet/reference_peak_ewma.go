package fleet

import (
	"math"
	"time"
)

const (
	ewmaDecay  = 2 * time.Second // time constant of the smoothed latency
	minLatency = 1e-6            // seconds; endpoints without a latency differ by their attempts in flight
)

// expectedLatencyCost is the smoothed latency times the attempts in flight with a further one (PeakEWMA, as Finagle
// has it).
func expectedLatencyCost(now time.Duration, target *target) float64 {
	decayed := target.smoothedLatency * decayFactor(now-target.smoothedAt)
	return (decayed + minLatency) * float64(target.inFlight+1)
}

// recordLatency updates the smoothed latency: a peak counts at once, a lower latency gradually.
func (target *target) recordLatency(now, latency time.Duration) {
	seconds, keep := latency.Seconds(), decayFactor(now-target.smoothedAt)
	target.smoothedLatency = max(seconds, target.smoothedLatency*keep+seconds*(1-keep))
	target.smoothedAt = now
}

func decayFactor(passed time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(ewmaDecay))
}
