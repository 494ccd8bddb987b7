package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// State is what may be done with an endpoint.
type State int

// The states of an endpoint.
const (
	Removed  State = iota // it is no longer in the view
	Draining              // it gets no new requests
	Ready
)

// String returns the state as operators see it.
func (s State) String() string { return [...]string{"gone", "draining", "ready"}[s] }

// Change is the new state of one endpoint in the view.
type Change struct {
	Key         string        `json:"Key"` // names this process at this address; never used for another
	Name        string        `json:"Name"`
	Addr        string        `json:"Addr"`
	Zone        string        `json:"Site"`
	MachineType string        `json:"Kind"`
	Cell        string        `json:"Cell"`
	Protocol    string        `json:"Protocol"`
	Weight      float64       `json:"Weight"`
	StartedAt   time.Duration `json:"Started"` // Unix time; 0: not known
	State       State         `json:"State"`
	Reason      string        `json:"Reason"` // why it is in that state
}

// maxKeptCapacity bounds the capacity of Set.changed that is kept from one event to the next,
// in endpoints.
const maxKeptCapacity = 256

// markChanged has the endpoint at addr evaluated when the current event ends. Set.changed is
// no map, as clearing one costs as much as the most entries that it ever had.
func (s *Set) markChanged(addr string) {
	if ep := s.endpoints[addr]; ep != nil && !ep.changed {
		ep.changed = true
		s.changed = append(s.changed, ep)
	}
}

// collectChanges evaluates the marked endpoints, by address, and returns their changes.
func (s *Set) collectChanges(now time.Duration) []Change {
	if len(s.changed) == 0 {
		return nil
	}
	changes := make([]Change, 0, len(s.changed))
	slices.SortFunc(s.changed, func(a, b *endpoint) int { return strings.Compare(a.addr, b.addr) })
	for _, ep := range s.changed {
		ep.changed = false
		changes = s.updateView(now, ep, changes)
	}
	s.changed = s.changed[:0]
	if cap(s.changed) > maxKeptCapacity {
		s.changed = nil
	}
	return s.reuseSuppressed(now, changes)
}

// reuseSuppressed makes a suppressed endpoint Ready where none is.
func (s *Set) reuseSuppressed(now time.Duration, changes []Change) []Change {
	if s.readyCount > 0 {
		return changes
	}
	for _, addr := range slices.Sorted(maps.Keys(s.timers)) {
		if ep := s.endpoints[addr]; ep != nil && ep.suppressed && s.readyCount == 0 {
			changes = s.updateView(now, ep, changes)
		}
	}
	return changes
}

// updateView evaluates an endpoint and appends what has changed of it.
func (s *Set) updateView(now time.Duration, ep *endpoint, changes []Change) []Change {
	best, status, reason := s.combineSources(ep)
	if best == nil {
		return s.removeEndpoint(ep, reason, changes)
	}
	if !ep.isPublished || !s.processIsCurrent(ep) {
		changes = s.replaceProcess(now, ep, best, changes)
	}
	change := s.describe(now, ep, best)
	s.updatePenalty(now, ep, status)
	change.State, change.Reason = s.stateOf(ep, status, reason)
	if ep.isPublished && equalButReason(ep.published, change) {
		ep.published.Reason = change.Reason
		return changes
	}
	return s.publish(ep, change, changes)
}

// combineSources returns the record that describes an endpoint, nil if no source lists it; the
// strictest status of all sources; and the reason for it. A tombstone counts as OutOfService
// where every other source has it Up.
func (s *Set) combineSources(ep *endpoint) (best *record, status Status, reason string) {
	var strictest *record
	tombstoneReason := ""
	for _, src := range s.sources {
		rec, hasTombstone := ep.newestRecord(src)
		switch {
		case rec == nil && hasTombstone:
			tombstoneReason = "deleted by " + src.name
		case rec == nil:
		case best == nil:
			best, strictest = rec, rec
		case rec.Status > strictest.Status:
			strictest = rec
		}
	}
	if best == nil {
		return nil, Unknown, cmp.Or(tombstoneReason, "no source lists it")
	}
	if tombstoneReason != "" && strictest.Status == Up {
		return best, OutOfService, tombstoneReason + ", though " + strictest.statusReason()
	}
	return best, strictest.Status, strictest.statusReason()
}

// statusReason says which source reports the record's status, and whether it is held.
func (rec *record) statusReason() string {
	reason := rec.source.statusReasons[rec.Status]
	switch {
	case rec.state == recordHeld:
		reason += ", which lost it with too many others: held"
	case rec.source.silent:
		reason += ", which is silent: held"
	}
	return reason
}

// describe returns an endpoint's Change without its state, from the record that describes it.
func (s *Set) describe(now time.Duration, ep *endpoint, best *record) Change {
	change := Change{
		Key:         ep.key,
		Name:        best.Name,
		Addr:        ep.addr,
		Zone:        best.Zone,
		MachineType: best.MachineType,
		Cell:        best.Cell,
		Protocol:    best.Protocol,
		Weight:      best.Weight,
		StartedAt:   ep.published.StartedAt,
	}
	if best.StartedAt > 0 {
		change.StartedAt = best.StartedAt
	}
	if now < ep.newProcessUntil {
		change.Cell = ""
		s.timers[ep.addr] = true
	}
	return change
}

func equalButReason(a, b Change) bool {
	a.Reason = b.Reason
	return a == b
}

// removeEndpoint takes an endpoint that no source lists out of the view, and forgets it once
// it has no tombstone either.
func (s *Set) removeEndpoint(ep *endpoint, reason string, changes []Change) []Change {
	if ep.isPublished {
		changes = s.publishRemoval(ep, reason, changes)
	}
	if len(ep.records) == 0 {
		delete(s.endpoints, ep.addr)
		delete(s.timers, ep.addr)
	}
	return changes
}

// publishRemoval appends the removal of the endpoint's process.
func (s *Set) publishRemoval(ep *endpoint, reason string, changes []Change) []Change {
	removal := Change{Key: ep.key, Name: ep.published.Name, Addr: ep.addr, State: Removed, Reason: reason}
	changes = s.publish(ep, removal, changes)
	ep.isPublished = false
	return changes
}

// publish records the change as the endpoint's state in the view and appends it.
func (s *Set) publish(ep *endpoint, change Change, changes []Change) []Change {
	if ep.isReady() {
		s.readyCount--
	}
	if change.State == Ready {
		s.readyCount++
	}
	ep.published, ep.isPublished = change, true
	return append(changes, change)
}

// isReady reports whether the view has the endpoint as Ready.
func (ep *endpoint) isReady() bool { return ep.isPublished && ep.published.State == Ready }
