package core

import (
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A timer that fires early must not be lost: the Balancer would ignore it and never set another.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	core := newTestCore(t)
	dueAt := core.timer.dueAt // as the Balancer set it at its start
	core.now = dueAt - time.Millisecond
	core.timerFired()
	if dueAt == 0 || core.timer.dueAt != dueAt {
		t.Fatal("an early timer is no longer set")
	}
	for core.now < dueAt { // it was set for the rest of the invented time, so it is early again
		peertest.Await(t, "the timer", core.timer.C)
		core.now = core.clock.now()
		core.timerFired()
	}
	if core.timer.dueAt <= dueAt {
		t.Error("the Balancer was not called: it would have set a later time")
	}
}
