// Package breaker is a circuit breaker (Nygard, Release It!): it decides when a plug-in
// that keeps exceeding its budget is skipped, and when it is tried again.
//
// The package is pure: no clock, no I/O, no goroutine. Times are durations since a start
// that the caller chooses, and must not decrease.
package breaker

import "time"

// State is the state of a Breaker.
type State int

// The states.
const (
	Closed   State = iota // every call is allowed
	Open                  // no call is allowed
	HalfOpen              // one trial call at a time is allowed
)

// String returns the state's name, as logs have it.
func (s State) String() string { return [...]string{"closed", "open", "half-open"}[s] }

// Config holds the bounds of a Breaker. A value that is not above 0 takes its default.
type Config struct {
	// MaxFailures is how many failures within Window open the breaker
	// (DefaultMaxFailures).
	MaxFailures int
	// Window is the time within which failures are counted, and how long a trial call may
	// take before another one is allowed (DefaultWindow).
	Window time.Duration
	// OpenDuration is how long the breaker is open before the first trial call
	// (DefaultOpenDuration). It doubles, up to MaxOpenDuration, each time that a trial
	// fails or the breaker opens again soon after it closed.
	OpenDuration time.Duration
	// MaxOpenDuration bounds the doubled OpenDuration (DefaultMaxOpenDuration).
	MaxOpenDuration time.Duration
	// TrialSuccesses is how many trial calls in a row must succeed to close the breaker
	// (DefaultTrialSuccesses).
	TrialSuccesses int
}

// The defaults of Config.
const (
	DefaultMaxFailures     = 5
	DefaultWindow          = 10 * time.Second
	DefaultOpenDuration    = time.Second
	DefaultMaxOpenDuration = 5 * time.Minute
	DefaultTrialSuccesses  = 3
)

const (
	// reopenFactor, times the last open duration, is how long after it closed a breaker
	// that opens again does so soon.
	reopenFactor = 10
	// resetFactor, times MaxOpenDuration, is how long after the last failure the open
	// duration is reset to Config's.
	resetFactor = 2
)

func (c Config) withDefaults() Config {
	return Config{
		MaxFailures:     positiveOr(c.MaxFailures, DefaultMaxFailures),
		Window:          positiveOr(c.Window, DefaultWindow),
		OpenDuration:    positiveOr(c.OpenDuration, DefaultOpenDuration),
		MaxOpenDuration: positiveOr(c.MaxOpenDuration, DefaultMaxOpenDuration),
		TrialSuccesses:  positiveOr(c.TrialSuccesses, DefaultTrialSuccesses),
	}
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Breaker decides for one plug-in. It is not safe for concurrent use, and never blocks.
type Breaker struct {
	config Config
	state  State

	failures      []time.Duration // while closed: times of the last MaxFailures failures, oldest first
	lastFailureAt time.Duration   // in any state
	closedAt      time.Duration   // when it closed last; 0: it has never been open

	openDuration   time.Duration // of the next or the present time that it is open
	firstTrialAt   time.Duration // while open: when the first trial call is allowed
	trialSuccesses int           // while half-open: in a row
	trialInFlight  bool          // while half-open
	trialStartedAt time.Duration // of the trial in flight
}

// New returns a closed Breaker.
func New(config Config) *Breaker {
	config = config.withDefaults()
	return &Breaker{config: config, openDuration: config.OpenDuration}
}

// State is the present state. An open breaker becomes half-open in Allow.
func (b *Breaker) State() State { return b.state }

// Allow reports whether a call may be made now. Done must follow each allowed call; if
// that of a trial call does not come within Window, another trial is allowed.
func (b *Breaker) Allow(now time.Duration) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if now < b.firstTrialAt {
			return false
		}
		b.halfOpen()
	case HalfOpen:
	}
	return b.allowTrial(now)
}

// Done takes the end of an allowed call; it failed if it exceeded its budget. Changed
// reports that the breaker has opened or closed, for the log; a failed trial is no change.
func (b *Breaker) Done(now time.Duration, failed bool) (changed bool) {
	switch b.state {
	case Closed:
		return b.callDone(now, failed)
	case HalfOpen:
		return b.trialDone(now, failed)
	case Open: // the call began before the breaker opened
	}
	return false
}

func (b *Breaker) allowTrial(now time.Duration) bool {
	if b.trialInFlight && now < b.trialStartedAt+b.config.Window {
		return false
	}
	b.trialInFlight = true
	b.trialStartedAt = now
	return true
}

// callDone takes the end of a call while the breaker is closed.
func (b *Breaker) callDone(now time.Duration, failed bool) (changed bool) {
	if !failed {
		if now > b.lastFailureAt+resetFactor*b.config.MaxOpenDuration {
			b.openDuration = b.config.OpenDuration
		}
		return false
	}
	b.recordFailure(now)
	if !b.tooManyFailures(now) {
		return false
	}
	if b.reopensSoon(now) {
		// If only some calls fail, trials are likely to succeed: without this the breaker
		// would open and close for ever.
		b.doubleOpenDuration()
	}
	b.open(now)
	return true
}

// trialDone takes the end of a trial call.
func (b *Breaker) trialDone(now time.Duration, failed bool) (changed bool) {
	b.trialInFlight = false
	if failed {
		b.lastFailureAt = now
		b.doubleOpenDuration()
		b.open(now)
		return false
	}
	b.trialSuccesses++
	if b.trialSuccesses < b.config.TrialSuccesses {
		return false
	}
	b.close(now)
	return true
}

func (b *Breaker) recordFailure(now time.Duration) {
	b.lastFailureAt = now
	if len(b.failures) == b.config.MaxFailures {
		b.failures = append(b.failures[:0], b.failures[1:]...)
	}
	b.failures = append(b.failures, now)
}

func (b *Breaker) tooManyFailures(now time.Duration) bool {
	return len(b.failures) == b.config.MaxFailures && now-b.failures[0] <= b.config.Window
}

func (b *Breaker) reopensSoon(now time.Duration) bool {
	return b.closedAt > 0 && now < b.closedAt+reopenFactor*b.openDuration
}

func (b *Breaker) doubleOpenDuration() {
	b.openDuration = min(2*b.openDuration, b.config.MaxOpenDuration)
}

func (b *Breaker) open(now time.Duration) {
	b.state = Open
	b.firstTrialAt = now + b.openDuration
}

func (b *Breaker) halfOpen() {
	b.state = HalfOpen
	b.trialSuccesses = 0
	b.trialInFlight = false
}

func (b *Breaker) close(now time.Duration) {
	b.state = Closed
	b.failures = b.failures[:0]
	b.closedAt = now
}
