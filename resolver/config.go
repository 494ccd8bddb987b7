package resolver

import "time"

// Config holds the time settings of a Schedule. No value may be negative.
type Config struct {
	// HedgeAfter is how long the newest call may be without a response before another call starts.
	// HedgeAfter must be above 0. The time doubles with each further call, up to MaxHedgeAfter.
	HedgeAfter    time.Duration
	MaxHedgeAfter time.Duration

	// HedgeAfterWithoutList replaces MaxHedgeAfter while the sidecar has no list. In that state the
	// sidecar cannot use an outdated list, so a slow recovery costs only time.
	HedgeAfterWithoutList time.Duration

	// CallTimeout is how long the older of two calls may be without a response before it is
	// cancelled. The timeout doubles with each call that is cancelled because of it, up to
	// MaxCallTimeout.
	CallTimeout    time.Duration
	MaxCallTimeout time.Duration

	// Jitter is the largest fraction, from 0 to 1, by which the time before the next call is randomly
	// shortened, so that the sidecars of a fleet do not call at the same time.
	Jitter float64
}

// ForPushedLists returns the settings for a discovery agent on the sidecar's own machine. The agent
// responds immediately and at no cost, or not at all while discovery is down. A change counts as known to
// the sidecar once the agent has it. A drain must take effect 2 s after that time.
func ForPushedLists() Config {
	return Config{
		HedgeAfter:            time.Second,
		MaxHedgeAfter:         time.Second,
		HedgeAfterWithoutList: time.Second,
		CallTimeout:           8 * time.Second,
		MaxCallTimeout:        time.Minute,
	}
}

// ForPolledLists returns the settings for a single discovery service that handles the calls of all
// sidecars in sequence. A change counts as known to the sidecar 6 s after it became available. A drain
// must take effect 2 s after that time. If a call starts MaxHedgeAfter after the service has recovered,
// 3.5 s of these 8 s remain for the response. CallTimeout exceeds the time that a call may wait in the
// service's queue, because the service also handles calls that were cancelled.
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
