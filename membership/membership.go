// Package membership decides which endpoints a sidecar has and whether each of them may receive
// requests. It merges the lists of any number of sources (a registry, the platform's discovery, a
// static list) into one view and protects that view against faults of the sources. No source can empty the
// view by not responding, and only an authoritative one can by losing many instances at once. An update that is older
// than the current record does not replace the record. An endpoint that a source takes out of
// service drains immediately.
//
// A Set is a single-threaded state machine without goroutines, clock or I/O: the caller passes
// the current time with each event and gets the resulting changes. The table in
// docs/design/membership.md lists the rules. Each rule has its own file: staleness.go,
// loss_protection.go, tombstones.go, flap_damping.go, processes.go, and view.go, which combines
// the sources.
package membership

import (
	"fmt"
	"slices"
	"time"
)

// Set is the merged view of several sources. It is not safe for concurrent use, and no method
// blocks.
//
// The methods take the current time as a Unix time, which must not go backwards from one call to
// the next. A source is identified by its index in the sources that were passed to New. The
// changes that a method returns are in order, and the Set does not retain the slice.
type Set struct {
	cfg          Config
	sources      []*source
	endpoints    map[string]*endpoint // by address
	processCount int                  // number of processes seen so far; makes the keys unique
	changed      []*endpoint          // endpoints to be evaluated when the current event ends
	timers       map[string]bool      // addresses of the endpoints with at least one pending timer
	readyCount   int
}

// New returns an empty Set with the given sources. It returns ErrNoSource if there are none, and
// an error if a field of cfg is out of bounds.
func New(cfg Config, sources ...Source) (*Set, error) {
	if len(sources) == 0 {
		return nil, ErrNoSource
	}
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	set := &Set{cfg: cfg, endpoints: make(map[string]*endpoint), timers: make(map[string]bool)}
	for _, config := range sources {
		set.sources = append(set.sources, newSource(config))
	}
	return set, nil
}

// ListTooLongError is the error for a list with more than Config.MaxInstances instances.
type ListTooLongError struct {
	Source    string
	Instances int // number of instances in the list
	Max       int // Config.MaxInstances
}

// Error returns a text with the source, the number of instances and the maximum.
func (e *ListTooLongError) Error() string {
	return fmt.Sprintf("%s: list has %d instances, maximum is %d", e.Source, e.Instances, e.Max)
}

// ReplaceList applies a complete list from a source. replica names the server of the source that
// the list came from. Instances that the Set has from the source and that are absent from the list
// are lost: they are removed, or held if more are lost than Config.MaxLoss allows and the source is
// not authoritative. The error is a *ListTooLongError; the list is then not applied at all.
func (s *Set) ReplaceList(now time.Duration, sourceIndex int, replica string, list []Instance) ([]Change, error) {
	src := s.sources[sourceIndex]
	if len(list) > s.cfg.MaxInstances {
		return nil, &ListTooLongError{Source: src.name, Instances: len(list), Max: s.cfg.MaxInstances}
	}
	src.markResponded(now)
	present := make(map[string]bool, len(list))
	for i := range list {
		present[list[i].ID] = true
		s.applyInstance(now, src, replica, &list[i])
	}
	s.removeAbsent(now, src, present)
	src.replica = replica
	changes := s.collectChanges(now)
	src.hasList = true
	return changes, nil
}

// ApplyDelta applies changes to a source's list, in order. replica names the server of the source
// that the changes came from. The cost depends on the number of changes, not on the length of the
// list.
func (s *Set) ApplyDelta(now time.Duration, sourceIndex int, replica string, deltas []Delta) []Change {
	src := s.sources[sourceIndex]
	src.markResponded(now)
	for i := range deltas {
		delta := &deltas[i]
		if delta.Op == Put {
			s.applyInstance(now, src, replica, &delta.Instance)
		} else {
			s.removeInstance(now, src, &delta.Instance)
		}
	}
	src.replica = replica
	return s.collectChanges(now)
}

// SourceResponded records that a source responded and that its list has not changed.
func (s *Set) SourceResponded(now time.Duration, sourceIndex int) []Change {
	s.sources[sourceIndex].markResponded(now)
	return s.collectChanges(now)
}

// Tick applies everything that is due at the time now: it marks sources silent and expires the
// timers of endpoints.
func (s *Set) Tick(now time.Duration) []Change {
	for _, src := range s.sources {
		src.markSilentIfDue(now, s.cfg.SilentAfter)
	}
	for addr := range s.timers {
		ep := s.endpoints[addr]
		if ep == nil {
			delete(s.timers, addr)
			continue
		}
		s.expireTimers(now, ep)
	}
	return s.collectChanges(now)
}

// expireTimers applies the timers of one endpoint that are due.
func (s *Set) expireTimers(now time.Duration, ep *endpoint) {
	pending := ep.suppressed || now < ep.newProcessUntil
	for _, rec := range slices.Clone(ep.records) {
		if s.expireRecord(now, rec) {
			pending = true
		}
		if s.expireStaleUpdate(now, rec) {
			pending = true
		}
	}
	s.markChanged(ep.addr)
	if !pending {
		delete(s.timers, ep.addr)
	}
}

// HasTimers reports whether any timer is pending. While a timer is pending, the caller should call
// Tick about once a second. Otherwise the interval only determines how late a silent source is
// detected.
func (s *Set) HasTimers() bool { return len(s.timers) > 0 }

// Ready returns the number of endpoints that are Ready.
func (s *Set) Ready() int { return s.readyCount }
