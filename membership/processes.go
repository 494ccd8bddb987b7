package membership

import (
	"fmt"
	"slices"
	"time"
)

// An endpoint is an address. Several processes may serve it one after the other, each known by its
// source, its instance ID and its start. When the process changes, the old one is Removed and
// the new one gets a key of its own: requests in flight count for the old one, slow start
// begins anew, and the new one belongs to no cell for Config.NewProcessPeriod, as it lacks the
// keys that the old one had received.

// endpoint is an address with the records of all sources for it.
type endpoint struct {
	addr    string
	records []*record

	process         process // the one that key names
	key             string
	hadProcess      bool
	newProcessUntil time.Duration // no cell before then

	published   Change
	isPublished bool // published is in the view
	changed     bool // it is in Set.changed

	penalty          float64 // as of penaltyUpdatedAt
	penaltyUpdatedAt time.Duration
	suppressed       bool
}

// process identifies a process of a source. The start distinguishes two of the same ID where
// it is known.
type process struct {
	source    *source
	id        string
	startedAt time.Duration
}

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

// detach takes a record off the endpoint at addr, if there is one.
func (s *Set) detach(rec *record, addr string) {
	if ep := s.endpoints[addr]; ep != nil {
		ep.records = slices.DeleteFunc(ep.records, func(other *record) bool { return other == rec })
		s.markChanged(addr)
	}
}

// newestRecord returns the record of a source for its latest process at the endpoint, nil if
// it has none, and whether the source has a tombstone there.
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

// isNewer reports whether a is the later process of two records that one source has for an
// address. The other one is a lease that has not run out yet.
func isNewer(a, b *record) bool {
	aHeld, bHeld := a.state == recordHeld, b.state == recordHeld
	switch {
	case aHeld != bHeld:
		return bHeld
	case a.StartedAt != b.StartedAt:
		return a.StartedAt > b.StartedAt
	case a.Dirty != b.Dirty:
		return a.Dirty > b.Dirty
	}
	return a.ID > b.ID
}

// processIsCurrent reports whether the endpoint's process is still the latest one at its
// address by any source.
func (s *Set) processIsCurrent(ep *endpoint) bool {
	for _, src := range s.sources {
		if rec, _ := ep.newestRecord(src); rec != nil && rec.process() == ep.process {
			return true
		}
	}
	return false
}

// replaceProcess gives the endpoint to the process of rec, under a new key.
func (s *Set) replaceProcess(now time.Duration, ep *endpoint, rec *record, changes []Change) []Change {
	if ep.isPublished {
		changes = s.publishRemoval(ep, "another process is at its address", changes)
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
		ep.published.StartedAt = now // it came after the first list, so it is new
	}
	return changes
}
