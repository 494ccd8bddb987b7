// Counters and free capacity of a Balancer, for logs and metrics.

package policy

// Counters are totals since the Balancer was created. The tags are their names in logs and metrics.
type Counters struct {
	RoundRobinPicks uint64 `metric:"ordinary"` // endpoints picked by round robin, for an attempt or a probe
	ProbedSends     uint64 `metric:"knocked"`  // attempts at the best of the endpoints probed for the request
	SkippedPicks    uint64 `metric:"passed"`   // picks after skipping an ejected endpoint or one at its limit
	TrialRequests   uint64 `metric:"trials"`   // picks of an ejected endpoint
	LoadShed        uint64 `metric:"shed"`     // requests rejected on arrival as too late or by load shedding
	Retries         uint64 `metric:"retries"`  // attempts after the first attempt of a request
	Rejected        uint64 `metric:"refused"`  // requests rejected with Host.Reject
	Failed          uint64 `metric:"failed"`   // requests failed with Host.Fail
}

// Counters returns the totals so far.
func (b *Balancer) Counters() Counters { return b.counters }

// SlotsFree returns the number of free slots of a tenant, or 0 if the tenant does not exist.
func (b *Balancer) SlotsFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return b.bulkheads[tenant].slots - b.bulkheads[tenant].inUse
}

// QueueFree returns the number of free places in the queue of a tenant, or 0 if the tenant does
// not exist.
func (b *Balancer) QueueFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return max(0, b.bulkheads[tenant].queueLimit-len(b.bulkheads[tenant].queue))
}
