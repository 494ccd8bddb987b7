// Bulkheads isolate tenants from each other. Each bulkhead has a number of slots and a short queue. An
// attempt in flight uses a slot, and so does a request that waits for the results of probes. This file
// decides the sizes of the bulkheads, based on quotas, latency objectives and shares, and when a
// queued request is dispatched.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slotObjectiveShare  = 0.12 // slot time of a request at full quotas, as a share of the latency objective
	burstDeviations     = 2.0  // extra slots, in standard deviations of a Poisson count
	unevenTrafficFactor = 2.0  // a balancer may get this multiple of an equal part of the traffic
	slotsPerEndpoint    = 3.0  // slots of the fleet per endpoint if no quota is known
	queuePerSlot        = 0.15 // queue length per slot: just enough to keep the slots in use
)

// bulkhead holds the slots and the queue of one tenant.
type bulkhead struct {
	slots      int             // number of slots
	inUse      int             // number of slots in use; at most slots
	queueLimit int             // maximum length of the queue for new requests
	queue      []*requestState // in order of arrival, except that requests to be retried come first
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

// sizeBulkheads sets the slots and queue limits of all bulkheads. By Little's law, the number of
// requests in flight is their rate multiplied by the time for which each uses a slot. That time is a
// small share of the latency objective, which leaves most of the objective for failed attempts and
// their retries. Without quotas, the number of slots depends on the number of endpoints. Config.Slots
// overrides both.
func (b *Balancer) sizeBulkheads() {
	quotaInFlight := b.totalQuota * b.meanObjective * slotObjectiveShare
	b.fleetInFlight = cmp.Or(quotaInFlight, slotsPerEndpoint*float64(len(b.endpoints)))
	slotTotal := b.fleetInFlight * min(1, unevenTrafficFactor/float64(b.cfg.FleetSize))
	deviations := burstDeviations
	if b.cfg.Slots > 0 {
		slotTotal = float64(b.cfg.Slots)
		deviations = 0
	}
	b.totalSlots = 0
	for i, tenant := range b.cfg.Tenants {
		mean := slotTotal * tenant.Share / b.totalShare
		slots := max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
		b.bulkheads[i].slots = slots
		b.bulkheads[i].queueLimit = int(math.Ceil(float64(slots) * queuePerSlot))
		b.totalSlots += slots
	}
}

// dispatch starts an attempt, or probes candidates for an attempt. It reports whether a slot and an
// endpoint were available.
func (b *Balancer) dispatch(now time.Duration, request *requestState) bool {
	if request.bulkhead.full() {
		return false
	}
	endpoint := b.selectEndpoint(now, request)
	if endpoint == nil {
		return false
	}
	if b.shouldProbe() {
		b.probeCandidates(now, request, endpoint)
		return true
	}
	return b.startAttempt(now, request, endpoint)
}

// dispatchQueued gives free slots to queued requests. Each call starts with the next bulkhead, because the
// bulkheads compete for the concurrency limits of the endpoints.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.firstBulkhead = (b.firstBulkhead + 1) % len(b.bulkheads)
	for i := range b.bulkheads {
		b.dispatchQueue(now, &b.bulkheads[(b.firstBulkhead+i)%len(b.bulkheads)])
	}
}

// dispatchQueue gives the free slots of one bulkhead to its queued requests. A request that no
// endpoint can take now is skipped, because it may be restricted to a few endpoints and must not block
// the other requests.
func (b *Balancer) dispatchQueue(now time.Duration, bh *bulkhead) {
	for next := 0; next < len(bh.queue) && !bh.full(); {
		request := bh.queue[next]
		switch {
		case now >= request.startDeadline():
			b.rejectOrFail(request, QueueTimeout) // rejectOrFail removes the request from the queue
		case b.dispatch(now, request):
			bh.queue = slices.Delete(bh.queue, next, next+1)
		default:
			next++
		}
	}
}
