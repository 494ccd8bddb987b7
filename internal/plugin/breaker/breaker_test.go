package breaker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTransitions checks the changes of state from closed to open, half-open, open for a
// longer time and closed again.
func TestTransitions(t *testing.T) {
	b := New(Config{
		MaxFailures: 3, Window: 10 * time.Second, TrialSuccesses: 2,
		OpenDuration: time.Second, MaxOpenDuration: 3 * time.Second,
	})
	for i, step := range []struct {
		at      time.Duration
		allowed bool
		failed  bool
		changed bool
		state   State
	}{
		{1 * time.Second, true, true, false, Closed},
		{2 * time.Second, true, true, false, Closed},
		{13 * time.Second, true, true, false, Closed}, // the first two failures are outside of the window
		{14 * time.Second, true, true, false, Closed},
		{15 * time.Second, true, true, true, Open},
		{15500 * time.Millisecond, false, false, false, Open},
		{16 * time.Second, true, true, false, Open}, // failed trial call: open for 2 s
		{17 * time.Second, false, false, false, Open},
		{18 * time.Second, true, true, false, Open}, // failed trial call: open for 3 s, the maximum
		{20 * time.Second, false, false, false, Open},
		{21 * time.Second, true, false, false, HalfOpen},
		{22 * time.Second, true, false, true, Closed},
		{23 * time.Second, true, true, false, Closed},
	} {
		if got := b.Allow(step.at); got != step.allowed {
			t.Fatalf("step %d at %v: got allowed %v, want the opposite", i, step.at, got)
		}
		if step.allowed {
			if got := b.Done(step.at, step.failed); got != step.changed {
				t.Errorf("step %d at %v: got changed %v, want the opposite", i, step.at, got)
			}
		}
		if b.State() != step.state {
			t.Errorf("step %d at %v: got state %v, want %v", i, step.at, b.State(), step.state)
		}
	}
}

// TestOneTrialAtATime checks that a half-open breaker allows only one trial call at a time.
// It guards against a trial call that never ends: another one is allowed after the window.
func TestOneTrialAtATime(t *testing.T) {
	b := New(Config{MaxFailures: 1, Window: 10 * time.Second, OpenDuration: time.Second})
	b.Allow(0)
	b.Done(0, true)
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{
		{2 * time.Second, true}, {3 * time.Second, false}, {11 * time.Second, false}, {12 * time.Second, true},
	} {
		if got := b.Allow(step.at); got != step.want {
			t.Errorf("at %v: got allowed %v, want %v", step.at, got, step.want)
		}
	}
}

// model is a simple model of a Breaker, which counts all failures.
type model struct {
	config        Config
	failures      []time.Duration // times since the breaker last closed, without trial calls
	lastFailureAt time.Duration
	openedAt      time.Duration
	closedAt      time.Duration
	openDuration  time.Duration
}

// allows reports whether allowed is a correct result of Allow in the state.
func (m *model) allows(state State, now time.Duration, allowed bool) bool {
	switch state {
	case Closed:
		return allowed
	case Open:
		return allowed == (now >= m.openedAt+m.openDuration)
	default:
		return true
	}
}

// done records the end of a call, after which the breaker is in state. It returns the number
// of failures within the window.
func (m *model) done(now time.Duration, trial, failed bool, state State) (recent int) {
	if failed && !trial {
		m.failures = append(m.failures, now)
	}
	switch {
	case failed:
		m.lastFailureAt = now
	case !trial && now > m.lastFailureAt+2*m.config.MaxOpenDuration:
		m.openDuration = m.config.OpenDuration
	}
	for _, failedAt := range m.failures {
		if now-failedAt <= m.config.Window {
			recent++
		}
	}
	switch {
	case trial && failed:
		m.openedAt = now
		m.doubleOpenDuration()
	case !trial && failed && recent >= m.config.MaxFailures:
		m.openedAt = now
		if m.closedAt > 0 && now < m.closedAt+reopenFactor*m.openDuration {
			m.doubleOpenDuration()
		}
	case trial && state == Closed:
		m.failures, m.closedAt = nil, now
	}
	return recent
}

func (m *model) doubleOpenDuration() {
	m.openDuration = min(2*m.openDuration, m.config.MaxOpenDuration)
}

// TestRandomCalls compares a Breaker with the model on random calls: the breaker must open at
// MaxFailures failures within the window and not before, and allow no call until its open
// duration has passed.
func TestRandomCalls(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		config := Config{
			MaxFailures:     1 + rng.IntN(5),
			Window:          time.Duration(1+rng.IntN(20)) * time.Second,
			OpenDuration:    time.Second,
			MaxOpenDuration: 8 * time.Second,
			TrialSuccesses:  1 + rng.IntN(3),
		}
		b, m := New(config), &model{config: config, openDuration: config.OpenDuration}
		var now time.Duration
		for step := range 300 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			before := b.State()
			allowed := b.Allow(now)
			if !m.allows(before, now, allowed) {
				t.Fatalf("seed %d, step %d: state %v: got allowed %v at %v, want the opposite; opened at %v for %v",
					seed, step, before, allowed, now, m.openedAt, m.openDuration)
			}
			if !allowed {
				continue
			}
			failed := rng.IntN(3) == 0
			trial := b.State() == HalfOpen
			b.Done(now, failed)
			recent := m.done(now, trial, failed, b.State())
			opens := failed && recent >= config.MaxFailures
			if !trial && (b.State() == Open) != opens {
				t.Fatalf("seed %d, step %d: got state %v after %d recent failures, maximum %d; want open exactly if the call failed and the maximum is reached",
					seed, step, b.State(), recent, config.MaxFailures)
			}
		}
	}
}
