// Package pacing decides when clients that send at full speed may send their next request, so that they do not spend the
// processor time that all clients share.
//
// The budget of processor time grows with time at a part of what the process can get, at most of its share of a core, and shrinks by
// what the process has used for whatever purpose. While it is spent, flows that have sent more than a guaranteed rate wait. Those that
// have sent least lately go on first, so that the rest of the share is divided among the flows by max-min fairness.
//
// The package does no I/O, starts no goroutine and reads no clock: times are durations since a common start.
package pacing

import (
	"math"
	"time"
)

const (
	// usableShare is the part of the process's share of a core that paced work may fill. The rest is for requests that
	// do not wait, and for what a platform counts otherwise than the process does.
	usableShare = 0.8
	// maxSaved is for how long an unused share is saved, and maxOwed for how long an overdrawn one is owed.
	maxSaved = 25 * time.Millisecond
	maxOwed  = 200 * time.Millisecond
	// holdUpSpan is the time in which what was saved during a hold-up fades.
	holdUpSpan = 100 * time.Millisecond
	// reserveSpan is the part of maxSaved that is left for flows that need not wait behind others.
	reserveSpan = 10 * time.Millisecond
	// useSpan is the time over which the use is averaged, and supplySpan that over which the supply is. While flows wait and the
	// process is held up, the supply falls within shortageSpan.
	useSpan      = 100 * time.Millisecond
	supplySpan   = 500 * time.Millisecond
	shortageSpan = 200 * time.Millisecond
	// meanUseSpan is the time over which the use is averaged below which the rate does not fall.
	meanUseSpan = time.Second
	// minHoldUp is the shortest time for which a process counts as held up. Timers of an idle process are late by less.
	minHoldUp = 2 * time.Millisecond
	// observedSpan is the least time over which hold-ups are counted before they change the supply.
	observedSpan = 100 * time.Millisecond
	// searchRate is by how much the supply grows in a second while flows wait, so that more is tried.
	searchRate = 0.5
	// minSupply is the least supply, in cores: little is won by holding back more, and clients in good faith have no room left.
	minSupply = 0.06
)

// budget is the processor time that may be used now, in seconds; negative if more was used than the share allows.
type budget struct {
	share   float64 // of a core, that the process may use
	supply  float64 // part of its time for which the process can run, from 0 to 1
	rate    float64 // seconds of processor time that are added in a second
	useRate float64 // seconds of processor time that were used in a second lately

	seconds float64
	unsaved float64       // seconds that were due with the last sample, but more than is saved
	at      time.Duration // of the last sample
	used    time.Duration // by the process until then

	observed     observation
	span         observation   // start of the span in which hold-ups are counted
	heldUp       time.Duration // in this span
	waitedInSpan bool          // flows have waited in this span
	meanUse      float64       // seconds of processor time that were used in a second in the last spans
}

// observation is when the process was last observed, and what it had used until then.
type observation struct{ at, used time.Duration }

// newBudget returns a budget with all that may be saved.
func newBudget(share float64, now, used time.Duration) budget {
	b := budget{share: share, supply: 1, at: now, used: used, observed: observation{now, used}, span: observation{now, used}}
	b.rate = b.fullRate()
	b.seconds = b.rate * maxSaved.Seconds()
	return b
}

// fullRate returns the rate of a process that gets its whole share.
func (b *budget) fullRate() float64 { return usableShare * b.share }

// owed returns how far the budget is overdrawn, as a part of the most that is owed, from 0 to 1.
func (b *budget) owed() float64 { return max(0, -b.seconds) / (b.rate * maxOwed.Seconds()) }

// add adds what has become due, and subtracts what the process has used since the last sample.
func (b *budget) add(now, used time.Duration) {
	elapsed := now - b.at
	if elapsed <= 0 {
		return
	}
	usedNow := max(0, used-b.used).Seconds()
	b.useRate += (usedNow/elapsed.Seconds() - b.useRate) * min(1, elapsed.Seconds()/useSpan.Seconds())
	mostSaved := b.rate * maxSaved.Seconds()
	if extra := b.seconds - mostSaved; extra > 0 {
		b.seconds = mostSaved + extra*math.Exp(-elapsed.Seconds()/holdUpSpan.Seconds())
		mostSaved = b.seconds
	}
	b.seconds += b.rate*elapsed.Seconds() - usedNow
	b.unsaved = max(0, b.seconds-mostSaved)
	b.seconds = min(max(b.seconds, -b.rate*maxOwed.Seconds()), mostSaved)
	b.at, b.used = now, used
}

// observe counts hold-ups. late is by how much a timer was late at now, and waited says that flows have waited since the last call.
//
// While a timer is late, the process either works or is held up: by a limit, by neighbours, or by a stop.
func (b *budget) observe(now, used, late time.Duration, waited bool) {
	elapsed, usedNow := now-b.observed.at, used-b.observed.used
	b.observed = observation{now, used}
	b.waitedInSpan = b.waitedInSpan || waited
	if heldUp := min(late, elapsed-usedNow); heldUp >= minHoldUp {
		b.heldUp += heldUp
		b.saveHoldUp(heldUp)
	}
	if now-b.span.at >= observedSpan {
		b.updateSupply(now-b.span.at, used-b.span.used)
		b.span, b.heldUp, b.waitedInSpan = b.observed, 0, false
	}
}

// saveHoldUp saves what became due during a hold-up, for what has arrived meanwhile, unless the process was held up because it had used
// its share: then flows have waited.
func (b *budget) saveHoldUp(heldUp time.Duration) {
	if !b.waitedInSpan {
		b.seconds += min(b.unsaved, b.rate*heldUp.Seconds())
	}
	b.unsaved = 0
}

// updateSupply changes the supply and the rate after a span in which a processor time was used. A process that is not held up works or
// is idle, and could have used its idle time too. If flows have waited, however, it may have been idle because they did: how much it
// could have used is then not known, only that it was too much if it was held up. What it has used on the mean it can use again.
func (b *budget) updateSupply(span, used time.Duration) {
	cores := max(1, b.share)
	heldUp := min(1, b.heldUp.Seconds()/span.Seconds())
	b.meanUse += (used.Seconds()/span.Seconds() - b.meanUse) * averageWeight(span, meanUseSpan)
	if b.waitedInSpan {
		proven := b.meanUse / usableShare / cores
		b.supply = max(b.supply*(1-heldUp*averageWeight(span, shortageSpan)), min(b.supply, proven))
		b.supply = min(1, b.supply+searchRate*span.Seconds())
	} else {
		b.supply += (1 - heldUp - b.supply) * averageWeight(span, supplySpan)
	}
	b.rate = usableShare * min(b.share, max(minSupply, cores*b.supply))
}

// averageWeight returns the weight of what was observed for a time in an exponential average over a span.
func averageWeight(observed, span time.Duration) float64 {
	return 1 - math.Exp(-observed.Seconds()/span.Seconds())
}

// reserve returns what waiting flows leave of the budget, in seconds.
func (b *budget) reserve() float64 { return b.rate * reserveSpan.Seconds() }

// untilReserved returns how long it takes until the budget holds the reserve, if nothing is used meanwhile.
func (b *budget) untilReserved() time.Duration {
	return time.Duration((b.reserve() - b.seconds) / b.rate * float64(time.Second))
}
