// Package merge runs the membership module: it takes what the sources tell, in
// one goroutine, and hands the merged view on to the core.
package merge

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// Merger merges sources. Its methods may be called concurrently.
type Merger struct {
	set    *membership.Set
	update func(core.EndpointUpdate)
	begin  time.Time
	events chan func(now time.Duration)
	reason []string // why each source is not trusted, as it was logged last

	cells    map[string]int
	nextCell int
}

// firstCell is above any cell that a source numbers itself.
const firstCell = 1 << 20

// tick is how often what ends by itself is looked at.
const tick = 500 * time.Millisecond

// New makes a Merger of a Set; update takes the merged view's changes, in order.
func New(set *membership.Set, update func(core.EndpointUpdate)) *Merger {
	return &Merger{
		set: set, update: update, begin: time.Now(), events: make(chan func(time.Duration), 16),
		reason: make([]string, len(set.Sources())), cells: make(map[string]int), nextCell: firstCell,
	}
}

// clock runs monotonically and began at Unix time, as starts are told in that.
func (m *Merger) clock() time.Duration {
	return time.Duration(m.begin.UnixNano()) + time.Since(m.begin)
}

// Run merges until ctx ends.
func (m *Merger) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case e := <-m.events:
			e(m.clock())
		case <-t.C:
			m.tell(m.set.Tick(m.clock()))
		case <-ctx.Done():
			return
		}
		m.report()
	}
}

// report logs when a source is distrusted, and when it is trusted again.
func (m *Merger) report() {
	for i, s := range m.set.Sources() {
		if s.Reason == m.reason[i] {
			continue
		}
		if s.Reason == "" {
			slog.Info("membership: source trusted again", "source", s.Name)
		} else if m.reason[i] == "" {
			slog.Warn("membership: source not trusted", "source", s.Name, "reason", s.Reason)
		}
		m.reason[i] = s.Reason
	}
}

// tell hands changes on.
func (m *Merger) tell(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	n := core.EndpointUpdate{Endpoints: make([]core.Endpoint, 0, len(changes))}
	for _, c := range changes {
		i := core.Endpoint{
			Name: c.Key, Host: c.Name, Addr: c.Addr, Zone: c.Zone, MachineType: c.MachineType, Protocol: c.Protocol, Weight: c.Weight, StartedAt: c.StartedAt,
			Cell: m.cell(c.Cell),
		}
		switch c.State {
		case membership.Ready:
			i.Health = core.Up
		case membership.Removed:
			i.Health = core.Removed
		}
		n.Endpoints = append(n.Endpoints, i)
	}
	m.update(n)
}

// cell numbers a cell by its name. A number that a source gives is its own.
func (m *Merger) cell(name string) *int {
	if name == "" {
		return nil
	}
	if n, err := strconv.Atoi(name); err == nil && n >= 0 && n < firstCell {
		return &n
	}
	n, ok := m.cells[name]
	if !ok {
		n = m.nextCell
		m.nextCell++
		m.cells[name] = n
	}
	return &n
}

// UpdatePlatform takes what the platform's discovery tells, as source number.
func (m *Merger) UpdatePlatform(number int, news core.EndpointUpdate) {
	m.events <- func(now time.Duration) {
		var whole []membership.Instance
		var deltas []membership.Delta
		for _, i := range news.Endpoints {
			x := membership.Instance{ID: i.Name, Name: i.Name, Addr: i.Addr, Zone: i.Zone, MachineType: i.MachineType, Weight: i.Weight, StartedAt: i.StartedAt}
			if i.Cell != nil {
				x.Cell = strconv.Itoa(*i.Cell)
			}
			switch i.Health {
			case core.Draining:
				x.Status = membership.OutOfService
			case core.Removed:
				deltas = append(deltas, membership.Delta{Op: membership.Delete, Instance: x})
				continue
			}
			whole = append(whole, x)
			deltas = append(deltas, membership.Delta{Instance: x})
		}
		if !news.Complete {
			m.tell(m.set.ApplyDelta(now, number, "", deltas))
			return
		}
		changes, err := m.set.ReplaceList(now, number, "", whole)
		if err != nil {
			slog.Warn("membership: list refused, the last one stays", "err", err)
		}
		m.tell(changes)
	}
}

// UpdateEureka takes what a UpdateEureka registry tells, as source number, by a mapping.
func (m *Merger) UpdateEureka(number int, mapping Mapping, news eureka.News) {
	replica := news.Replica // the rest of the news is let go before they are merged
	if !news.Whole {
		list := make([]membership.Delta, 0, len(news.Instances))
		for i := range news.Instances {
			if d, ok := mapping.instance(&news.Instances[i]); ok {
				list = append(list, d)
			}
		}
		m.events <- func(now time.Duration) { m.tell(m.set.ApplyDelta(now, number, replica, list)) }
		return
	}
	whole := make([]membership.Instance, 0, len(news.Instances))
	for i := range news.Instances {
		if d, ok := mapping.instance(&news.Instances[i]); ok {
			whole = append(whole, d.Instance)
		}
	}
	m.events <- func(now time.Duration) {
		changes, err := m.set.ReplaceList(now, number, replica, whole)
		whole = nil // it is not needed while the changes are told
		if err != nil {
			slog.Warn("membership: list refused, the last one stays", "err", err)
		}
		m.tell(changes)
	}
}

// SetStatic takes a list that does not change, as source number.
func (m *Merger) SetStatic(number int, list []membership.Instance) {
	m.events <- func(now time.Duration) {
		changes, err := m.set.ReplaceList(now, number, "", list)
		if err != nil {
			slog.Warn("membership: list refused", "err", err)
		}
		m.tell(changes)
	}
}

// View is the merged view and how the sources do, as of Now.
type View struct {
	Now     time.Duration            `json:"Now"`   // Unix time
	Ready   int                      `json:"Ready"` // nodes that may be sent something
	Members []membership.Member      `json:"Members"`
	Sources []membership.SourceState `json:"Sources"`
}

// View looks at it as it is now: the members behind an address, most of them at
// the most.
func (m *Merger) View(ctx context.Context, after string, most int) (*View, error) {
	seen := make(chan *View, 1)
	select {
	case m.events <- func(now time.Duration) {
		seen <- &View{now, m.set.Ready(), m.set.Members(after, most), m.set.Sources()}
	}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case v := <-seen:
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
