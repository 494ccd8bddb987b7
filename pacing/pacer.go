package pacing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxWait is the longest time for which a message should wait, so that each gets an answer.
	MaxWait = 100 * time.Millisecond
	// minTick and maxTick bound the time between two grants.
	minTick = time.Millisecond
	maxTick = 10 * time.Millisecond
	// The processor time is sampled after minSampleInterval if sampledMessages were begun meanwhile, else after
	// maxSampleInterval.
	minSampleInterval = 2 * time.Millisecond
	maxSampleInterval = 20 * time.Millisecond
	sampledMessages   = 8
	// busyFactor is how many times the guaranteed rate a flow sends that counts as busy.
	busyFactor = 4
	// lightPart is the part of the usage of a flow of many clients below which other flows do not wait.
	lightPart = 1.0 / 4
	// drainFactor is how many times the guaranteed rate flows may have while the process drains.
	drainFactor = 5
	// observeInterval is the time between two observations of a process that uses over busyPart of its share, or busyUse of a
	// core: below that it is not short of processor time.
	observeInterval = 10 * time.Millisecond
	busyPart        = 0.2
	busyUse         = 0.06
	// maxObserveInterval is the time after which each timer is observed, whether or not it was late.
	maxObserveInterval = 50 * time.Millisecond
	// maxGrantTicks bounds a grant, in ticks of the budget: what is granted at once delays all other work.
	maxGrantTicks = 2
	// costSmoothing is the weight of the newest sample in the mean cost of a message.
	costSmoothing = 0.1
	// minCost is the least processor time that a message is taken to cost, in seconds.
	minCost = 1e-6
	// initialCost is the processor time of a message before any was measured, in seconds.
	initialCost = 100e-6
)

// Pacer decides which flows may go on. Its methods must not be called concurrently.
type Pacer struct {
	budget  budget
	share   float64 // of a core
	waiting []*Flow // in no order

	draining bool
	waited   bool // flows have waited since the last observation

	// all is what all flows send, busy what those send that send far above the guaranteed rate, and heaviest has the usage of the flow
	// of many clients that has sent most lately, for each unit of its weight.
	all, busy, heaviest Flow

	cost  float64 // mean processor time of a message, in seconds
	begun float64 // messages that have come since the last sample, those that wait among them
}

// New returns a Pacer of a process that may use a share of a core, above 0. used is the processor time that it has used.
func New(share float64, now, used time.Duration) *Pacer {
	return &Pacer{
		budget: newBudget(share, now, used),
		share:  share,
		cost:   initialCost,
	}
}

// ProcessorUsed tells the Pacer how much processor time the process has used until now. The clocks must not go back.
func (p *Pacer) ProcessorUsed(now, used time.Duration) {
	if p.begun >= 1 {
		cost := (used - p.budget.used).Seconds() / p.begun
		p.cost = max(minCost, p.cost+costSmoothing*(cost-p.cost))
		p.begun = 0
	}
	p.budget.add(now, used)
}

// NeedsSample reports whether ProcessorUsed should be called before Begin: after few messages it would tell little new.
func (p *Pacer) NeedsSample(now time.Duration) bool {
	elapsed := now - p.budget.at
	return elapsed >= maxSampleInterval || elapsed >= minSampleInterval && p.begun >= sampledMessages
}

// Begin counts what a flow is about to do, with a cost in messages, and reports whether it should wait before: see Wait.
func (p *Pacer) Begin(f *Flow, cost float64, now time.Duration) (mustWait bool) {
	usage := f.decayed(now)
	f.charge(now, cost)
	p.all.charge(now, cost)
	if usage > busyFactor*guaranteedUsage {
		p.busy.charge(now, cost)
	}
	if after := f.decayed(now); f.Weight > 0 && after > p.heaviest.decayed(now) {
		p.heaviest = Flow{usage: after, usageAt: now}
	}
	mustWait = usage >= p.freeUsage(now) && !p.goesFirst(f, usage, now)
	if mustWait && f.credit >= cost {
		f.credit -= cost
		mustWait = false
	}
	p.begun += cost
	return mustWait
}

// Wait makes a flow wait until Grant returns it: for maxWait at the longest. The flow must not be passed to Begin before.
func (p *Pacer) Wait(f *Flow, now, maxWait time.Duration) {
	f.waitUntil = now + maxWait
	p.waiting = append(p.waiting, f)
	p.waited = true
}

