package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// keptChanges is how much room for changes is kept.
const keptChanges = 256

// settle tells what has changed in the view.
func (s *Set) settle(now time.Duration) []Change {
	if len(s.changed) == 0 {
		return nil
	}
	out := make([]Change, 0, len(s.changed))
	slices.SortFunc(s.changed, func(a, b *node) int { return strings.Compare(a.addr, b.addr) })
	for _, n := range s.changed {
		n.touched = false
		out = s.view(now, n, out)
	}
	if s.changed = s.changed[:0]; cap(s.changed) > keptChanges {
		s.changed = nil
	}
	if s.ready == 0 { // better one that flaps than none
		for _, addr := range slices.Sorted(maps.Keys(s.timed)) {
			if n := s.nodes[addr]; n != nil && n.damped && s.ready == 0 {
				out = s.view(now, n, out)
			}
		}
	}
	return out
}

// view works out what is to be thought of a node and tells what is new in it.
func (s *Set) view(now time.Duration, n *node, out []Change) []Change {
	best, status, reason := s.judge(now, n)
	if best == nil {
		if n.is {
			out = s.tell(n, Change{Key: n.key, Name: n.shown.Name, Addr: n.addr, State: Removed, Reason: reason}, out)
			n.is, n.process = false, process{}
		}
		if len(n.claims) == 0 {
			delete(s.nodes, n.addr)
			delete(s.timed, n.addr)
		}
		return out
	}
	if !n.is || !s.owned(n) {
		out = s.replace(now, n, best, out)
	}
	c := Change{
		Key: n.key, Name: best.Name, Addr: n.addr, Zone: best.Zone, MachineType: best.MachineType, Cell: best.Cell, Protocol: best.Protocol,
		Weight: best.Weight, StartedAt: n.shown.StartedAt, State: Draining, Reason: reason,
	}
	if best.StartedAt > 0 {
		c.StartedAt = best.StartedAt
	}
	if now < n.freshTo {
		c.Cell = "" // what the process before it knew, it does not know
		s.timed[n.addr] = true
	}
	s.fade(now, n)
	if n.is && n.shown.State == Ready && status != Up {
		n.penalty = min(mostPenalty, n.penalty+flapPenalty)
		n.damped = n.damped || n.penalty >= suppressAt
	}
	switch {
	case status != Up:
	case !n.damped:
		c.State = Ready
	case s.ready == 0 || s.ready == 1 && n.is && n.shown.State == Ready:
		c.State, c.Reason = Ready, "it flaps, but there is no other; "+reason
	default:
		c.Reason = fmt.Sprintf("it flaps: drained until it has kept up for a while; %s", reason)
	}
	if n.damped {
		s.timed[n.addr] = true
	}
	same := n.shown
	same.Reason = c.Reason
	if n.is && same == c {
		n.shown.Reason = c.Reason
		return out
	}
	return s.tell(n, c, out)
}

// tell notes what the world is told of a node.
func (s *Set) tell(n *node, c Change, out []Change) []Change {
	if n.is && n.shown.State == Ready {
		s.ready--
	}
	if c.State == Ready {
		s.ready++
	}
	n.shown, n.is = c, true
	return append(out, c)
}

// judge gives the claim that describes a node, the strictest status that any
// source has for it, and why; no claim where it has gone.
func (s *Set) judge(now time.Duration, n *node) (best *record, status Status, reason string) {
	deleted := ""
	for number, src := range s.sources {
		var r *record
		buried := false
		for _, claim := range n.claims {
			switch {
			case claim.source != number:
			case claim.deleted:
				buried = true
			case r == nil || later(claim, r):
				r = claim
			}
		}
		if r == nil {
			if buried {
				deleted = "deleted by " + src.name
			}
			continue
		}
		why := src.says[r.Status]
		switch {
		case r.lost:
			why += ", which lost it with too many others: held"
		case src.silent:
			why += ", which is silent: held"
		}
		if best == nil {
			best = r
		}
		if reason == "" || r.Status > status {
			status, reason = r.Status, why
		}
	}
	switch {
	case best == nil && deleted == "":
		reason = "no source lists it"
	case best == nil:
		reason = deleted
	case deleted != "" && status == Up: // one source has just taken it out
		status, reason = OutOfService, deleted+", though "+reason
	}
	return best, status, reason
}

