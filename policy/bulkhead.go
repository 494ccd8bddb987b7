// Bulkheads isolate tenants from each other: each has slots, which attempts in flight and requests that
// await probes use, and a short queue. This file decides their sizes, from quotas, objectives and shares,
// and when a queued request is dispatched.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slotObjectiveShare  = 0.12 // of the latency objective: how long a request at the quota uses a slot
	burstDeviations     = 2.0  // standard deviations of a Poisson count that slots are kept for
	unevenTrafficFactor = 2.0  // one balancer may get this multiple of an even part of the traffic
	slotsPerEndpoint    = 3.0  // where no quota is known
	queuePerSlot        = 0.15 // queued requests: just enough to keep the slots in use
)

// bulkhead holds the slots and the queue of one tenant.
type bulkhead struct {
	slots      int
	inUse      int // slots; never more than there are
	queueLimit int
	queue      []*requestState // in order of arrival, but a request to be retried comes first
}

func (bh *bulkhead) full() bool      { return bh.inUse >= bh.slots }
func (bh *bulkhead) queueFull() bool { return len(bh.queue) >= bh.queueLimit }

func (bh *bulkhead) enqueue(r *requestState)      { bh.queue = append(bh.queue, r) }
func (bh *bulkhead) enqueueFirst(r *requestState) { bh.queue = slices.Insert(bh.queue, 0, r) }

func (bh *bulkhead) dequeue(request *requestState) {
	if i := slices.Index(bh.queue, request); i >= 0 {
		bh.queue = slices.Delete(bh.queue, i, i+1)
	}
}

// sizeBulkheads sets slots and queue limits. By Little's law the requests in flight are their rate times
// the time that each uses a slot. That time is a small share of the objective, which leaves most of it for
// attempts that go wrong. Without quotas the endpoint list is the guide. Config.Slots overrides both.
func (b *Balancer) sizeBulkheads() {
	byQuota := b.totalQuota * b.meanObjective * slotObjectiveShare
	b.fleetInFlight = cmp.Or(byQuota, slotsPerEndpoint*float64(len(b.endpoints)))
	total := b.fleetInFlight * min(1, unevenTrafficFactor/float64(b.cfg.FleetSize))
	deviations := burstDeviations
	if b.cfg.Slots > 0 {
		total = float64(b.cfg.Slots)
		deviations = 0
	}
	b.totalSlots = 0
	for i, tenant := range b.cfg.Tenants {
		mean := total * tenant.Share / b.totalShare
		slots := max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
		b.bulkheads[i].slots = slots
		b.bulkheads[i].queueLimit = int(math.Ceil(float64(slots) * queuePerSlot))
		b.totalSlots += slots
	}
}

// dispatch starts an attempt, or probes for one, and says whether a slot and an endpoint were free for it.
func (b *Balancer) dispatch(now time.Duration, request *requestState) bool {
	if request.bulkhead.full() {
		return false
	}
	endpoint := b.selectEndpoint(now, request)
	if endpoint == nil {
		return false
	}
	if b.probesPayOff() {
		b.probeCandidates(now, request, endpoint)
		return true
	}
	return b.startAttempt(now, request, endpoint)
}

// dispatchQueued gives free slots to queued requests. As bulkheads compete for the endpoints' concurrency
// limits, another one goes first each time.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.firstBulkhead = (b.firstBulkhead + 1) % len(b.bulkheads)
	for i := range b.bulkheads {
		b.dispatchQueue(now, &b.bulkheads[(b.firstBulkhead+i)%len(b.bulkheads)])
	}
}

// dispatchQueue skips a request that no endpoint can take now: it may be bound to few of them and must not
// hold up the others.
func (b *Balancer) dispatchQueue(now time.Duration, bh *bulkhead) {
	for next := 0; next < len(bh.queue) && !bh.full(); {
		request := bh.queue[next]
		switch {
		case now >= request.startDeadline():
			b.rejectOrFail(request, QueueTimeout) // which takes it out of the queue
		case b.dispatch(now, request):
			bh.queue = slices.Delete(bh.queue, next, next+1)
		default:
			next++
		}
	}
}
