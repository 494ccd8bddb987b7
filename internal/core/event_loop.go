package core

import (
	"context"
	"time"
)

// counterLogInterval is the interval at which the event loop logs its counters.
const counterLogInterval = time.Minute

// post passes an event to the event loop. Any goroutine but the event loop's own may call post. It blocks
// while the loop is busy. Once Run has returned, post drops the event.
func (c *Core) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run handles events until ctx ends. It runs on the caller's goroutine. Run starts the goroutines of
// attempts and probes and does not wait for them: these goroutines end when their contexts end or the
// transports' time limits are reached.
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
			c.step(func() { e.handle(c) })
		case <-c.timer.C:
			c.step(c.timerFired)
		case <-logTicker.C:
			c.logCounters()
		}
	}
}

// step handles one event, and those that the loop itself posts meanwhile.
func (c *Core) step(handle func()) {
	backlog := len(c.events)
	startedAt := time.Now()
	c.startIteration(startedAt)
	handle()
	c.handleLocalEvents()
	c.activity.stepEnded(startedAt, backlog)
}

// startIteration sets Core.now for the next event and reports the iteration to the pause detector.
func (c *Core) startIteration(now time.Time) {
	c.now = c.clock.at(now)
	sinceStart := now.Sub(c.clock.startedAt)
	if paused := c.pauses.iterationStarted(sinceStart); paused > 0 {
		c.pauseEnded(paused)
	}
	c.usage.sample(sinceStart)
}

// handleLocalEvents handles the events that the loop itself posted, including those posted meanwhile.
func (c *Core) handleLocalEvents() {
	for len(c.localEvents) > 0 {
		e := c.localEvents[0]
		c.localEvents = c.localEvents[1:]
		e.handle(c)
	}
}

func (c *Core) timerFired() {
	late := c.now - c.timer.dueAt
	if c.timer.due(c.now) {
		if c.config.OnTimer != nil {
			c.config.OnTimer(late)
		}
		c.balancer.TimerFired(c.now)
	}
}

// balancerTimer is the Balancer's only timer. Only the event loop uses it.
type balancerTimer struct {
	*time.Timer
	dueAt time.Duration // on the Balancer's clock; 0 if the timer is not set
}

func newBalancerTimer() balancerTimer {
	return balancerTimer{Timer: time.NewTimer(time.Hour)} // arbitrary delay until the Balancer sets the timer
}

// set sets the timer to fire after the given delay from now.
func (t *balancerTimer) set(now, after time.Duration) {
	t.dueAt = now + after
	t.Reset(after)
}

// due reports whether a timer that has fired is due. A timer that fired early is set again, because the
// Balancer would ignore the early call and would not set another timer.
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
