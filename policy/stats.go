// What a Balancer shows of itself, for logs and metrics.

package policy

// Counters are totals since the Balancer was made. The tags are their names in logs and metrics.
type Counters struct {
	RoundRobinPicks uint64 `metric:"ordinary"` // endpoints picked by weighted round robin, also to be probed
	ProbedSends     uint64 `metric:"knocked"`  // attempts at the best endpoint of those probed for the request
	SkippedPicks    uint64 `metric:"passed"`   // picks past an ejected endpoint or one at its concurrency limit
	TrialRequests   uint64 `metric:"trials"`   // picks of an ejected endpoint
	LoadShed        uint64 `metric:"shed"`     // requests rejected on arrival: too late, or by load shedding
	Retries         uint64 `metric:"retries"`  // attempts after the first of a request
	Rejected        uint64 `metric:"refused"`  // requests answered by Host.Reject
	Failed          uint64 `metric:"failed"`   // requests answered by Host.Fail
}

// Counters returns the totals so far.
func (b *Balancer) Counters() Counters { return b.counters }

// SlotsFree returns the number of free slots of a tenant; 0 for a tenant that does not exist.
func (b *Balancer) SlotsFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return b.bulkheads[tenant].slots - b.bulkheads[tenant].inUse
}

// QueueFree returns how many requests the queue of a tenant can still take; 0 for a tenant
// that does not exist.
func (b *Balancer) QueueFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return max(0, b.bulkheads[tenant].queueLimit-len(b.bulkheads[tenant].queue))
}
