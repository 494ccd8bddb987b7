// Package merge runs the membership module. It queues the updates of all sources, applies them
// in one goroutine and passes the changes of the merged view to the core.
//
// Each source is given by its index in the Set's list of sources.
package merge

import (
	"context"
	"log/slog"
	"time"

	"mothridge/internal/core"
	"mothridge/membership"
)

// tickInterval is how often the Set's timers are checked.
const tickInterval = 500 * time.Millisecond

// maxQueuedEvents is how many events wait before a caller blocks.
const maxQueuedEvents = 16

// Merger merges the lists of several sources into the core's list.
//
// Its owner starts Run in a goroutine and ends it by Run's context. That goroutine alone uses
// the Set. The other methods may be called concurrently, before Run too; the Update and Set
// methods block while maxQueuedEvents wait, and for good after the end of Run.
type Merger struct {
	set       *membership.Set
	publish   func(core.EndpointUpdate)
	startedAt time.Time
	events    chan func(now time.Duration)

	// Of Run's goroutine alone.
	loggedReasons []string // why each source is not trusted, as logged last
	cells         *cellNumbers
}

// New returns a Merger of a Set, which it owns from then on. Run calls publish with the changes
// of the merged view, in order.
func New(set *membership.Set, publish func(core.EndpointUpdate)) *Merger {
	return &Merger{
		set:           set,
		publish:       publish,
		startedAt:     time.Now(),
		events:        make(chan func(time.Duration), maxQueuedEvents),
		loggedReasons: make([]string, len(set.Sources())),
		cells:         newCellNumbers(),
	}
}

// now returns a Unix time, as that is what starts are reported in. It is monotonic: New
// alone reads the Unix time.
func (m *Merger) now() time.Duration {
	return time.Duration(m.startedAt.UnixNano()) + time.Since(m.startedAt)
}

// Run merges until ctx ends.
func (m *Merger) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-m.events:
			event(m.now())
		case <-ticker.C:
			m.publishChanges(m.set.Tick(m.now()))
		case <-ctx.Done():
			return
		}
		m.logSourceStates()
	}
}

// replaceList queues a complete list of a source.
func (m *Merger) replaceList(source int, replica string, list []membership.Instance) {
	m.events <- func(now time.Duration) {
		changes, err := m.set.ReplaceList(now, source, replica, list)
		list = nil // so that its memory is free while the changes are published
		if err != nil {
			slog.Warn("membership: list rejected, nothing of it is applied", "err", err)
		}
		m.publishChanges(changes)
	}
}

// applyDelta queues changes of a source's list.
func (m *Merger) applyDelta(source int, replica string, deltas []membership.Delta) {
	m.events <- func(now time.Duration) {
		m.publishChanges(m.set.ApplyDelta(now, source, replica, deltas))
	}
}

// SetStatic replaces the list of a static source.
func (m *Merger) SetStatic(source int, list []membership.Instance) {
	m.replaceList(source, "", list)
}

// publishChanges passes changes of the merged view to the core.
func (m *Merger) publishChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	update := core.EndpointUpdate{Endpoints: make([]core.Endpoint, 0, len(changes))}
	for i := range changes {
		update.Endpoints = append(update.Endpoints, m.endpoint(&changes[i]))
	}
	m.publish(update)
}

// endpoint returns a change in the core's terms.
func (m *Merger) endpoint(change *membership.Change) core.Endpoint {
	return core.Endpoint{
		Name:        change.Key,
		Host:        change.Name,
		Addr:        change.Addr,
		Zone:        change.Zone,
		MachineType: change.MachineType,
		Protocol:    change.Protocol,
		Weight:      change.Weight,
		StartedAt:   change.StartedAt,
		Cell:        m.cells.number(change.Cell),
		Health:      health(change.State),
	}
}

func health(state membership.State) core.Health {
	switch state {
	case membership.Ready:
		return core.Ready
	case membership.Removed:
		return core.Removed
	default:
		return core.Draining
	}
}

// logSourceStates logs when a source is no longer trusted and when it is again.
func (m *Merger) logSourceStates() {
	for i, source := range m.set.Sources() {
		logged := m.loggedReasons[i]
		m.loggedReasons[i] = source.Reason
		switch {
		case source.Reason == "" && logged != "":
			slog.Info("membership: source trusted again", "source", source.Name)
		case source.Reason != "" && logged == "":
			slog.Warn("membership: source not trusted", "source", source.Name, "reason", source.Reason)
		}
	}
}
