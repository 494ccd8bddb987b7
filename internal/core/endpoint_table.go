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
}

func newEndpointTable(zones []string, newUpstream func(Endpoint) Upstream) endpointTable {
	return endpointTable{
		byName:      make(map[string]*endpointState),
		byID:        make(map[policy.EndpointID]*endpointState),
		zones:       newZoneNumbers(zones),
		newUpstream: newUpstream,
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
// the Balancer's form. It logs and ignores unusable entries. For a complete list, merge also returns the
// names of the usable entries. The cost of a delta depends on the length of the delta, not on the length
// of the list.
func (t *endpointTable) merge(
	entries []Endpoint, complete bool, now, confirmedAt time.Duration,
) (merged []policy.Endpoint, present map[string]bool) {
	merged = make([]policy.Endpoint, 0, len(entries))
	if complete {
		present = make(map[string]bool, len(entries))
	}
	for _, entry := range entries {
		if present[entry.Name] {
			slog.Warn("discovery: endpoint list contains a name more than once", "endpoint", entry.Name)
		}
		endpoint, usable := t.upsert(entry, now, confirmedAt)
		if !usable {
			if entry.Health != Removed {
				slog.Warn("discovery: ignoring an endpoint without a name or with an invalid address", "endpoint", entry.Name, "address", entry.Addr)
			}
			continue
		}
		if complete {
			present[entry.Name] = true
		}
		merged = append(merged, endpoint)
	}
	return merged, present
}

// upsert adds or changes the endpoint of an entry, and returns the endpoint in the Balancer's form. It
// returns false if the entry is unusable. confirmedAt is EndpointUpdate.ConfirmedAt on the Balancer's
// clock; 0 if unknown.
func (t *endpointTable) upsert(entry Endpoint, now, confirmedAt time.Duration) (policy.Endpoint, bool) {
	if entry.Name == "" {
		return policy.Endpoint{}, false
	}
	endpoint := t.byName[entry.Name]
	appeared := endpoint == nil && t.discovered
	if !validAddress(entry.Addr) {
		if endpoint == nil || entry.Health == Ready {
			return policy.Endpoint{}, false
		}
		entry.Addr = endpoint.entry.Addr // the endpoint receives no new attempts, so its address does not matter
	}
	if endpoint == nil {
		endpoint = t.add(entry)
	} else if endpoint.movedOrRestarted(entry) {
		endpoint.upstream.Retire()
		endpoint.upstream = t.newUpstream(entry)
	}
	endpoint.updateStart(entry, appeared, now, confirmedAt)
	endpoint.entry = entry
	if entry.Health == Ready {
		endpoint.unavailableSince.Store(0)
	} else {
		endpoint.markUnavailable(now)
	}
	return t.policyEndpoint(endpoint), true
}

// add adds an endpoint for the entry to the table. The caller sets the endpoint's field entry.
func (t *endpointTable) add(entry Endpoint) *endpointState {
	t.lastID++
	endpoint := &endpointState{id: t.lastID, upstream: t.newUpstream(entry)}
	t.byName[entry.Name] = endpoint
	t.byID[endpoint.id] = endpoint
	return endpoint
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
		Health:    entry.Health.toPolicy(),
		Weight:    entry.Weight,
		StartedAt: endpoint.startedAt,
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
// holds the names of the list's usable entries.
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
	endpoint.markUnavailable(now)
	endpoint.upstream.Retire()
}
