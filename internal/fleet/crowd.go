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
type DiscoveryTrial struct {
	Sidecars    int
	ServiceTime time.Duration // for one call
	MaxWait     time.Duration // a call that would wait for longer is answered 503; 0: none is
	HasList     bool          // the sidecars hold a list, which is out of date
	Rule        DiscoveryRule
	StartSpread time.Duration // over which the sidecars begin
	Seed        uint64
	MaxCalls    int // the trial ends there
}

// CrowdRule is how the sidecars of a Crowd call.
type DiscoveryRule string

// The rules.
const (
	FixedTimeout DiscoveryRule = "give up after 3 s and call again" // as before the first finds of the hunt
	HedgedCalls  DiscoveryRule = "resolver.Schedule"
)

// CrowdResult is how a trial went.
type DiscoveryResult struct {
	Answered int           // sidecars that got an answer
	Median   time.Duration // until they did
	Last     time.Duration
	Calls    int // in all
	Rejected int
	Wasted   int // calls worked through for nobody
}

// crowdCaller is a sidecar of a Crowd.
type discoveryCaller struct {
	schedule   *resolver.Schedule
	pending    map[resolver.CallID]bool
	nextCallAt time.Duration
	failures   int
	answeredAt time.Duration
	answered   bool
}

type discoveryCall struct {
	caller      *discoveryCaller
	id          resolver.CallID
	completesAt time.Duration // when it has been worked through
}

// crowdStep is the grain of the trial's clock.
const timeStep = 10 * time.Millisecond

// Run plays the trial.
func (trial DiscoveryTrial) Run() DiscoveryResult {
	rng := rand.New(rand.NewPCG(trial.Seed, 1))
	callers := make([]*discoveryCaller, trial.Sidecars)
	for i := range callers {
		plan := resolver.New(resolver.ForPolledLists(), trial.Seed+uint64(i))
		plan.SetHasList(trial.HasList)
		callers[i] = &discoveryCaller{schedule: plan, pending: make(map[resolver.CallID]bool), nextCallAt: time.Duration(rng.Float64() * float64(trial.StartSpread))}
	}
	var result DiscoveryResult
	var queue []discoveryCall
	free := time.Duration(0) // when the service has worked through all that waits
	for now := time.Duration(0); result.Answered < trial.Sidecars && result.Calls < trial.MaxCalls; now += timeStep {
		for len(queue) > 0 && queue[0].completesAt <= now {
			call := queue[0]
			queue = queue[1:]
			if !call.caller.pending[call.id] {
				result.Wasted++
				continue
			}
			call.caller.answered, call.caller.answeredAt = true, now
			clear(call.caller.pending)
			result.Answered++
		}
		for _, caller := range callers {
			if caller.answered || now < caller.nextCallAt {
				continue
			}
			id, started := trial.nextCall(caller, now)
			if !started {
				continue
			}
			result.Calls++
			if trial.MaxWait > 0 && free-now > trial.MaxWait {
				result.Rejected++
				caller.callRejected(id, now, rng)
				continue
			}
			free = max(free, now) + trial.ServiceTime
			queue = append(queue, discoveryCall{caller, id, free})
		}
	}
	slices.SortFunc(callers, func(a, b *discoveryCaller) int { return cmp.Compare(a.answeredAt, b.answeredAt) })
	result.Last = callers[len(callers)-1].answeredAt
	result.Median = callers[len(callers)/2].answeredAt
	return result
}

// next makes the next call of a sidecar, by the trial's rule.
func (trial DiscoveryTrial) nextCall(caller *discoveryCaller, now time.Duration) (resolver.CallID, bool) {
	if trial.Rule == FixedTimeout {
		clear(caller.pending)
		id := resolver.CallID(now)
		caller.pending[id] = true
		caller.nextCallAt = now + 3*time.Second
		return id, true
	}
	step := caller.schedule.Next(now)
	for _, id := range step.Cancel {
		delete(caller.pending, id)
	}
	caller.nextCallAt = now + step.Wait
	if step.Start {
		caller.pending[step.Call] = true
	}
	return step.Call, step.Start
}

// turnedAway lets a sidecar wait as the decision module does after a failed call, unless
// another call of it is waited for.
func (caller *discoveryCaller) callRejected(id resolver.CallID, now time.Duration, rng *rand.Rand) {
	delete(caller.pending, id)
	if caller.schedule.CallFailed(id) && len(caller.pending) > 0 {
		return
	}
	pause := min(250*time.Millisecond<<min(caller.failures, 16), 1500*time.Millisecond)
	caller.failures++
	caller.nextCallAt = now + time.Duration((0.5+rng.Float64())*float64(pause))
}
