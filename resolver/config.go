package resolver

import "time"

// Config holds the times of a Schedule. None of them may be negative.
type Config struct {
	// HedgeAfter is how long the newest call may be without a response before a further one
	// starts. It must be above 0. It doubles with each further call, up to MaxHedgeAfter.
	HedgeAfter    time.Duration
	MaxHedgeAfter time.Duration

	// HedgeAfterWithoutList takes the place of MaxHedgeAfter while there is no list: nothing
	// out of date is in use then, so that a slow recovery costs only time.
	HedgeAfterWithoutList time.Duration

	// CallTimeout is how long the older of two calls may be without a response before it is
	// cancelled. It doubles with each call that is cancelled for it, up to MaxCallTimeout.
	CallTimeout    time.Duration
	MaxCallTimeout time.Duration

	// Jitter is the share of the time before the next call, from 0 to 1, of which a random part
	// is left out, so that the sidecars of a fleet do not call at the same time.
	Jitter float64
}

// ForPushedLists returns the times for an agent on the sidecar's own machine. It responds at
// once and at no cost, or not at all while discovery is down. A change counts as known to the
// sidecar once the agent has it, and a drain among the changes takes effect 2 s later.
func ForPushedLists() Config {
	return Config{
		HedgeAfter:            time.Second,
		MaxHedgeAfter:         time.Second,
		HedgeAfterWithoutList: time.Second,
		CallTimeout:           8 * time.Second,
		MaxCallTimeout:        time.Minute,
	}
}

// ForPolledLists returns the times for one service that handles the calls of all sidecars in
// sequence. A change counts as known to the sidecar 6 s after it was available, and a drain
// takes effect 2 s later. A call that starts MaxHedgeAfter after the service's return leaves
// 3.5 s of these 8 s for its response. CallTimeout exceeds the time that a call may wait in the
// service's queue, as the service handles a cancelled call all the same.
func ForPolledLists() Config {
	return Config{
		HedgeAfter:            3 * time.Second,
		MaxHedgeAfter:         4500 * time.Millisecond,
		HedgeAfterWithoutList: 24 * time.Second,
		CallTimeout:           30 * time.Second,
		MaxCallTimeout:        2 * time.Minute,
		Jitter:                0.2,
	}
}