// goesFirst reports whether the budget lasts for a flow with a usage, and no flow with less waits. What the messages since the last
// sample are taken to cost does not count for flows of many clients: beside a crowd it would keep new connections waiting.
func (p *Pacer) goesFirst(f *Flow, usage float64, now time.Duration) bool {
	left := p.available()
	if f.Weight > 0 {
		left = p.budget.seconds
	}
	if left <= 0 {
		return false
	}
	for _, other := range p.waiting {
		if other.decayed(now) < usage {
			return false
		}
	}
	return true
}

// available returns what is left of the budget, in seconds, less what the messages that have come since the last sample are
// taken to cost.
func (p *Pacer) available() float64 { return p.budget.seconds - p.begun*p.cost }

// Penalize makes a flow wait behind others for longer, as if it had sent further messages.
func (p *Pacer) Penalize(f *Flow, messages float64, now time.Duration) { f.charge(now, messages) }

// NeedsObservation reports whether Observe should be called because a timer was late.
func (p *Pacer) NeedsObservation(now, late time.Duration) bool {
	return late >= minHoldUp || now-p.budget.observed.at >= maxObserveInterval
}

// Observe tells the Pacer by how much a timer was late at now, and how much processor time the process has used until then: what
// holds it up lowers what it can get. It should be called at least after each NextObservation.
func (p *Pacer) Observe(now, used, late time.Duration) {
	p.ProcessorUsed(now, used)
	p.budget.observe(now, used, late, p.waited)
	p.waited = len(p.waiting) > 0
}

// isFlooded reports whether most messages come from flows far above the guaranteed rate.
func (p *Pacer) isFlooded(now time.Duration) bool { return p.busy.decayed(now) > p.all.decayed(now)/2 }

// freeUsage returns the usage of a flow below which it does not wait. It falls during a flood while the budget is far overdrawn,
// because flows that do not wait then use more than the share. Flows far lighter than one of many clients never wait: that one goes on
// within MaxWait whatever others do, and may use up the share.
func (p *Pacer) freeUsage(now time.Duration) float64 {
	free := guaranteedUsage
	switch {
	case p.draining: // what waits when the process ends is lost
		free *= drainFactor
	case p.isFlooded(now):
		free *= min(1, 2*(1-p.budget.owed()))
	}
	return max(free, lightPart*p.heaviest.decayed(now))
}

// Drain raises the guaranteed rate, because a message that waits when the process ends is lost.
func (p *Pacer) Drain() { p.draining = true }

// Grant returns the waiting flows that may go on now: while the budget lasts, less a reserve for flows that use less, those with
// the least usage first, and in any case those that have waited for as long as they may. If the budget allows for more, it is shared among them for their next messages.
func (p *Pacer) Grant(now time.Duration) (flows []*Flow) {
	slices.SortFunc(p.waiting, func(a, b *Flow) int { return cmp.Compare(a.decayed(now), b.decayed(now)) })
	if len(p.waiting) == 0 {
		return nil
	}
	affordable := 0
	if surplus := p.available() - p.budget.reserve(); surplus > 0 {
		affordable = 1 + int(min(surplus, maxGrantTicks*p.budget.rate*p.tick().Seconds())/p.cost)
	}
	credit := float64(max(0, affordable/len(p.waiting)-1))
	var waiting []*Flow
	for i, f := range p.waiting {
		if i < affordable || now >= f.waitUntil {
			f.credit = credit
			flows = append(flows, f)
		} else {
			waiting = append(waiting, f)
		}
	}
	p.waiting = waiting
	return flows
}

// NextObservation returns after which time Observe, and Grant if flows wait, should be called; needed is false if that is not needed
// before the next message. While flows wait, that is rarer with a small share of a core, as each call costs some processor time.
func (p *Pacer) NextObservation(now time.Duration) (after time.Duration, needed bool) {
	if len(p.waiting) == 0 {
		return observeInterval, p.budget.useRate > min(busyPart*p.share, busyUse)
	}
	after = min(max(p.tick(), p.budget.untilReserved()), maxTick)
	for _, f := range p.waiting {
		after = min(after, f.waitUntil-now)
	}
	return max(after, minTick), true
}

func (p *Pacer) tick() time.Duration {
	return min(maxTick, time.Duration(float64(minTick)/min(p.share, 1)))
}

// Waiting returns the number of flows that are waiting.
func (p *Pacer) Waiting() int { return len(p.waiting) }
