package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/resolver"
)

// DiscoveryTrial is a load trial of the discovery service: all sidecars need a list from it at once. The service
// takes the calls first in, first out, works on those that were given up, too, and rejects a call that would wait too long.
// The trial has a clock of its own with a fixed step.
type DiscoveryTrial struct {
	// Sidecars that need the list, 1 at least.
	Sidecars int
	// ServiceTime of one call.
	ServiceTime time.Duration
	// MaxWait of a call in the service's queue: one that would wait for longer is rejected; 0: no bound.
	MaxWait time.Duration
	// HasList: the sidecars hold a list already, which is out of date.
	HasList bool
	// Rule by which the sidecars call.
	Rule DiscoveryRule
	// StartSpread is the time in which the sidecars start, uniformly distributed.
	StartSpread time.Duration
	// Seed of the random numbers.
	Seed uint64
	// MaxCalls ends the trial.
	MaxCalls int
}

// DiscoveryRule is how the sidecars of a trial call the discovery service.
type DiscoveryRule string

// The rules.
const (
	FixedTimeout DiscoveryRule = "give up after 3 s and call again"
	HedgedCalls  DiscoveryRule = "resolver.Schedule" // as the real sidecar does
)

// DiscoveryResult is the result of a trial.
type DiscoveryResult struct {
	// Answered is the number of sidecars that got the list.
	Answered int
	// Median and Last are when the sidecars got it, from the trial's start.
	Median, Last time.Duration
	// Calls of all sidecars.
	Calls int
	// Rejected calls.
	Rejected int
	// Wasted are the calls that were served after their sidecar had given them up.
	Wasted int
}

const (
	timeStep        = 10 * time.Millisecond  // of the trial's clock
	fixedTimeout    = 3 * time.Second        // of FixedTimeout
	callBackoff     = 250 * time.Millisecond // after a rejected call; doubled after each further one
	maxCallBackoff  = 1500 * time.Millisecond
	discoveryStream = 1 // of the random numbers
)

// discoveryCaller is a sidecar of a trial.
type discoveryCaller struct {
	schedule   *resolver.Schedule
	pending    map[resolver.CallID]bool
	nextCallAt time.Duration
	failures   int
	answered   bool
	answeredAt time.Duration
}

// discoveryCall is a call in the service's queue.
type discoveryCall struct {
	caller      *discoveryCaller
	id          resolver.CallID
	completesAt time.Duration
}

// discoveryRun is the state of a trial.
type discoveryRun struct {
	trial   DiscoveryTrial
	random  *rand.Rand
	callers []*discoveryCaller
	queue   []discoveryCall
	idleAt  time.Duration // when the service has worked through its queue
	result  DiscoveryResult
}

// Run runs the trial.
func (trial DiscoveryTrial) Run() DiscoveryResult {
	run := trial.newRun()
	for now := time.Duration(0); !run.done(); now += timeStep {
		run.completeCalls(now)
		for _, caller := range run.callers {
			if !caller.answered && now >= caller.nextCallAt {
				run.call(caller, now)
			}
		}
	}
	slices.SortFunc(run.callers, func(a, b *discoveryCaller) int { return cmp.Compare(a.answeredAt, b.answeredAt) })
	run.result.Last = run.callers[len(run.callers)-1].answeredAt
	run.result.Median = run.callers[len(run.callers)/2].answeredAt
	return run.result
}

func (trial DiscoveryTrial) newRun() *discoveryRun {
	run := &discoveryRun{trial: trial, random: rand.New(rand.NewPCG(trial.Seed, discoveryStream))}
	for i := range trial.Sidecars {
		schedule := resolver.New(resolver.ForPolledLists(), trial.Seed+uint64(i))
		schedule.SetHasList(trial.HasList)
		run.callers = append(run.callers, &discoveryCaller{
			schedule:   schedule,
			pending:    make(map[resolver.CallID]bool),
			nextCallAt: time.Duration(run.random.Float64() * float64(trial.StartSpread)),
		})
	}
	return run
}

func (run *discoveryRun) done() bool {
	return run.result.Answered >= run.trial.Sidecars || run.result.Calls >= run.trial.MaxCalls
}

// completeCalls responds to the calls that the service has worked through.
func (run *discoveryRun) completeCalls(now time.Duration) {
	for len(run.queue) > 0 && run.queue[0].completesAt <= now {
		call := run.queue[0]
		run.queue = run.queue[1:]
		if !call.caller.pending[call.id] {
			run.result.Wasted++
			continue
		}
		call.caller.answered, call.caller.answeredAt = true, now
		clear(call.caller.pending)
		run.result.Answered++
	}
}

// call makes a caller's next call, if its rule starts one now, and queues or rejects it.
func (run *discoveryRun) call(caller *discoveryCaller, now time.Duration) {
	id, started := caller.nextCall(run.trial.Rule, now)
	if !started {
		return
	}
	run.result.Calls++
	if run.trial.MaxWait > 0 && run.idleAt-now > run.trial.MaxWait {
		run.result.Rejected++
		caller.callRejected(id, now, run.random)
		return
	}
	run.idleAt = max(run.idleAt, now) + run.trial.ServiceTime
	run.queue = append(run.queue, discoveryCall{caller, id, run.idleAt})
}

// nextCall follows the rule; started is false if it only cancels calls or waits.
func (caller *discoveryCaller) nextCall(rule DiscoveryRule, now time.Duration) (id resolver.CallID, started bool) {
	if rule == FixedTimeout {
		clear(caller.pending)
		id = resolver.CallID(now)
		caller.pending[id] = true
		caller.nextCallAt = now + fixedTimeout
		return id, true
	}
	step := caller.schedule.Next(now)
	for _, cancelled := range step.Cancel {
		delete(caller.pending, cancelled)
	}
	caller.nextCallAt = now + step.Wait
	if step.Start {
		caller.pending[step.Call] = true
	}
	return step.Call, step.Start
}

// callRejected backs off as the decision module does after a failed call, unless another call is pending.
func (caller *discoveryCaller) callRejected(id resolver.CallID, now time.Duration, random *rand.Rand) {
	delete(caller.pending, id)
	if caller.schedule.CallFailed(id) && len(caller.pending) > 0 {
		return
	}
	backoff := min(callBackoff<<min(caller.failures, maxBackoffDoublings), maxCallBackoff)
	caller.failures++
	caller.nextCallAt = now + time.Duration((minBackoffFactor+random.Float64())*float64(backoff))
}
