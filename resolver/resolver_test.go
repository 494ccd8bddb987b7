package resolver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// service is a discovery service in simulated time.
type service struct {
	responseTime func(startedAt time.Duration) time.Duration // of a call that starts at a time
}

func constant(responseTime time.Duration) service {
	return service{func(time.Duration) time.Duration { return responseTime }}
}

// run lets a Schedule call the service until its first response, and returns the time of that,
// -1 if none came before the limit, and how many calls were started.
func (svc service) run(t *testing.T, schedule *Schedule, limit time.Duration) (answeredAt time.Duration, calls int) {
	t.Helper()
	responseAt := make(map[CallID]time.Duration)
	for now := time.Duration(0); now < limit; {
		step := schedule.Next(now)
		for _, id := range step.Cancel {
			delete(responseAt, id)
		}
		if step.Start {
			calls++
			responseAt[step.Call] = now + svc.responseTime(now)
		}
		if len(responseAt) > maxCalls || len(responseAt) == 0 {
			t.Fatalf("%d calls at once", len(responseAt))
		}
		next := now + step.Wait
		first := CallID(0)
		for id, at := range responseAt {
			if at <= next && (first == 0 || at < responseAt[first]) {
				first = id
			}
		}
		if first != 0 {
			schedule.CallAnswered(responseAt[first], first)
			return responseAt[first], calls
		}
		if step.Wait <= 0 {
			t.Fatal("no time passes")
		}
		now = next
	}
	return -1, calls
}

func newSchedule(config Config, hasList bool, seed uint64) *Schedule {
	schedule := New(config, seed)
	schedule.SetHasList(hasList)
	return schedule
}

// A service of any response time up to the longest timeout gets a response through: in its
// response time where that is within the timeout of the first call, and within thrice that in
// any case.
func TestSlowServiceAnswers(t *testing.T) {
	responseTimes := []time.Duration{
		0, 1200 * time.Millisecond, 3500 * time.Millisecond, 7 * time.Second, 20 * time.Second, 50 * time.Second,
	}
	for name, config := range map[string]Config{"pushed": ForPushedLists(), "polled": ForPolledLists()} {
		for _, hasList := range []bool{true, false} {
			for _, responseTime := range responseTimes {
				for seed := range uint64(20) {
					at, calls := constant(responseTime).run(t, newSchedule(config, hasList, seed), 5*time.Minute)
					delayed := responseTime <= config.CallTimeout && at != responseTime
					if at < 0 || delayed || at > 3*responseTime+config.MaxCallTimeout {
						t.Errorf("%s, has list %v, %v: answered at %v after %d calls (seed %d)",
							name, hasList, responseTime, at, calls, seed)
					}
				}
			}
		}
	}
}

// A service that was down for any time, and lost the calls from before, answers again within
// what the rule on drains leaves.
func TestReturnOfServiceIsNoticedInTime(t *testing.T) {
	for _, tt := range []struct {
		name         string
		config       Config
		responseTime time.Duration
		within       time.Duration
	}{
		{"pushed", ForPushedLists(), 0, 2 * time.Second},
		{"pushed, slow", ForPushedLists(), 900 * time.Millisecond, 2 * time.Second},
		{"polled", ForPolledLists(), 0, 8 * time.Second},
		{"polled, slow", ForPolledLists(), 3 * time.Second, 8 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			for seed := range uint64(300) {
				returnAt := time.Duration(rng.Int64N(int64(3 * time.Minute)))
				svc := service{func(startedAt time.Duration) time.Duration {
					if startedAt < returnAt {
						return time.Hour
					}
					return tt.responseTime
				}}
				at, _ := svc.run(t, newSchedule(tt.config, true, seed), time.Hour)
				if at < returnAt || at > returnAt+tt.within {
					t.Fatalf("back at %v, answered at %v (seed %d)", returnAt, at, seed)
				}
			}
		})
	}
}

// While no call is answered the calls stay few.
func TestCallsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		config   Config
		hasList  bool
		maxCalls int // in 10 minutes
	}{{ForPushedLists(), true, 601}, {ForPolledLists(), true, 175}, {ForPolledLists(), false, 40}} {
		t.Run(fmt.Sprint(tt.config.HedgeAfter, tt.hasList), func(t *testing.T) {
			schedule := newSchedule(tt.config, tt.hasList, 1)
			if _, calls := constant(time.Hour).run(t, schedule, 10*time.Minute); calls > tt.maxCalls {
				t.Errorf("%d calls", calls)
			}
		})
	}
}

func TestCallFailedReportsWhetherAnotherRuns(t *testing.T) {
	schedule := New(ForPolledLists(), 1)
	first := schedule.Next(0)
	second := schedule.Next(first.Wait)
	if !second.Start || !schedule.CallFailed(second.Call) || schedule.CallFailed(first.Call) {
		t.Error("a failed call is taken for the last one, or the last one is not")
	}
}