// later says which of two claims of one source is the later process: the other
// one is a lease that has not run out yet.
func later(a, b *record) bool {
	switch {
	case a.lost != b.lost:
		return b.lost
	case a.StartedAt != b.StartedAt:
		return a.StartedAt > b.StartedAt
	case a.Dirty != b.Dirty:
		return a.Dirty > b.Dirty
	}
	return a.ID > b.ID
}

// owned says whether the process that the node is known by is still what some
// source takes for the one at its address.
func (s *Set) owned(n *node) bool {
	for number := range s.sources {
		var r *record
		for _, claim := range n.claims {
			if claim.source == number && !claim.deleted && (r == nil || later(claim, r)) {
				r = claim
			}
		}
		if r != nil && r.process() == n.process {
			return true
		}
	}
	return false
}

// replace gives the address to another process: what is still out counts for
// the old one, the new one starts cold and knows no keys.
func (s *Set) replace(now time.Duration, n *node, r *record, out []Change) []Change {
	src := s.sources[r.source]
	first := n.replaced == 0 && !n.is
	if n.is {
		out = s.tell(n, Change{Key: n.key, Name: n.shown.Name, Addr: n.addr, State: Removed, Reason: "another process is at its address"}, out)
		n.is = false
	}
	n.replaced++
	s.processes++
	n.key = fmt.Sprintf("%s@%s#%d", r.Name, n.addr, s.processes)
	if !first {
		n.freshTo = now + s.cfg.NewProcessPeriod
		n.penalty, n.damped = 0, false
	}
	n.process = r.process()
	n.shown = Change{StartedAt: r.StartedAt}
	if r.StartedAt == 0 && (!first || src.listed) { // it came later than the list: take it for new
		n.shown.StartedAt = now
	}
	return out
}

// fade lets a node's penalty halve with time.
func (s *Set) fade(now time.Duration, n *node) {
	n.penalty *= math.Exp2(-float64(now-n.faded) / float64(halfLife))
	n.faded = now
	if n.penalty <= reuseAt {
		n.damped = false
	}
}

// Member is a node as people look at it.
type Member struct {
	Change
	Claims []string `json:"Claims"` // each source's instance and what it says
}

// Members lists the merged view by address: those behind after, most of them at
// the most.
func (s *Set) Members(after string, most int) []Member {
	var all []Member
	addrs := make([]string, 0, len(s.nodes))
	for addr := range s.nodes {
		if addr > after {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	for _, addr := range addrs[:min(most, len(addrs))] {
		n := s.nodes[addr]
		m := Member{Change: n.shown}
		m.Addr = addr
		if !n.is {
			m.Reason = "no source lists it any more"
		}
		for _, r := range n.claims {
			word := r.Status.String()
			switch {
			case r.deleted:
				word = "deleted"
			case r.lost:
				word += ", lost"
			}
			m.Claims = append(m.Claims, fmt.Sprintf("%s %s: %s", s.sources[r.source].name, r.ID, word))
		}
		slices.SortFunc(m.Claims, strings.Compare)
		all = append(all, m)
	}
	return all
}

// SourceState is how a source does.
type SourceState struct {
	Name           string        `json:"Name"`
	Live           int           `json:"Live"`   // instances that it lists
	Held           int           `json:"Lost"`   // that it lost with too many others: held
	LastResponseAt time.Duration `json:"Heard"`  // its last news; 0: never
	Reason         string        `json:"Reason"` // why it is not trusted; empty where it is
}

// Sources lists the sources by number.
func (s *Set) Sources() []SourceState {
	var all []SourceState
	for _, src := range s.sources {
		all = append(all, SourceState{src.name, src.live, src.lost, src.heard, src.reason})
	}
	return all
}

// Ready says how many nodes are ready.
func (s *Set) Ready() int { return s.ready }

// HasTimers says whether something is to end by itself: Tick is then wanted every
// second or so, and else as often as a silent source should be noticed.
func (s *Set) HasTimers() bool { return len(s.timed) > 0 }
