package policy

import (
	"testing"
	"time"
)

// The machine's clock may be wrong when the process starts, and may be stepped later. An endpoint that
// has just started must still be recognized as just started if a previous list is known.
func TestStartedAt(t *testing.T) {
	const (
		trueTime = 1_000_000 * time.Second // correct Unix time
		hour     = time.Hour
	)
	for name, tt := range map[string]struct {
		errorAtStart, errorNow time.Duration // errors of the machine's clock at the start of the process and now
		age                    time.Duration // true age of the endpoint
		changed                bool          // see StartEvidence.Changed
		sinceConfirmed         time.Duration // time since StartEvidence.ConfirmedAt; 0: unknown
		minAge, maxAge         time.Duration // bounds of the expected age
	}{
		"right": {
			age: 2 * time.Second, minAge: 2 * time.Second, maxAge: 2 * time.Second,
		},
		"right, reported late": {
			age: 4 * time.Second, changed: true, sinceConfirmed: 2 * time.Second, minAge: 4 * time.Second,
			maxAge: 4 * time.Second,
		},
		"right, reported after an interruption": {
			age: 20 * time.Second, changed: true, sinceConfirmed: 30 * time.Second, minAge: 20 * time.Second,
			maxAge: 20 * time.Second,
		},
		"right, old endpoint": {age: 20 * hour, minAge: 20 * hour, maxAge: 20 * hour},
		"behind at the start, then right": {
			errorAtStart: -hour, age: 2 * time.Second, maxAge: 2 * time.Second,
		},
		"ahead at the start, then right": {
			errorAtStart: hour, age: 2 * time.Second, minAge: 2 * time.Second, maxAge: 2 * time.Second,
		},
		"right, then ahead": {
			errorNow: hour, age: 2 * time.Second, minAge: 2 * time.Second, maxAge: 2 * time.Second,
		},
		"right, then behind": {errorNow: -hour, age: 2 * time.Second, maxAge: 2 * time.Second},
		"behind all the time": {
			errorAtStart: -hour, errorNow: -hour, age: 2 * time.Second, maxAge: 2 * time.Second,
		},
		"ahead all the time, start changed": {
			errorAtStart: hour, errorNow: hour, age: 2 * time.Second, changed: true,
			sinceConfirmed: 1900 * time.Millisecond, maxAge: 2 * time.Second,
		},
		"some seconds ahead, start changed": {
			errorAtStart: 10 * time.Second, errorNow: 10 * time.Second, age: time.Second, changed: true,
			sinceConfirmed: time.Second, maxAge: 2 * time.Second,
		},
		"ahead, confirmation time unknown": {
			errorAtStart: hour, errorNow: hour, age: 2 * time.Second, changed: true, minAge: hour,
			maxAge: 2 * hour,
		},
		"stepped ahead, old endpoint": {
			errorNow: hour, age: 10 * hour, minAge: 10 * hour, maxAge: 10 * hour,
		},
		"stepped back, old endpoint": {
			errorNow: -hour, age: 10 * hour, minAge: 9 * hour, maxAge: 10 * hour,
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := trueTime + tt.errorAtStart // the balancer's clock was set from the machine's clock at process start
			evidence := StartEvidence{ReportedStart: trueTime - tt.age, Now: now, WallClock: trueTime + tt.errorNow, Changed: tt.changed}
			if tt.sinceConfirmed > 0 {
				evidence.ConfirmedAt = now - tt.sinceConfirmed
			}
			if age := now - StartedAt(evidence); age < tt.minAge || age > tt.maxAge {
				t.Errorf("got age %v, want about the true age %v", age, tt.age)
			}
		})
	}
	if StartedAt(StartEvidence{Now: trueTime, WallClock: trueTime, Changed: true, ConfirmedAt: trueTime}) != 0 {
		t.Error("start long ago (0): got another start, want 0")
	}
}
