package policy

import (
	"testing"
	"time"
)

// Whatever the machine's clock was at the process's start and is stepped to later, an endpoint
// that has just started counts as such once there is an earlier list to compare with.
func TestStartedAt(t *testing.T) {
	const (
		truth = 1_000_000 * time.Second // true Unix time
		hour  = time.Hour
	)
	for name, c := range map[string]struct {
		atStart, later time.Duration // errors of the machine's clock at the process's start and now
		age            time.Duration // of the endpoint
		changed        bool
		confirmed      time.Duration // how long ago
		atLeast, most  time.Duration // ages that are good
	}{
		"right":                            {age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, told late":                 {age: 4 * time.Second, changed: true, confirmed: 2 * time.Second, atLeast: 4 * time.Second, most: 4 * time.Second},
		"right, after a silence":           {age: 20 * time.Second, changed: true, confirmed: 30 * time.Second, atLeast: 20 * time.Second, most: 20 * time.Second},
		"long ago":                         {age: 20 * hour, atLeast: 20 * hour, most: 20 * hour},
		"behind at the start, then right":  {atStart: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"ahead at the start, then right":   {atStart: hour, age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, then ahead":                {later: hour, age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, then behind":               {later: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"behind all the time":              {atStart: -hour, later: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"ahead all the time, a change":     {atStart: hour, later: hour, age: 2 * time.Second, changed: true, confirmed: 1900 * time.Millisecond, most: 2 * time.Second},
		"some seconds ahead, a change":     {atStart: 10 * time.Second, later: 10 * time.Second, age: time.Second, changed: true, confirmed: time.Second, most: 2 * time.Second},
		"ahead, not known since when":      {atStart: hour, later: hour, age: 2 * time.Second, changed: true, atLeast: hour, most: 2 * hour},
		"stepped ahead, an old one stays":  {later: hour, age: 10 * hour, atLeast: 10 * hour, most: 10 * hour},
		"stepped back, an old one is warm": {later: -hour, age: 10 * hour, atLeast: 9 * hour, most: 10 * hour},
	} {
		t.Run(name, func(t *testing.T) {
			now := truth + c.atStart // the balancer's clock began at the machine's clock of the start
			e := StartEvidence{Reported: truth - c.age, Now: now, WallClock: truth + c.later, Changed: c.changed}
			if c.confirmed > 0 {
				e.ConfirmedAt = now - c.confirmed
			}
			if age := now - StartedAt(e); age < c.atLeast || age > c.most {
				t.Errorf("taken to be %v old, it is %v", age, c.age)
			}
		})
	}
	if StartedAt(StartEvidence{Now: truth, WallClock: truth, Changed: true, ConfirmedAt: truth}) != 0 {
		t.Error("long ago is not kept")
	}
}
