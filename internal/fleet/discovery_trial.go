package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/resolver"
)

// DiscoveryTrial is a load test of the discovery service: all sidecars request the endpoint list at about the same
// time. The service processes calls first in, first out, including calls that their sidecar has cancelled, and rejects
// a call that would wait too long. The trial has its own clock with a fixed step.
type DiscoveryTrial struct {
	// Sidecars is the number of sidecars that need the list, at least 1.
	Sidecars int
	// ServiceTime is the time in which the service processes one call.
	ServiceTime time.Duration
	// MaxWait is the longest time that a call may wait in the service's queue. The service rejects a call that would
	// wait longer; 0: no bound.
	MaxWait time.Duration
	// HasList means that the sidecars already have a list, which is out of date.
	HasList bool
	// Rule determines when the sidecars call the service.
	Rule DiscoveryRule
	// StartSpread is the period over which the starts of the sidecars are uniformly distributed.
	StartSpread time.Duration
	// Seed of the random numbers.
	Seed uint64
	// MaxCalls is the number of calls after which the trial ends.
	MaxCalls int
}

// DiscoveryRule determines when the sidecars of a trial call the discovery service.
type DiscoveryRule string

// The discovery rules. Recorded results include their texts.
const (
	FixedTimeout DiscoveryRule = "give up after 3 s and call again"
	HedgedCalls  DiscoveryRule = "resolver.Schedule" // the schedule of the real sidecar
)

// DiscoveryResult is the result of a trial.
type DiscoveryResult struct {
	// Served is the number of sidecars that received the list.
	Served int
	// Median and Last are the median and the latest time at which a sidecar received the list, from the trial's start.
	Median, Last time.Duration
	// Calls is the number of calls of all sidecars.
	Calls int
	// Rejected is the number of calls that the service rejected.
	Rejected int
	// Wasted is the number of calls that the service completed after their sidecar had cancelled them.
	Wasted int
}

const (
	timeStep           = 10 * time.Millisecond  // step of the trial's clock
	fixedTimeout       = 3 * time.Second        // timeout of a call by the rule FixedTimeout
	initialCallBackoff = 250 * time.Millisecond // after the first rejected call; doubled after each further one
	maxCallBackoff     = 1500 * time.Millisecond
	discoveryStream    = 1 // PCG stream of the random numbers
)

// discoveryCaller is a sidecar that calls the discovery service.
type discoveryCaller struct {
	schedule   *resolver.Schedule
	pending    map[resolver.CallID]bool
	nextCallAt time.Duration
	failures   int
	served     bool
	servedAt   time.Duration
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
	idleAt  time.Duration // when the service has completed all queued calls
	result  DiscoveryResult
}

// Run runs the trial.
func (trial DiscoveryTrial) Run() DiscoveryResult {
	run := trial.newRun()
	for now := time.Duration(0); !run.done(); now += timeStep {
		run.completeCalls(now)
		for _, caller := range run.callers {
			if !caller.served && now >= caller.nextCallAt {
				run.call(caller, now)
			}
		}
	}
	slices.SortFunc(run.callers, func(a, b *discoveryCaller) int { return cmp.Compare(a.servedAt, b.servedAt) })
	run.result.Last = run.callers[len(run.callers)-1].servedAt
	run.result.Median = run.callers[len(run.callers)/2].servedAt
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
	return run.result.Served >= run.trial.Sidecars || run.result.Calls >= run.trial.MaxCalls
}

// completeCalls responds to the calls that the service has completed by now.
func (run *discoveryRun) completeCalls(now time.Duration) {
	for len(run.queue) > 0 && run.queue[0].completesAt <= now {
		call := run.queue[0]
		run.queue = run.queue[1:]
		if !call.caller.pending[call.id] {
			run.result.Wasted++
			continue
		}
		call.caller.served, call.caller.servedAt = true, now
		clear(call.caller.pending)
		run.result.Served++
	}
}

// call makes a caller's next call if the rule starts one now. The service queues or rejects the call.
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

// nextCall applies the rule and returns the ID of the call that it starts. If the caller only cancels calls or waits,
// started is false.
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

// callRejected schedules the next call after a backoff, as the decision module does after a failed call, unless
// another call is pending.
func (caller *discoveryCaller) callRejected(id resolver.CallID, now time.Duration, random *rand.Rand) {
	delete(caller.pending, id)
	if caller.schedule.CallFailed(id) && len(caller.pending) > 0 {
		return
	}
	backoff := min(initialCallBackoff<<min(caller.failures, maxBackoffDoublings), maxCallBackoff)
	caller.failures++
	caller.nextCallAt = now + time.Duration((minBackoffFactor+random.Float64())*float64(backoff))
}
