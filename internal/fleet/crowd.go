package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/resolver"
)

// Crowd is a trial of what sidecars do that all wait for one discovery: a service that
// works through calls in turn, with no regard to who has given up, and turns a call away
// that would wait too long.
type Crowd struct {
	Sidecars  int
	Service   time.Duration // for one call
	TurnAway  time.Duration // a call that would wait for longer is answered 503; 0: none is
	Held      bool          // the sidecars hold a list, which is out of date
	Rule      CrowdRule
	Spread    time.Duration // over which the sidecars begin
	Seed      uint64
	MostCalls int // the trial ends there
}

// CrowdRule is how the sidecars of a Crowd call.
type CrowdRule string

// The rules.
const (
	GiveUpAlike CrowdRule = "give up after 3 s and call again" // as before the first finds of the hunt
	TwoCalls    CrowdRule = "resolver.Schedule"
)

// CrowdResult is how a trial went.
type CrowdResult struct {
	Heard      int           // sidecars that got an answer
	Median     time.Duration // until they did
	Last       time.Duration
	Calls      int // in all
	TurnedAway int
	Wasted     int // calls worked through for nobody
}

// crowdCaller is a sidecar of a Crowd.
type crowdCaller struct {
	plan     *resolver.Schedule
	waits    map[resolver.CallID]bool
	wakeAt   time.Duration
	fails    int
	heard    time.Duration
	answered bool
}

type crowdCall struct {
	from *crowdCaller
	id   resolver.CallID
	at   time.Duration // when it has been worked through
}

// crowdStep is the grain of the trial's clock.
const crowdStep = 10 * time.Millisecond

// Run plays the trial.
func (c Crowd) Run() CrowdResult {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	callers := make([]*crowdCaller, c.Sidecars)
	for i := range callers {
		plan := resolver.New(resolver.ForPolledLists(), c.Seed+uint64(i))
		plan.SetHasList(c.Held)
		callers[i] = &crowdCaller{plan: plan, waits: make(map[resolver.CallID]bool), wakeAt: time.Duration(rng.Float64() * float64(c.Spread))}
	}
	var result CrowdResult
	var queue []crowdCall
	free := time.Duration(0) // when the service has worked through all that waits
	for now := time.Duration(0); result.Heard < c.Sidecars && result.Calls < c.MostCalls; now += crowdStep {
		for len(queue) > 0 && queue[0].at <= now {
			call := queue[0]
			queue = queue[1:]
			if !call.from.waits[call.id] {
				result.Wasted++
				continue
			}
			call.from.answered, call.from.heard = true, now
			clear(call.from.waits)
			result.Heard++
		}
		for _, caller := range callers {
			if caller.answered || now < caller.wakeAt {
				continue
			}
			id, started := c.next(caller, now)
			if !started {
				continue
			}
			result.Calls++
			if c.TurnAway > 0 && free-now > c.TurnAway {
				result.TurnedAway++
				caller.turnedAway(id, now, rng)
				continue
			}
			free = max(free, now) + c.Service
			queue = append(queue, crowdCall{caller, id, free})
		}
	}
	slices.SortFunc(callers, func(a, b *crowdCaller) int { return cmp.Compare(a.heard, b.heard) })
	result.Last = callers[len(callers)-1].heard
	result.Median = callers[len(callers)/2].heard
	return result
}

// next makes the next call of a sidecar, by the trial's rule.
func (c Crowd) next(caller *crowdCaller, now time.Duration) (resolver.CallID, bool) {
	if c.Rule == GiveUpAlike {
		clear(caller.waits)
		id := resolver.CallID(now)
		caller.waits[id] = true
		caller.wakeAt = now + 3*time.Second
		return id, true
	}
	step := caller.plan.Next(now)
	for _, id := range step.Cancel {
		delete(caller.waits, id)
	}
	caller.wakeAt = now + step.Wait
	if step.Start {
		caller.waits[step.Call] = true
	}
	return step.Call, step.Start
}

// turnedAway lets a sidecar wait as the decision module does after a failed call, unless
// another call of it is waited for.
func (caller *crowdCaller) turnedAway(id resolver.CallID, now time.Duration, rng *rand.Rand) {
	delete(caller.waits, id)
	if caller.plan.CallFailed(id) && len(caller.waits) > 0 {
		return
	}
	pause := min(250*time.Millisecond<<min(caller.fails, 16), 1500*time.Millisecond)
	caller.fails++
	caller.wakeAt = now + time.Duration((0.5+rng.Float64())*float64(pause))
}
