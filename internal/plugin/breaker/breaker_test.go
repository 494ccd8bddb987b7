package breaker

import (
	"math/rand/v2"
	"testing"
	"time"
)

const s = time.Second

// The whole way: closed, open, half open, open for longer, closed again.
func TestBreaker(t *testing.T) {
	b := New(Config{MaxFailures: 3, Window: 10 * s, OpenDuration: s, MaxOpenDuration: 3 * s, TrialSuccesses: 2})
	for i, x := range []struct {
		at      time.Duration
		allowed bool
		bad     bool
		changed bool
		state   State
	}{
		{1 * s, true, true, false, Closed}, {2 * s, true, true, false, Closed}, {13 * s, true, true, false, Closed}, // the first two are too long ago
		{14 * s, true, true, false, Closed}, {15 * s, true, true, true, Open}, {15*s + s/2, false, false, false, Open},
		{16 * s, true, true, false, Open}, {17 * s, false, false, false, Open}, // a bad trial: two seconds now
		{18 * s, true, true, false, Open}, {20 * s, false, false, false, Open}, {21 * s, true, false, false, HalfOpen}, // three, the most
		{22 * s, true, false, true, Closed}, {23 * s, true, true, false, Closed},
	} {
		if got := b.Allow(x.at); got != x.allowed {
			t.Fatalf("step %d at %v: allowed %v", i, x.at, got)
		}
		if x.allowed {
			if got := b.Done(x.at, x.bad); got != x.changed {
				t.Errorf("step %d at %v: changed %v", i, x.at, got)
			}
		}
		if b.State() != x.state {
			t.Errorf("step %d at %v: %v, want %v", i, x.at, b.State(), x.state)
		}
	}
}

// Half open, one call at a time goes through; one that never ends makes room.
func TestOneTrial(t *testing.T) {
	b := New(Config{MaxFailures: 1, Window: 10 * s, OpenDuration: s})
	b.Allow(0)
	b.Done(0, true)
	if !b.Allow(2*s) || b.Allow(3*s) || b.Allow(11*s) || !b.Allow(12*s) {
		t.Error("one trial at a time, and another one after the window")
	}
}

// Against plain counting, on random calls: it never opens with fewer strikes than
// it takes, and lets nothing through before its pause has passed.
func TestRandom(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cfg := Config{MaxFailures: 1 + rng.IntN(5), Window: time.Duration(1+rng.IntN(20)) * s, OpenDuration: s, MaxOpenDuration: 8 * s, TrialSuccesses: 1 + rng.IntN(3)}
		b := New(cfg)
		var now, openedAt, worst, closedAt time.Duration
		pause := cfg.OpenDuration
		var bads []time.Duration
		for step := range 300 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			was := b.State()
			allowed := b.Allow(now)
			if was == Closed && !allowed || was == Open && allowed != (now >= openedAt+pause) {
				t.Fatalf("seed %d, step %d: %v, allowed %v at %v, opened at %v for %v", seed, step, was, allowed, now, openedAt, pause)
			}
			if !allowed {
				continue
			}
			bad := rng.IntN(3) == 0
			trial := b.State() == HalfOpen
			if bad && !trial {
				bads = append(bads, now)
			}
			b.Done(now, bad)
			switch {
			case bad:
				worst = now
			case !trial && now > worst+2*cfg.MaxOpenDuration:
				pause = cfg.OpenDuration
			}
			recent := 0
			for _, x := range bads {
				if now-x <= cfg.Window {
					recent++
				}
			}
			switch {
			case trial && bad:
				openedAt, pause = now, min(2*pause, cfg.MaxOpenDuration)
			case !trial && bad && recent >= cfg.MaxFailures:
				if openedAt = now; closedAt > 0 && now < closedAt+soon*pause {
					pause = min(2*pause, cfg.MaxOpenDuration)
				}
			case trial && b.State() == Closed:
				bads, closedAt = nil, now
			}
			if !trial && (b.State() == Open) != (bad && recent >= cfg.MaxFailures) {
				t.Fatalf("seed %d, step %d: %v after %d strikes of %d", seed, step, b.State(), recent, cfg.MaxFailures)
			}
		}
	}
}
