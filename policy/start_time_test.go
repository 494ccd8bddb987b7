package policy

import (
	"testing"
	"time"
)

// The machine's clock may be wrong when the process starts, and may be stepped later. An endpoint that
// has just started must still be recognized as just started if a previous list is known.
func TestStartedAt(t *testing.T) {
	const (
		truth = 1_000_000 * time.Second // correct Unix time
		hour  = time.Hour
	)
	for name, c := range map[string]struct {
		atStart, later time.Duration // errors of the machine's clock at the start of the process and now
		age            time.Duration // true age of the endpoint
		changed        bool          // see StartEvidence.Changed
		confirmed      time.Duration // time since StartEvidence.ConfirmedAt; 0: unknown
		atLeast, most  time.Duration // bounds of the expected age
	}{
		"right":                                 {age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, reported late":                  {age: 4 * time.Second, changed: true, confirmed: 2 * time.Second, atLeast: 4 * time.Second, most: 4 * time.Second},
		"right, reported after an interruption": {age: 20 * time.Second, changed: true, confirmed: 30 * time.Second, atLeast: 20 * time.Second, most: 20 * time.Second},
		"right, old endpoint":                   {age: 20 * hour, atLeast: 20 * hour, most: 20 * hour},
		"behind at the start, then right":       {atStart: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"ahead at the start, then right":        {atStart: hour, age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, then ahead":                     {later: hour, age: 2 * time.Second, atLeast: 2 * time.Second, most: 2 * time.Second},
		"right, then behind":                    {later: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"behind all the time":                   {atStart: -hour, later: -hour, age: 2 * time.Second, most: 2 * time.Second},
		"ahead all the time, start changed":     {atStart: hour, later: hour, age: 2 * time.Second, changed: true, confirmed: 1900 * time.Millisecond, most: 2 * time.Second},
		"some seconds ahead, start changed":     {atStart: 10 * time.Second, later: 10 * time.Second, age: time.Second, changed: true, confirmed: time.Second, most: 2 * time.Second},
		"ahead, confirmation time unknown":      {atStart: hour, later: hour, age: 2 * time.Second, changed: true, atLeast: hour, most: 2 * hour},
		"stepped ahead, old endpoint":           {later: hour, age: 10 * hour, atLeast: 10 * hour, most: 10 * hour},
		"stepped back, old endpoint":            {later: -hour, age: 10 * hour, atLeast: 9 * hour, most: 10 * hour},
	} {
		t.Run(name, func(t *testing.T) {
			now := truth + c.atStart // the balancer's clock was set from the machine's clock at process start
			e := StartEvidence{Reported: truth - c.age, Now: now, WallClock: truth + c.later, Changed: c.changed}
			if c.confirmed > 0 {
				e.ConfirmedAt = now - c.confirmed
			}
			if age := now - StartedAt(e); age < c.atLeast || age > c.most {
				t.Errorf("got age %v, want about the true age %v", age, c.age)
			}
		})
	}
	if StartedAt(StartEvidence{Now: truth, WallClock: truth, Changed: true, ConfirmedAt: truth}) != 0 {
		t.Error("start long ago (0): got another start, want 0")
	}
}
