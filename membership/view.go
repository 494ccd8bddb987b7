package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// State says whether an endpoint may receive requests.
type State int

// The states of an endpoint.
const (
	Removed  State = iota // no longer in the view
	Draining              // receives no new requests
	Ready                 // may receive requests
)

// String returns the name of the state that is shown to operators.
func (s State) String() string { return [...]string{"gone", "draining", "ready"}[s] }

// Change is the new state of one endpoint in the view.
type Change struct {
	Key         string        `json:"Key"` // identifies this process at this address; never used for another process
	Name        string        `json:"Name"`
	Addr        string        `json:"Addr"`
	Zone        string        `json:"Site"`
	MachineType string        `json:"Kind"`
	Cell        string        `json:"Cell"`
	Protocol    string        `json:"Protocol"`
	Weight      float64       `json:"Weight"`
	StartedAt   time.Duration `json:"Started"` // Unix time; 0: not known
	State       State         `json:"State"`
	Reason      string        `json:"Reason"` // why the endpoint is in this state
}

// maxRetainedCapacity is the maximum capacity of Set.changed, in endpoints, that is retained from one
// event to the next.
const maxRetainedCapacity = 256

// markChanged marks the endpoint at addr, so that it is evaluated when the current event ends.
// Set.changed is a slice because the cost of clearing a map depends on the largest number of
// entries that the map ever had.
func (s *Set) markChanged(addr string) {
	if ep := s.endpoints[addr]; ep != nil && !ep.changed {
		ep.changed = true
		s.changed = append(s.changed, ep)
	}
}

// collectChanges evaluates the marked endpoints in the order of their addresses and returns their
// changes.
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
	if cap(s.changed) > maxRetainedCapacity {
		s.changed = nil
	}
	return s.reuseSuppressed(now, changes)
}

// reuseSuppressed makes a suppressed endpoint Ready if no endpoint is Ready.
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

// updateView evaluates an endpoint and appends its changes to changes.
func (s *Set) updateView(now time.Duration, ep *endpoint, changes []Change) []Change {
	primary, status, reason := s.combineSources(ep)
	if primary == nil {
		return s.removeEndpoint(ep, reason, changes)
	}
	if !ep.isPublished || !s.processIsCurrent(ep) {
		changes = s.replaceProcess(now, ep, primary, changes)
	}
	change := s.newChange(now, ep, primary)
	s.updatePenalty(now, ep, status)
	change.State, change.Reason = s.stateOf(ep, status, reason)
	if ep.isPublished && equalExceptReason(ep.published, change) {
		ep.published.Reason = change.Reason
		return changes
	}
	return s.publish(ep, change, changes)
}

// combineSources returns the record that describes an endpoint, or nil if no source lists it; the
// strictest status of all sources; and the reason for that status. If a source has a tombstone for
// the endpoint and every other source reports it as Up, the status is OutOfService.
func (s *Set) combineSources(ep *endpoint) (primary *record, status Status, reason string) {
	var strictest *record
	tombstoneReason := ""
	for _, src := range s.sources {
		rec, hasTombstone := ep.newestRecord(src)
		switch {
		case rec == nil && hasTombstone:
			tombstoneReason = "deleted by " + src.name
		case rec == nil:
		case primary == nil:
			primary, strictest = rec, rec
		case rec.Status > strictest.Status:
			strictest = rec
		}
	}
	if primary == nil {
		return nil, Unknown, cmp.Or(tombstoneReason, "no source lists this endpoint")
	}
	if tombstoneReason != "" && strictest.Status == Up {
		return primary, OutOfService, tombstoneReason + ", but " + strictest.statusReason()
	}
	return primary, strictest.Status, strictest.statusReason()
}

// statusReason returns a text with the record's status, its source and, if the record is held, why.
func (rec *record) statusReason() string {
	reason := rec.source.statusReasons[rec.Status]
	switch {
	case rec.state == recordHeld:
		reason += ", held because its source lost too many instances at once"
	case rec.source.silent:
		reason += ", held because its source is silent"
	}
	return reason
}

// newChange returns the Change of an endpoint without its state and reason, from its primary record.
func (s *Set) newChange(now time.Duration, ep *endpoint, primary *record) Change {
	change := Change{
		Key:         ep.key,
		Name:        primary.Name,
		Addr:        ep.addr,
		Zone:        primary.Zone,
		MachineType: primary.MachineType,
		Cell:        primary.Cell,
		Protocol:    primary.Protocol,
		Weight:      primary.Weight,
		StartedAt:   ep.published.StartedAt,
	}
	if primary.StartedAt > 0 {
		change.StartedAt = primary.StartedAt
	}
	if now < ep.newProcessUntil {
		change.Cell = ""
		s.timers[ep.addr] = true
	}
	return change
}

// equalExceptReason reports whether two changes differ at most in their reasons.
func equalExceptReason(a, b Change) bool {
	a.Reason = b.Reason
	return a == b
}

// removeEndpoint removes an endpoint that no source lists from the view, and deletes it once it has
// no tombstone left.
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

// publishRemoval removes the endpoint's process from the view and appends the removal to changes.
func (s *Set) publishRemoval(ep *endpoint, reason string, changes []Change) []Change {
	removal := Change{Key: ep.key, Name: ep.published.Name, Addr: ep.addr, State: Removed, Reason: reason}
	changes = s.publish(ep, removal, changes)
	ep.isPublished = false
	return changes
}

// publish stores the change as the endpoint's state in the view and appends it to changes.
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

// isReady reports whether the endpoint is Ready in the view.
func (ep *endpoint) isReady() bool { return ep.isPublished && ep.published.State == Ready }
