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
