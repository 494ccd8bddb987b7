package resolver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// service is a discovery service in simulated time.
type service struct {
	responseTime func(startedAt time.Duration) time.Duration // response time of a call that starts at startedAt
}

// fixedResponseTime returns a service with the same response time for all calls.
func fixedResponseTime(responseTime time.Duration) service {
	return service{func(time.Duration) time.Duration { return responseTime }}
}

// callUntilResponse performs the calls of a Schedule until the first response. It returns the time of that
// response, or -1 if there was none before the limit, and the number of calls that were started.
func (svc service) callUntilResponse(
	t *testing.T, schedule *Schedule, limit time.Duration,
) (respondedAt time.Duration, calls int) {
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
			t.Fatalf("got %d calls at a time, want 1 to 2", len(responseAt))
		}
		next := now + step.Wait
		first := CallID(0)
		for id, at := range responseAt {
			if at <= next && (first == 0 || at < responseAt[first]) {
				first = id
			}
		}
		if first != 0 {
			schedule.CallResponded(responseAt[first], first)
			return responseAt[first], calls
		}
		if step.Wait <= 0 {
			t.Fatal("step has no wait, want a positive wait")
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

// A Schedule that cancels calls too early would never get a response from a slow service. A response must
// arrive for each response time up to the longest timeout: after exactly the response time if that is within
// the timeout of the first call, otherwise within three times the response time plus the longest timeout.
func TestSlowServiceResponds(t *testing.T) {
	responseTimes := []time.Duration{
		0, 1200 * time.Millisecond, 3500 * time.Millisecond, 7 * time.Second, 20 * time.Second, 50 * time.Second,
	}
	for name, config := range map[string]Config{"pushed": ForPushedLists(), "polled": ForPolledLists()} {
		for _, hasList := range []bool{true, false} {
			for _, responseTime := range responseTimes {
				for seed := range uint64(20) {
					respondedAt, calls := fixedResponseTime(responseTime).callUntilResponse(
						t, newSchedule(config, hasList, seed), 5*time.Minute)
					delayed := responseTime <= config.CallTimeout && respondedAt != responseTime
					if respondedAt < 0 || delayed || respondedAt > 3*responseTime+config.MaxCallTimeout {
						t.Errorf("%s, has list %v, response time %v: got first response at %v after %d calls, want it at the response time if that is within CallTimeout, otherwise by 3 * response time + MaxCallTimeout (seed %d)",
							name, hasList, responseTime, respondedAt, calls, seed)
					}
				}
			}
		}
	}
}

// A service that was down has lost all earlier calls. After the service has recovered, a call must get its
// response within the time that the rule on drains allows: 2 s for pushed lists, 8 s for polled lists.
func TestServiceRecoveryIsNoticedInTime(t *testing.T) {
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
				recoveredAt := time.Duration(rng.Int64N(int64(3 * time.Minute)))
				svc := service{func(startedAt time.Duration) time.Duration {
					if startedAt < recoveredAt {
						return time.Hour
					}
					return tt.responseTime
				}}
				respondedAt, _ := svc.callUntilResponse(t, newSchedule(tt.config, true, seed), time.Hour)
				if respondedAt < recoveredAt || respondedAt > recoveredAt+tt.within {
					t.Fatalf("service recovered at %v: got first response at %v, want it from the recovery up to the case's limit after it (seed %d)",
						recoveredAt, respondedAt, seed)
				}
			}
		})
	}
}

// A Schedule must not overload a service that does not respond: the number of calls is bounded.
func TestCallsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		config   Config
		hasList  bool
		maxCalls int // in 10 minutes
	}{{ForPushedLists(), true, 601}, {ForPolledLists(), true, 175}, {ForPolledLists(), false, 40}} {
		t.Run(fmt.Sprint(tt.config.HedgeAfter, tt.hasList), func(t *testing.T) {
			schedule := newSchedule(tt.config, tt.hasList, 1)
			if _, calls := fixedResponseTime(time.Hour).callUntilResponse(t, schedule, 10*time.Minute); calls > tt.maxCalls {
				t.Errorf("got %d calls in 10 minutes, want at most maxCalls of the test case", calls)
			}
		})
	}
}

func TestCallFailedReportsWhetherAnotherRuns(t *testing.T) {
	schedule := New(ForPolledLists(), 1)
	first := schedule.Next(0)
	second := schedule.Next(first.Wait)
	if !second.Start || !schedule.CallFailed(second.Call) || schedule.CallFailed(first.Call) {
		t.Error("CallFailed: want true for the first of two calls that fail and false for the last")
	}
}
