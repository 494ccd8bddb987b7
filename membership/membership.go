// Package membership decides which endpoints a sidecar has and what it may do with each. It
// merges the lists of any number of sources (a registry, the platform's discovery, a static
// list) into one view and protects that view: a source can't empty it by silence or by losing
// many instances at once, an update that is older than the one held does not replace it, and
// an endpoint that a source takes out of service drains at once.
//
// A Set is a single-threaded state machine without goroutine, clock or I/O: the caller passes
// the time with each event and gets the changes that follow. The rules stand as a table in
// docs/design/membership.md; each is in a file of its own: staleness.go, loss_protection.go,
// tombstones.go, flap_damping.go, processes.go, and view.go, which combines the sources.
package membership

import (
	"fmt"
	"slices"
	"time"
)

// Set is the merged view. It is not safe for concurrent use, and no method blocks.
//
// The time that its methods take is a Unix time that must not go backwards from one call to
// the next. A source is given by its index among those that New was given. The changes that a
// method returns are in order, and Set does not keep the slice.
type Set struct {
	cfg          Config
	sources      []*source
	endpoints    map[string]*endpoint // by address
	processCount int                  // processes so far; makes the keys unique
	changed      []*endpoint          // to be evaluated when the current event ends
	timers       map[string]bool      // addresses of endpoints at which some period runs
	readyCount   int
}

// New returns an empty Set of the given sources. Its error is ErrNoSource or names the field
// of cfg that is out of bounds.
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

// ListTooLongError is the error for a list of more than Config.MaxNodes instances.
type ListTooLongError struct {
	Source    string
	Instances int // in the list
	Max       int
}

// Error names the source and both numbers.
func (e *ListTooLongError) Error() string {
	return fmt.Sprintf("%s: a list of %d instances, %d at most", e.Source, e.Instances, e.Max)
}

// ReplaceList applies a complete list of a source; replica names the one of its servers that
// it came from. Instances that the Set has from the source and that are absent from the list have
// disappeared: Config.MaxLoss says which of them are removed and which held. The error is a
// *ListTooLongError; nothing of the list is applied then.
func (s *Set) ReplaceList(now time.Duration, sourceIndex int, replica string, list []Instance) ([]Change, error) {
	src := s.sources[sourceIndex]
	if len(list) > s.cfg.MaxNodes {
		return nil, &ListTooLongError{Source: src.name, Instances: len(list), Max: s.cfg.MaxNodes}
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

// ApplyDelta applies changes of a source's list in their order; replica names the one of its
// servers that they came from. Its cost is that of the changes, not of the list.
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

// SourceResponded notes that a source responded and nothing in its list has changed.
func (s *Set) SourceResponded(now time.Duration, sourceIndex int) []Change {
	s.sources[sourceIndex].markResponded(now)
	return s.collectChanges(now)
}

// Tick ends what is due by time: it marks sources silent and ends the periods of endpoints.
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
		s.expirePeriods(now, ep)
	}
	return s.collectChanges(now)
}

// expirePeriods ends the periods that are due at one endpoint.
func (s *Set) expirePeriods(now time.Duration, ep *endpoint) {
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

// HasTimers reports whether some period runs. Tick is due about every second then, and
// otherwise as often as a silent source is to be noticed.
func (s *Set) HasTimers() bool { return len(s.timers) > 0 }

// Ready returns how many endpoints are Ready.
func (s *Set) Ready() int { return s.readyCount }
