package core

import "time"

// addressSettleTime is how long an endpoint stays superseded at least. It is longer than discovery takes to
// report the end of a process, also after an outage of some seconds, and than a process drains.
const addressSettleTime = 20 * time.Second

// addressReuse is what the list says about other endpoints at the address of an endpoint. Only one process
// listens at an address, but the list may report the start of a process before the end of the previous one.
type addressReuse int

const (
	// addressUnshared: no other endpoint has the address.
	addressUnshared addressReuse = iota
	// addressShared: another endpoint has the address too, and the list does not say which of the two
	// processes started later. Attempts at either may reach the process of the other.
	addressShared
	// addressSuperseded: the list has reported a later process at the address, so that the endpoint's process
	// has ended. The endpoint gets no attempts, whatever its entry says.
	addressSuperseded
)

// addressIndex holds, for each address, the endpoint that was listed there last. Only the event loop uses it.
type addressIndex map[string]*endpointState

// claim records that the list has reported a process of an endpoint at the address of the endpoint's entry,
// and determines which endpoint the address belongs to if another one was listed there. update is the number
// of the update that contains the entry. It returns the endpoint whose process has ended or may have ended
// because of that, or nil.
func (index addressIndex) claim(endpoint *endpointState, update uint64, now time.Duration) (displaced *endpointState) {
	address := endpoint.entry.Addr
	holder := index[address]
	endpoint.claimedIn = update
	endpoint.setAddressReuse(addressUnshared, now)
	if holder == nil || holder == endpoint {
		index[address] = endpoint
		return nil
	}
	if endpoint.startedBefore(holder) {
		endpoint.setAddressReuse(addressSuperseded, now)
		return nil
	}
	index[address] = endpoint
	if endpoint.follows(holder) {
		holder.setAddressReuse(addressSuperseded, now)
	} else {
		holder.setAddressReuse(addressShared, now)
		endpoint.setAddressReuse(addressShared, now)
	}
	return holder
}

// release records that an endpoint has left its address.
func (index addressIndex) release(endpoint *endpointState) {
	if index[endpoint.entry.Addr] == endpoint {
		delete(index, endpoint.entry.Addr)
	}
}

// startedBefore reports whether an update lists two endpoints at one address and the endpoint's process is the
// earlier one. The order in which different updates report processes counts more than their start times,
// which may come from different clocks.
func (e *endpointState) startedBefore(holder *endpointState) bool {
	return e.claimedIn == holder.claimedIn && e.entry.StartedAt < holder.entry.StartedAt
}

// follows reports whether the endpoint's process started after the process of the holder of the address had
// ended: it started later, or it was reported later and nothing speaks against it.
func (e *endpointState) follows(holder *endpointState) bool {
	started, holderStarted := e.entry.StartedAt, holder.entry.StartedAt
	return started > holderStarted || started == holderStarted && e.claimedIn != holder.claimedIn
}

// setAddressReuse sets the state of the endpoint's address. The connections of a superseded endpoint lead to
// a process that has ended, or to the process of another endpoint.
func (e *endpointState) setAddressReuse(reuse addressReuse, now time.Duration) {
	e.addressReuse = reuse
	e.addressReusedAt = now
	if reuse != addressUnshared {
		e.processEndedAt.Store(int64(now))
	}
	if reuse == addressSuperseded {
		e.markUnavailable(now)
		e.upstream.Retire()
	}
}

// regainsAddress reports whether an entry that lists the endpoint again is to be believed: the endpoint that
// had its address has left the list, and enough time has passed that the entry is not an outdated one.
func (index addressIndex) regainsAddress(endpoint *endpointState, now time.Duration) bool {
	return endpoint.addressReuse != addressUnshared &&
		index[endpoint.entry.Addr] == nil &&
		now-endpoint.addressReusedAt >= addressSettleTime
}
