package fleet

import (
	"math"
	"time"

	"mothridge/policy"
)

const (
	bulkheadSlotsPerNode = 3.0  // slots per node, of all sidecars together
	bulkheadQueueShare   = 0.15 // queue limit per slot
	// bulkheadSidecars is the maximum number of sidecars up to which each sidecar has all the slots. With more
	// sidecars, each has twice its even share of the slots.
	bulkheadSidecars = 2
)

// referenceBulkhead holds the slots and the queue of a tenant (Bulkhead).
type referenceBulkhead struct {
	slots, inFlight, queueLimit int
	queue                       []policy.RequestID
}

// newBulkheads divides the sidecar's slots among the tenants by their shares.
func newBulkheads(scenario *Scenario) []referenceBulkhead {
	slots := float64(scenario.Slots)
	if scenario.Slots == 0 {
		slots = bulkheadSlotsPerNode * float64(scenario.Nodes) * min(1, bulkheadSidecars/float64(scenario.Sidecars))
	}
	shares := 0.0
	for _, tenant := range scenario.Tenants {
		shares += tenant.Share
	}
	var bulkheads []referenceBulkhead
	for i := range scenario.tenantCount() {
		share := 1.0
		if shares > 0 {
			share = scenario.Tenants[i].Share / shares
		}
		created := referenceBulkhead{slots: max(1, int(math.Ceil(slots*share)))}
		created.queueLimit = int(math.Ceil(float64(created.slots) * bulkheadQueueShare))
		bulkheads = append(bulkheads, created)
	}
	return bulkheads
}

// admitToBulkhead sends a submission if its tenant has a free slot, queues it, or rejects it.
func (reference *reference) admitToBulkhead(now time.Duration, id policy.RequestID, request *referenceRequest) {
	bulkhead := &reference.bulkheads[request.tenant]
	switch {
	case bulkhead.inFlight < bulkhead.slots:
		reference.send(now, id, request)
	case len(bulkhead.queue) < bulkhead.queueLimit:
		bulkhead.queue = append(bulkhead.queue, id)
	default:
		reference.respond(id, request)
	}
}

// dispatchQueued sends queued submissions while their tenant has free slots.
func (reference *reference) dispatchQueued(now time.Duration, tenant int) {
	if reference.bulkheads == nil {
		return
	}
	bulkhead := &reference.bulkheads[tenant]
	for len(bulkhead.queue) > 0 && bulkhead.inFlight < bulkhead.slots {
		id := bulkhead.queue[0]
		bulkhead.queue = bulkhead.queue[1:]
		if request := reference.requests[id]; request != nil {
			reference.send(now, id, request)
		}
	}
}
