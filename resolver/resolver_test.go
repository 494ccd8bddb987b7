package resolver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// play runs a Schedule against a service and returns when it was first answered, and how
// many calls it made; answer says how long a call that begins at a time takes.
func play(t *testing.T, c Config, held bool, seed uint64, until time.Duration, answer func(began time.Duration) time.Duration) (time.Duration, int) {
	t.Helper()
	s, calls := New(c, seed), 0
	s.SetHasList(held)
	due := make(map[CallID]time.Duration)
	for now := time.Duration(0); now < until; {
		step := s.Next(now)
		for _, id := range step.Cancel {
			delete(due, id)
		}
		if step.Start {
			calls++
			due[step.Call] = now + answer(now)
		}
		if len(due) > 2 || len(due) == 0 {
			t.Fatalf("%d calls at once", len(due))
		}
		next := now + step.Wait
		first := CallID(0)
		for id, at := range due {
			if at <= next && (first == 0 || at < due[first]) {
				first = id
			}
		}
		if first != 0 {
			s.CallAnswered(due[first], first)
			return due[first], calls
		}
		if step.Wait <= 0 {
			t.Fatal("no time passes")
		}
		now = next
	}
	return -1, calls
}

func always(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// However long the service takes, up to the longest patience, it is heard: at its own
// speed where the first call is waited for, and within thrice that in any case.
func TestAnySpeedIsHeard(t *testing.T) {
	for name, c := range map[string]Config{"pushed": ForPushedLists(), "asked": ForPolledLists()} {
		for _, held := range []bool{true, false} {
			for _, takes := range []time.Duration{0, 1200 * time.Millisecond, 3500 * time.Millisecond, 7 * time.Second, 20 * time.Second, 50 * time.Second} {
				for seed := range uint64(20) {
					at, calls := play(t, c, held, seed, 5*time.Minute, always(takes))
					if at < 0 || takes <= c.CallTimeout && at != takes || at > 3*takes+c.MaxCallTimeout {
						t.Errorf("%s, held %v, %v: heard at %v after %d calls (seed %d)", name, held, takes, at, calls, seed)
					}
				}
			}
		}
	}
}

// A service that was down for any time, with calls of before lost, is heard again
// within what the drain rule leaves.
func TestReturnIsHeardInTime(t *testing.T) {
	for _, tt := range []struct {
		name          string
		c             Config
		takes, within time.Duration
	}{
		{"pushed", ForPushedLists(), 0, 2 * time.Second},
		{"pushed, slow", ForPushedLists(), 900 * time.Millisecond, 2 * time.Second},
		{"asked", ForPolledLists(), 0, 8 * time.Second},
		{"asked, slow", ForPolledLists(), 3 * time.Second, 8 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			for seed := range uint64(300) {
				back := time.Duration(rng.Int64N(int64(3 * time.Minute)))
				at, _ := play(t, tt.c, true, seed, time.Hour, func(began time.Duration) time.Duration {
					if began < back {
						return time.Hour
					}
					return tt.takes
				})
				if at < back || at > back+tt.within {
					t.Fatalf("back at %v, heard at %v (seed %d)", back, at, seed)
				}
			}
		})
	}
}

// While nothing answers the calls stay few, and a failed one counts.
func TestCallsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		c    Config
		held bool
		most int // in 10 minutes
	}{{ForPushedLists(), true, 601}, {ForPolledLists(), true, 175}, {ForPolledLists(), false, 40}} {
		t.Run(fmt.Sprint(tt.c.HedgeAfter, tt.held), func(t *testing.T) {
			if _, calls := play(t, tt.c, tt.held, 1, 10*time.Minute, always(time.Hour)); calls > tt.most {
				t.Errorf("%d calls", calls)
			}
		})
	}
	s := New(ForPolledLists(), 1)
	first := s.Next(0)
	second := s.Next(first.Wait)
	if !second.Start || !s.CallFailed(second.Call) || s.CallFailed(first.Call) {
		t.Error("a failed call is not told from the last one")
	}
}
