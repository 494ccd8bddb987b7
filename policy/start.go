package policy

import "time"

// StartEvidence is what is known of when a server last started.
type StartEvidence struct {
	Reported time.Duration // Unix time, as the list tells it; 0: long ago

	// Now is the balancer's clock, which runs monotonically and began at what the wall
	// clock said then; WallClock is what the wall clock says now. They differ by as much as
	// the wall clock was stepped since.
	Now, WallClock time.Duration

	// Changed says that the list held told another start of this server, or did not name
	// it; ConfirmedAt is when that list was last known to hold, on the balancer's clock.
	// 0: not known. Neither needs a wall clock.
	Changed     bool
	ConfirmedAt time.Duration
}

// noticeSlack is how much later than a start the list may tell it and the two still
// agree.
const noticeSlack = 3 * time.Second

// StartedAt places a server's start on the balancer's clock. Where the evidence
// disagrees the youngest start counts: a warm server that passes for cold costs some
// service for a while, a cold one that passes for warm falls over. A start is never in
// the future.
func StartedAt(e StartEvidence) time.Duration {
	if e.Reported <= 0 {
		return 0
	}
	started := max(e.Reported, e.Now-(e.WallClock-e.Reported))
	if e.Changed && e.ConfirmedAt > 0 && started < e.ConfirmedAt-noticeSlack {
		started = e.ConfirmedAt // the clocks of this machine and of the list disagree
	}
	return min(started, e.Now)
}
