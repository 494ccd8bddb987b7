package membership

import (
	"fmt"
	"slices"
	"time"
)

// An endpoint is an address. Several processes may serve an address one after the other. A process
// is identified by its source, its instance ID and its start time. When the process at an address
// changes, the old process is Removed and the new process gets its own key. Requests in flight then
// count for the old process, slow start begins again, and the new process belongs to no cell for
// Config.NewProcessPeriod, because it lacks the idempotency keys that the old process received.

// endpoint is an address with the records that all sources have for this address.
type endpoint struct {
	addr    string
	records []*record

	process         process // the process that key identifies
	key             string
	hadProcess      bool
	newProcessUntil time.Duration // the endpoint belongs to no cell before this time

	published   Change
	isPublished bool // whether published is in the view
	changed     bool // whether the endpoint is in Set.changed

	penalty          float64 // value at penaltyUpdatedAt
	penaltyUpdatedAt time.Duration
	suppressed       bool
}

// process identifies a process of a source. The start time, if known, distinguishes two processes
// with the same instance ID.
type process struct {
	source    *source
	id        string
	startedAt time.Duration
}

// process returns the identity of the record's process.
func (rec *record) process() process {
	return process{source: rec.source, id: rec.ID, startedAt: rec.StartedAt}
}

// attach adds a record to the endpoint at its address.
func (s *Set) attach(rec *record) {
	ep := s.endpoints[rec.Addr]
	if ep == nil {
		ep = &endpoint{addr: rec.Addr}
		s.endpoints[rec.Addr] = ep
	}
	ep.records = append(ep.records, rec)
}

// detach removes a record from the endpoint at addr, if there is one.
func (s *Set) detach(rec *record, addr string) {
	if ep := s.endpoints[addr]; ep != nil {
		ep.records = slices.DeleteFunc(ep.records, func(other *record) bool { return other == rec })
		s.markChanged(addr)
	}
}

// newestRecord returns the record of the latest process that a source has at the endpoint, or nil
// if there is none, and whether the source has a tombstone at the endpoint.
func (ep *endpoint) newestRecord(src *source) (newest *record, hasTombstone bool) {
	for _, rec := range ep.records {
		switch {
		case rec.source != src:
		case rec.state == recordDeleted:
			hasTombstone = true
		case newest == nil || isNewer(rec, newest):
			newest = rec
		}
	}
	return newest, hasTombstone
}

// isNewer reports whether record a belongs to a later process than record b, where both records are
// from one source and for one address. The earlier record is a lease that has not expired yet.
func isNewer(a, b *record) bool {
	aHeld, bHeld := a.state == recordHeld, b.state == recordHeld
	switch {
	case aHeld != bHeld:
		return bHeld
	case a.StartedAt != b.StartedAt:
		return a.StartedAt > b.StartedAt
	case a.LastDirty != b.LastDirty:
		return a.LastDirty > b.LastDirty
	}
	return a.ID > b.ID
}

// processIsCurrent reports whether at least one source still lists the endpoint's process as its
// latest process at the address.
func (s *Set) processIsCurrent(ep *endpoint) bool {
	for _, src := range s.sources {
		if rec, _ := ep.newestRecord(src); rec != nil && rec.process() == ep.process {
			return true
		}
	}
	return false
}

// replaceProcess makes the process of rec the endpoint's process, under a new key.
func (s *Set) replaceProcess(now time.Duration, ep *endpoint, rec *record, changes []Change) []Change {
	if ep.isPublished {
		changes = s.publishRemoval(ep, "another process runs at this address", changes)
	}
	isFirst := !ep.hadProcess
	ep.hadProcess = true
	ep.process = rec.process()
	s.processCount++
	ep.key = fmt.Sprintf("%s@%s#%d", rec.Name, ep.addr, s.processCount)
	if !isFirst {
		ep.newProcessUntil = now + s.cfg.NewProcessPeriod
		ep.penalty, ep.suppressed = 0, false
	}
	ep.published = Change{StartedAt: rec.StartedAt}
	if rec.StartedAt == 0 && (!isFirst || rec.source.hasList) {
		ep.published.StartedAt = now // appeared after the first list, so the process is new
	}
	return changes
}
