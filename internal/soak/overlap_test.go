package soak

import (
	"testing"
	"time"
)

// Guards against violations that are none: while a second outage of discovery overlaps the first, no sidecar can have received
// what was changed during the first.
func TestOverlappingOutagesPostponeChanges(t *testing.T) {
	now := time.Now()
	env := &environment{
		drainKnownAt: map[string]time.Time{"told": now.Add(-time.Second), "held": now.Add(time.Second), "later": now.Add(time.Minute)},
		startKnownAt: map[string]time.Time{"told": now, "held": now.Add(500 * time.Millisecond)},
	}
	env.stopDiscovery(now, 4*time.Second)
	for name, test := range map[string]struct{ got, want time.Time }{
		"drain told before":        {env.drainKnownAt["told"], now.Add(-time.Second)},
		"drain held back":          {env.drainKnownAt["held"], now.Add(4 * time.Second)},
		"drain held back longer":   {env.drainKnownAt["later"], now.Add(time.Minute)},
		"start told at the moment": {env.startKnownAt["told"], now},
		"start held back":          {env.startKnownAt["held"], now.Add(4 * time.Second)},
	} {
		if !test.got.Equal(test.want) {
			t.Errorf("%s: counts as received at %v, want %v", name, test.got.Sub(now), test.want.Sub(now))
		}
	}
}

// Guards against violations that are none: a connection that waited while its node accepted late is often accepted when the node
// does so no longer, and the request on it was written long before.
func TestConnectionsWaitForALateNode(t *testing.T) {
	n := new(node)
	check := func(what string, at time.Time, want time.Duration) {
		if got := n.maxQueueTimeLocked(at); got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	const late = (acceptBacklog + 1) * maxAcceptDelay
	check("healthy", time.Now(), 0)
	n.setBehaviour(hangs)
	n.setBehaviour(healthy)
	check("after another behaviour", time.Now(), 0)
	n.setBehaviour(acceptsLate)
	check("accepts late", time.Now(), late)
	n.setBehaviour(healthy)
	check("right after it", time.Now(), late)
	check("later", time.Now().Add(lateConnectionSpan), 0)
}

// Guards against requests that are counted in a window that ended before they arrived.
func TestArrivalsInTheWindow(t *testing.T) {
	now := time.Now()
	var arrivals []arrival
	for offset := -3 * time.Second; offset <= 3*time.Second; offset += 500 * time.Millisecond {
		arrivals = append(arrivals, arrival{at: now.Add(offset), startKnown: offset == 0})
	}
	window := arrivalsInWindow(arrivals, now)
	if known := countStartKnown(window); len(window) != 3 || known != 1 {
		t.Errorf("got %d arrivals in the window, %d with the start known; want 3 and 1", len(window), known)
	}
}

// Guards against a repeat that is held to be too late because its first attempt is taken to have run as early as it can have
// been sent. A node runs a request when it reads it.
func TestWaitingAttemptIsNoEarlierExecution(t *testing.T) {
	c := newChecker(time.Now())
	c.recordRequest("0-0-1", classes[1], time.Now().Add(time.Second))
	c.recordAttempt("a", "0-0-1", 0, true, 3*time.Second, "")
	c.recordAttempt("b", "0-0-1", 0, true, 0, "")
	for _, violation := range c.violations {
		t.Error(violation)
	}
}
