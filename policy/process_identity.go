// Process identity: whether the process at an endpoint's address is known to be that of the endpoint. Another
// process may listen at the address of one that has ended before the endpoint list says so. It may belong to
// another cell or zone, so that it knows none of the idempotency keys that the endpoint has seen.

package policy

import "time"

// ProcessUnknownFor is how long the process at an address is unknown after the last sign that the previous
// one has ended. It is longer than the list takes to name the next process, also after an outage of discovery
// of some seconds.
const ProcessUnknownFor = 20 * time.Second

// ProcessEnded handles a sign that the process at an endpoint's address has ended, although the list has not
// reported it: the address refused a connection, or an idle connection was reset. The endpoint may still get
// attempts, because the sign may be wrong and because another process may run by now. But until the list
// reports a start, or ProcessUnknownFor has passed, no request with an idempotency key is repeated at this
// endpoint, or elsewhere after an attempt at this endpoint that may have run. Classes for which all endpoints
// share keys are not affected.
func (b *Balancer) ProcessEnded(now time.Duration, id EndpointID) {
	if endpoint := b.endpointsByID[id]; endpoint != nil {
		endpoint.processUnknownUntil = now + ProcessUnknownFor
	}
}

// processUnknown reports whether the process at the endpoint's address may be that of another endpoint.
func (e *endpointState) processUnknown(now time.Duration) bool {
	return e.AddressReused || now < e.processUnknownUntil
}

// hasDedupGroups reports whether only some of the endpoints drop a repeat of a request of the class.
func (c *classState) hasDedupGroups() bool {
	return c.Idempotency == IdempotentByKey && c.DedupScope != ScopeAll
}

// knowsDedupGroup reports whether the group of endpoints that drop a repeat of an attempt is known, or does
// not matter to the class. It is unknown if the endpoint has got another group since, because the list may
// have reported that late.
func (c *classState) knowsDedupGroup(now time.Duration, first *attempt) bool {
	if !c.hasDedupGroups() {
		return true
	}
	return !first.endpoint.processUnknown(now) && first.group == first.endpoint.dedupGroup()
}

// dedupGroup identifies the endpoints that drop repeats of each other's requests. An endpoint may get another
// group when its process restarts elsewhere.
type dedupGroup struct{ zone, cell int }

func (e *endpointState) dedupGroup() dedupGroup { return dedupGroup{zone: e.Zone, cell: e.Cell} }
