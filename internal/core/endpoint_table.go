package core

import (
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// endpointState is the Core's state of an endpoint in the list. Only the event loop uses it, except for
// unavailableSince.
type endpointState struct {
	id        policy.EndpointID
	entry     Endpoint // entry in the last update
	upstream  Upstream
	startedAt time.Duration // start of the process on the Balancer's clock; 0: long ago
	probes    []*probe      // probes without a reported result, in the order in which the Balancer requested them

	// unavailableSince is when the endpoint began to drain or was removed, on the Balancer's clock; 0 if the
	// endpoint is ready. The guard reads unavailableSince from the goroutines of attempts.
	unavailableSince atomic.Int64

	// processEndedAt is when the latest sign was seen that the process at the address has ended or is that of
	// another endpoint, on the Balancer's clock; 0 if there was none since the list reported the process.
	// Transports write it and the guard reads it.
	processEndedAt atomic.Int64

	addressReuse    addressReuse
	addressReusedAt time.Duration // when addressReuse was set, on the Balancer's clock
	claimedIn       uint64        // number of the update that last reported a process of the endpoint
}

// markUnavailable records that no further attempt may be started at the endpoint.
func (e *endpointState) markUnavailable(now time.Duration) {
	e.unavailableSince.CompareAndSwap(0, int64(now))
}

// endpointTable holds the endpoint list and the endpoints' upstreams. Only the event loop uses it.
type endpointTable struct {
	byName      map[string]*endpointState
	byID        map[policy.EndpointID]*endpointState
	lastID      policy.EndpointID
	zones       zoneNumbers
	newUpstream func(Endpoint) Upstream
	discovered  bool // an update other than the cached list has been applied

	addresses addressIndex
	updates   uint64           // number of the current update
	displaced []*endpointState // endpoints that lost their address in the current update

	// onProcessEnd is called, from any goroutine, when an upstream shows a sign that its process has ended.
	onProcessEnd func(*endpointState, Upstream)
}

func newEndpointTable(
	zones []string, newUpstream func(Endpoint) Upstream, onProcessEnd func(*endpointState, Upstream),
) endpointTable {
	return endpointTable{
		byName:      make(map[string]*endpointState),
		byID:        make(map[policy.EndpointID]*endpointState),
		zones:       newZoneNumbers(zones),
		newUpstream: newUpstream,

		addresses:    make(addressIndex),
		onProcessEnd: onProcessEnd,
	}
}

// updateEndpoints applies an update of the endpoint list and passes the update to the Balancer. An
// endpoint that the update removes stays in the table until the Balancer has handled the update.
func (c *Core) updateEndpoints(kind policy.UpdateKind, update EndpointUpdate) {
	confirmedAt := time.Duration(0)
	if !update.ConfirmedAt.IsZero() {
		confirmedAt = c.now - time.Since(update.ConfirmedAt)
	}
	complete := kind != policy.DeltaUpdate
	entries, present := c.endpoints.merge(update.Endpoints, complete, c.now, confirmedAt)
	c.balancer.EndpointsUpdated(c.now, kind, entries)
	if complete {
		c.endpoints.removeAbsent(present, c.now)
	} else {
		c.endpoints.removeNamed(update.Endpoints, c.now)
	}
	c.endpoints.zones.removeUnused(c.endpoints.byName)

	discovered := kind != policy.CachedUpdate
	if discovered || len(c.endpoints.byName) > 0 {
		c.ready.Store(true)
	}
	if discovered {
		c.endpoints.discovered = true
	}
}

// merge adds and changes endpoints according to the entries of an update, and returns the endpoints in
// the Balancer's form. It ignores invalid entries, and logs them unless they are removals. For a complete
// list, merge also returns the names of the valid entries. The cost of a delta depends on the length of the
// delta, not on the length of the list.
func (t *endpointTable) merge(
	entries []Endpoint, complete bool, now, confirmedAt time.Duration,
) (merged []policy.Endpoint, present map[string]bool) {
	t.updates++
	t.displaced = t.displaced[:0]
	named := make([]*endpointState, 0, len(entries))
	if complete {
		present = make(map[string]bool, len(entries))
	}
	for _, entry := range entries {
		if present[entry.Name] {
			slog.Warn("discovery: endpoint list contains a name more than once", "endpoint", entry.Name)
		}
		endpoint := t.upsert(entry, now, confirmedAt)
		if endpoint == nil {
			if entry.Health != Removed {
				slog.Warn("discovery: ignoring an endpoint without a name or with an invalid address", "endpoint", entry.Name, "address", entry.Addr)
			}
			continue
		}
		if complete {
			present[entry.Name] = true
		}
		named = append(named, endpoint)
	}
	// An entry can change the state of endpoints that the update names before it, or not at all.
	merged = make([]policy.Endpoint, 0, len(named)+len(t.displaced))
	for _, endpoint := range named {
		merged = append(merged, t.policyEndpoint(endpoint))
	}
	return t.appendDisplaced(merged, present), present
}

// appendDisplaced appends the endpoints that have lost their address because of the current update and that
// the update may not name. present contains the names of a complete list, which removes all other endpoints;
// it is nil for a delta.
func (t *endpointTable) appendDisplaced(merged []policy.Endpoint, present map[string]bool) []policy.Endpoint {
	for _, endpoint := range t.displaced {
		if present[endpoint.entry.Name] {
			continue
		}
		displaced := t.policyEndpoint(endpoint)
		if present != nil {
			displaced.Health = policy.Removed
		}
		merged = append(merged, displaced)
	}
	return merged
}

// upsert adds or changes the endpoint of an entry, and returns the endpoint. It returns nil if the entry is
// invalid. confirmedAt is EndpointUpdate.ConfirmedAt on the Balancer's clock; 0 if unknown.
func (t *endpointTable) upsert(entry Endpoint, now, confirmedAt time.Duration) *endpointState {
	if entry.Name == "" {
		return nil
	}
	endpoint := t.byName[entry.Name]
	appeared := endpoint == nil && t.discovered
	if !validAddress(entry.Addr) {
		if endpoint == nil || entry.Health == Ready {
			return nil
		}
		entry.Addr = endpoint.entry.Addr // the endpoint receives no new attempts, so its address does not matter
	}
	newProcess := endpoint == nil || endpoint.movedOrRestarted(entry) || t.addresses.regainsAddress(endpoint, now)
	if newProcess {
		endpoint = t.connect(endpoint, entry)
	}
	endpoint.updateStart(entry, appeared, now, confirmedAt)
	endpoint.entry = entry
	if newProcess && entry.Health != Removed {
		t.claimAddress(endpoint, now)
	}
	if endpoint.health() == Ready {
		endpoint.unavailableSince.Store(0)
	} else {
		endpoint.markUnavailable(now)
	}
	return endpoint
}

// connect gives an endpoint the upstream for the process that the entry describes, and retires the upstream for
// the previous process. It adds an endpoint to the table if endpoint is nil. The caller sets the field entry.
func (t *endpointTable) connect(endpoint *endpointState, entry Endpoint) *endpointState {
	if endpoint == nil {
		endpoint = t.add(entry.Name)
	} else {
		t.addresses.release(endpoint)
		endpoint.upstream.Retire()
	}
	endpoint.processEndedAt.Store(0)
	upstream := t.newUpstream(entry)
	endpoint.upstream = upstream
	if detector, ok := upstream.(ProcessEndDetector); ok {
		detector.OnProcessEnd(func() { t.onProcessEnd(endpoint, upstream) })
	}
	return endpoint
}

// claimAddress records that the current update reports a process of the endpoint at its address.
func (t *endpointTable) claimAddress(endpoint *endpointState, now time.Duration) {
	displaced := t.addresses.claim(endpoint, t.updates, now)
	if displaced != nil {
		slog.Info("discovery: an endpoint is listed at the address of another one", "endpoint", endpoint.entry.Name,
			"other", displaced.entry.Name, "address", endpoint.entry.Addr)
		t.displaced = append(t.displaced, displaced)
	}
}

// add adds an endpoint without an upstream to the table.
func (t *endpointTable) add(name string) *endpointState {
	t.lastID++
	endpoint := &endpointState{id: t.lastID}
	t.byName[name] = endpoint
	t.byID[endpoint.id] = endpoint
	return endpoint
}

// health returns the health that counts: the one of the entry, unless another process has the address.
func (e *endpointState) health() Health {
	if e.addressReuse == addressSuperseded && e.entry.Health == Ready {
		return Draining
	}
	return e.entry.Health
}

// movedOrRestarted reports whether the entry describes another process than the one that existing
// connections to the endpoint lead to.
func (e *endpointState) movedOrRestarted(entry Endpoint) bool {
	return e.entry.Addr != entry.Addr || e.entry.StartedAt != entry.StartedAt
}

// updateStart computes the endpoint's start time on the Balancer's clock. The computed time is kept until
// an entry has a different start time. appeared reports that the previous list did not contain the
// endpoint.
func (e *endpointState) updateStart(entry Endpoint, appeared bool, now, confirmedAt time.Duration) {
	sameStart := e.entry.StartedAt == entry.StartedAt
	if sameStart && e.startedAt != 0 {
		return
	}
	known := e.entry.Name != ""
	e.startedAt = policy.StartedAt(policy.StartEvidence{
		ReportedStart: entry.StartedAt,
		Now:           now,
		WallClock:     unixNow(),
		Changed:       appeared || known && !sameStart,
		ConfirmedAt:   confirmedAt,
	})
}

// policyEndpoint returns the endpoint in the Balancer's form.
func (t *endpointTable) policyEndpoint(endpoint *endpointState) policy.Endpoint {
	entry := &endpoint.entry
	cell := -int(endpoint.id) // unique cell, shared with no other endpoint
	if entry.Cell != nil {
		cell = *entry.Cell
	}
	return policy.Endpoint{
		ID:        endpoint.id,
		Zone:      t.zones.number(entry.Zone),
		Cell:      cell,
		Health:    endpoint.health().toPolicy(),
		Weight:    entry.Weight,
		StartedAt: endpoint.startedAt,

		AddressReused: endpoint.addressReuse != addressUnshared,
	}
}

// toPolicy returns the Balancer's value for a state. An unknown state becomes policy.Draining, so that the
// endpoint receives no new attempts.
func (h Health) toPolicy() policy.Health {
	switch h {
	case Ready:
		return policy.Ready
	case Removed:
		return policy.Removed
	default:
		return policy.Draining
	}
}

func validAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

// removeAbsent removes the endpoints that a complete list does not contain or lists as removed. present
// holds the names of the list's valid entries.
func (t *endpointTable) removeAbsent(present map[string]bool, now time.Duration) {
	for name, endpoint := range t.byName {
		if endpoint.entry.Health == Removed || !present[name] {
			t.remove(endpoint, now)
		}
	}
}

// removeNamed removes the endpoints that a delta lists as removed.
func (t *endpointTable) removeNamed(entries []Endpoint, now time.Duration) {
	for _, entry := range entries {
		endpoint := t.byName[entry.Name]
		if endpoint != nil && endpoint.entry.Health == Removed {
			t.remove(endpoint, now)
		}
	}
}

func (t *endpointTable) remove(endpoint *endpointState, now time.Duration) {
	delete(t.byName, endpoint.entry.Name)
	delete(t.byID, endpoint.id)
	t.addresses.release(endpoint)
	endpoint.markUnavailable(now)
	endpoint.upstream.Retire()
}
