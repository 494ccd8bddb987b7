package core

import (
	"testing"
	"time"
)

// A client's timeout must not start late because the process was paused when the request arrived.
func TestEarliestArrival(t *testing.T) {
	startedAt := time.Now()
	const second = time.Second
	for _, tt := range []struct {
		name       string
		iterations []time.Duration // times since startedAt
		readAt     time.Duration
		want       time.Duration
	}{
		{name: "no iteration yet", readAt: second, want: second},
		{
			name:       "first iteration is not the end of a pause",
			iterations: []time.Duration{second},
			readAt:     second,
			want:       second,
		},
		{
			name:       "no pause",
			iterations: []time.Duration{second},
			readAt:     second + minPause - 1,
			want:       second + minPause - 1,
		},
		{
			name:       "pause has ended, event loop has not run yet",
			iterations: []time.Duration{second},
			readAt:     second + minPause,
			want:       second,
		},
		{
			name:       "shortly after the shortest pause",
			iterations: []time.Duration{second, second + minPause},
			readAt:     second + minPause + catchUpGrace - 1,
			want:       second,
		},
		{
			name:       "after the grace time that follows a pause",
			iterations: []time.Duration{second, 3 * second},
			readAt:     3*second + catchUpGrace,
			want:       3*second + catchUpGrace,
		},
		{
			name:       "after an interval too short for a pause",
			iterations: []time.Duration{second, second + minPause - 1},
			readAt:     second + minPause,
			want:       second + minPause,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			detector := pauseDetector{startedAt: startedAt}
			for _, iteration := range tt.iterations {
				detector.iterationStarted(iteration)
			}
			got := detector.earliestArrival(startedAt.Add(tt.readAt)).Sub(startedAt)
			if got != tt.want {
				t.Errorf("earliest arrival since startedAt: got %v, want %v", got, tt.want)
			}
		})
	}
}
