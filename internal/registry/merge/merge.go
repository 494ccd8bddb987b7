// Package merge runs the membership module. It queues the updates of all sources, applies them
// in one goroutine and passes the changes of the merged view to the core.
//
// All methods identify a source by its index in the sources that the membership.Set was created
// with.
package merge

import (
	"context"
	"log/slog"
	"time"

	"mothridge/internal/core"
	"mothridge/membership"
)

// tickInterval is the interval at which the timers of the Set are checked.
const tickInterval = 500 * time.Millisecond

// maxQueuedEvents is the capacity of the event queue. A caller blocks while the queue is full.
const maxQueuedEvents = 16

// Merger merges the lists of several sources into the endpoint list of the core.
//
// The owner of a Merger starts Run in a goroutine and stops it by canceling Run's context. Only
// that goroutine uses the Set. The other methods may be called concurrently, also before Run.
// UpdateEureka, UpdatePlatform and SetStatic block while maxQueuedEvents events are queued, and
// block forever once the queue is full after Run has returned.
type Merger struct {
	set       *membership.Set
	publish   func(core.EndpointUpdate)
	startedAt time.Time
	events    chan func(now time.Duration)

	// Only Run's goroutine uses the following fields.
	loggedReasons []string // by source: the last logged reason why the source is not trusted; empty: trusted
	cells         *cellNumbers
}

// New returns a Merger for a Set. The Merger owns the Set from then on. Run calls publish with
// the changes of the merged view, in order.
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

// now returns the current Unix time, because sources report process starts as Unix times. The
// result never goes backwards: the Unix time is read once, in New, and the monotonic clock is
// used after that.
func (m *Merger) now() time.Duration {
	return time.Duration(m.startedAt.UnixNano()) + time.Since(m.startedAt)
}

// Run applies the queued updates and checks the timers of the Set until ctx is done.
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

// replaceList queues a complete list from a source.
func (m *Merger) replaceList(source int, replica string, list []membership.Instance) {
	m.events <- func(now time.Duration) {
		changes, err := m.set.ReplaceList(now, source, replica, list)
		list = nil // allows the list to be garbage collected while the changes are published
		if err != nil {
			slog.Warn("membership: list rejected; keeping the previous list", "err", err)
		}
		m.publishChanges(changes)
	}
}

// applyDelta queues changes to a source's list.
func (m *Merger) applyDelta(source int, replica string, deltas []membership.Delta) {
	m.events <- func(now time.Duration) {
		m.publishChanges(m.set.ApplyDelta(now, source, replica, deltas))
	}
}

// SetStatic queues a complete list that replaces the list of a static source.
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

// endpoint converts a change of the merged view to an endpoint of the core.
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

// logSourceStates logs each source that is no longer trusted and each source that is trusted again.
func (m *Merger) logSourceStates() {
	for i, source := range m.set.Sources() {
		logged := m.loggedReasons[i]
		m.loggedReasons[i] = source.Reason
		switch {
		case source.Reason == "" && logged != "":
			slog.Info("membership: source trusted again", "source", source.Name)
		case source.Reason != "" && logged == "":
			slog.Warn("membership: source not trusted; keeping its lost or last known instances", "source", source.Name, "reason", source.Reason)
		}
	}
}
