// Package breaker decides when a plug-in that keeps using up its budget is left
// out, and when it is tried again. It has no clock: whoever asks passes the time.
package breaker

import "time"

// State is what a breaker is in.
type State int

// The states (Nygard, Release It!, "Circuit Breaker").
const (
	Closed   State = iota // calls go through
	Open                  // none does
	HalfOpen              // one at a time does, to see
)

func (s State) String() string { return [...]string{"closed", "open", "half-open"}[s] }

// Config holds the bounds of a Breaker. Zeros take the defaults.
type Config struct {
	MaxFailures     int           // bad calls within Window that open it
	Window          time.Duration //
	OpenDuration    time.Duration // before the first trial; doubled each time a trial is bad, or it opens again soon
	MaxOpenDuration time.Duration
	TrialSuccesses  int // good calls in a row that close it
}

// The defaults of Config.
const (
	DefaultMaxFailures     = 5
	DefaultWindow          = 10 * time.Second
	DefaultOpenDuration    = time.Second
	DefaultMaxOpenDuration = 5 * time.Minute
	DefaultTrialSuccesses  = 3
)

// soon is within how many of its last pauses it opens again soon.
const soon = 10

// Breaker follows one plug-in. It is not safe for concurrent use.
type Breaker struct {
	cfg     Config
	state   State
	strikes []time.Duration // times of the last bad calls, oldest first; Strikes of them at the most
	worst   time.Duration   // the last bad call
	// closedAt is when it closed last; 0: it has not been open.
	closedAt time.Duration
	pause    time.Duration
	until    time.Duration // open: when the first trial may be
	good     int           // half open: calls in a row
	trial    bool          // half open: one is under way
	since    time.Duration // of a trial that is under way
}

// New makes a closed one.
func New(c Config) *Breaker {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setTime := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&c.MaxFailures, DefaultMaxFailures)
	set(&c.TrialSuccesses, DefaultTrialSuccesses)
	setTime(&c.Window, DefaultWindow)
	setTime(&c.OpenDuration, DefaultOpenDuration)
	setTime(&c.MaxOpenDuration, DefaultMaxOpenDuration)
	return &Breaker{cfg: c, pause: c.OpenDuration}
}

// State is what it is in now.
func (b *Breaker) State() State { return b.state }

// Allow says whether a call may go through. Each that may must be followed by
// Done; a trial whose end never comes makes room for another one after Window.
func (b *Breaker) Allow(now time.Duration) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if now < b.until {
			return false
		}
		b.state, b.good, b.trial = HalfOpen, 0, false
	}
	if b.trial && now < b.since+b.cfg.Window {
		return false
	}
	b.trial, b.since = true, now
	return true
}

// Done takes the end of a call: bad is that it used up its budget. Changed says
// that the breaker opened or closed by it, to be told once.
func (b *Breaker) Done(now time.Duration, bad bool) (changed bool) {
	switch b.state {
	case Open: // of a call that began before it opened
		return false
	case HalfOpen:
		b.trial = false
		if bad {
			b.worst = now
			b.pause = min(2*b.pause, b.cfg.MaxOpenDuration)
			b.open(now)
			return false // it had not closed
		}
		if b.good++; b.good < b.cfg.TrialSuccesses {
			return false
		}
		b.state, b.strikes, b.closedAt = Closed, b.strikes[:0], now
		return true
	}
	if !bad {
		if now > b.worst+2*b.cfg.MaxOpenDuration {
			b.pause = b.cfg.OpenDuration // long ago: it begins anew
		}
		return false
	}
	b.worst = now
	if len(b.strikes) == b.cfg.MaxFailures {
		b.strikes = append(b.strikes[:0], b.strikes[1:]...)
	}
	b.strikes = append(b.strikes, now)
	if len(b.strikes) < b.cfg.MaxFailures || now-b.strikes[0] > b.cfg.Window {
		return false
	}
	// Where only some calls are bad the trials are likely good ones, and it would
	// open and close for ever.
	if b.closedAt > 0 && now < b.closedAt+soon*b.pause {
		b.pause = min(2*b.pause, b.cfg.MaxOpenDuration)
	}
	b.open(now)
	return true
}

func (b *Breaker) open(now time.Duration) {
	b.state, b.until = Open, now+b.pause
}
