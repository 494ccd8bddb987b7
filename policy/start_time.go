// The time at which an endpoint last started, on the balancer's clock. The inputs come from clocks that may
// disagree.

package policy

import "time"

// StartEvidence is the available information about the last start of an endpoint.
type StartEvidence struct {
	ReportedStart time.Duration // start in Unix time, as in the endpoint list; 0 means long ago

	// Now is the current time on the balancer's clock, which is monotonic and was set to the machine's Unix
	// time when the process started. WallClock is the machine's current Unix time. The two differ by the
	// amount by which the machine's clock was stepped since the process started.
	Now, WallClock time.Duration

	Changed     bool          // the previous list had another start of this endpoint, or no start
	ConfirmedAt time.Duration // when that list was last known to be current, on the balancer's clock; 0: unknown
}

// reportTolerance is the maximum delay between a start and its appearance in the list if the clocks agree.
const reportTolerance = 3 * time.Second

// StartedAt returns the start of an endpoint on the balancer's clock; 0 means long ago. The result is
// never in the future. If the clocks disagree, StartedAt returns the latest of the possible starts: an
// unnecessary slow start reduces the capacity for a while, but a missing slow start overloads an
// endpoint that has just started.
func StartedAt(evidence StartEvidence) time.Duration {
	if evidence.ReportedStart <= 0 {
		return 0
	}
	age := evidence.WallClock - evidence.ReportedStart
	started := max(evidence.ReportedStart, evidence.Now-age)
	startedSinceConfirmed := evidence.Changed && evidence.ConfirmedAt > 0
	if startedSinceConfirmed && started < evidence.ConfirmedAt-reportTolerance {
		started = evidence.ConfirmedAt
	}
	return min(started, evidence.Now)
}
