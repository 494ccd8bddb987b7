package core

import (
	"context"
	"time"
)

// counterLogInterval is the time between two log lines with counters.
const counterLogInterval = time.Minute

// post passes an event to the event loop, from any other goroutine. It blocks while the loop is busy;
// once Run has returned, events are dropped.
func (c *Core) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run handles events until ctx ends. The caller owns its goroutine. Run starts those of attempts and
// probes and does not wait for them: they end with their contexts and the transports' bounds.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	logTicker := time.NewTicker(counterLogInterval)
	defer logTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.logCounters()
			return
		case e := <-c.events:
			c.startIteration()
			e.handle(c)
		case <-c.timer.C:
			c.startIteration()
			c.timerFired()
		case <-logTicker.C:
			c.logCounters()
		}
		c.handleLocalEvents()
	}
}

// startIteration sets the time of the next event.
func (c *Core) startIteration() {
	now := time.Now()
	c.now = c.clock.at(now)
	c.pauses.iterationStarted(now.Sub(c.clock.startedAt))
}

// handleLocalEvents handles the events that the loop posted itself, until none follows.
func (c *Core) handleLocalEvents() {
	for len(c.localEvents) > 0 {
		e := c.localEvents[0]
		c.localEvents = c.localEvents[1:]
		e.handle(c)
	}
}

func (c *Core) timerFired() {
	if c.timer.due(c.now) {
		c.balancer.TimerFired(c.now)
	}
}

// balancerTimer is the Balancer's one timer. Event loop only.
type balancerTimer struct {
	*time.Timer
	dueAt time.Duration // on the Balancer's clock; 0: not set
}

func newBalancerTimer() balancerTimer {
	return balancerTimer{Timer: time.NewTimer(time.Hour)} // until the Balancer sets it
}

// set sets the timer to fire after a time from now.
func (t *balancerTimer) set(now, after time.Duration) {
	t.dueAt = now + after
	t.Reset(after)
}

// due reports whether a timer that has fired is due. One that fired early is set again: the Balancer
// would ignore the call and set no other.
func (t *balancerTimer) due(now time.Duration) bool {
	if t.dueAt == 0 {
		return false
	}
	if now < t.dueAt {
		t.Reset(t.dueAt - now)
		return false
	}
	t.dueAt = 0
	return true
}
