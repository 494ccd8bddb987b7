package core

import (
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A timer that fires early must be set again: the Balancer ignores an early call and sets no other timer,
// so its timer would never fire again.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	core := newTestCore(t)
	dueAt := core.timer.dueAt // set by the Balancer when it started
	core.now = dueAt - time.Millisecond
	core.timerFired()
	if dueAt == 0 || core.timer.dueAt != dueAt {
		t.Fatal("timer fired early and was not set again")
	}
	for core.now < dueAt { // core.now was ahead of the real time, so the timer fires early again
		peertest.Await(t, "the timer", core.timer.C)
		core.now = core.clock.now()
		core.timerFired()
	}
	if core.timer.dueAt <= dueAt {
		t.Error("the timer was not set to a later time, want the Balancer to be called and to set one")
	}
}
