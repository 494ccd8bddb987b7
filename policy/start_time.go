// When an endpoint last started, on the balancer's clock. The inputs are times of clocks that may disagree.

package policy

import "time"

// StartEvidence is what is known of the last start of an endpoint.
type StartEvidence struct {
	Reported time.Duration // the start in Unix time, as the endpoint list gives it; 0: long ago

	// Now is the balancer's clock, monotonic and set to the machine's Unix time at the process's start;
	// WallClock is the machine's Unix time now. They differ by as much as that was stepped since.
	Now, WallClock time.Duration

	Changed     bool          // the list before gave another start of this endpoint, or none
	ConfirmedAt time.Duration // when that list was last known to hold, on the balancer's clock; 0: unknown
}

// reportTolerance is how long after a start the list may report it, by agreeing clocks.
const reportTolerance = 3 * time.Second

// StartedAt returns the start on the balancer's clock; 0 means long ago. A start is never in the future.
// Where the evidence disagrees the latest start counts: a slow start without need costs capacity for a
// while, but without one a cold endpoint is overloaded.
func StartedAt(evidence StartEvidence) time.Duration {
	if evidence.Reported <= 0 {
		return 0
	}
	age := evidence.WallClock - evidence.Reported
	started := max(evidence.Reported, evidence.Now-age)
	startedSinceConfirmed := evidence.Changed && evidence.ConfirmedAt > 0
	if startedSinceConfirmed && started < evidence.ConfirmedAt-reportTolerance {
		started = evidence.ConfirmedAt
	}
	return min(started, evidence.Now)
}
