// Package membership decides which nodes a sidecar knows and what it may do with
// each. It merges any number of sources (a registry, the platform's discovery, a
// fixed list) into one view, and guards it: no source can empty it by falling
// silent or by losing many instances at once, news that are older than what is
// held do not roll it back, and a node that a source takes out of service is
// drained at once.
//
// A Set is single-threaded and deterministic: no goroutine, clock or I/O. The
// program passes the time with each event and takes the changes that follow. The
// rules stand as a table in docs/design/membership.md.
package membership

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Status is what a source says of an instance, by Eureka's words. The greater is
// the stricter.
type Status int

// The statuses. Any other word is Unknown.
const (
	Up Status = iota
	Starting
	Unknown
	Down
	OutOfService
)

func (s Status) String() string {
	return [...]string{"UP", "STARTING", "UNKNOWN", "DOWN", "OUT_OF_SERVICE"}[s]
}

// Instance is what a source knows of one instance.
type Instance struct {
	ID          string // in its source
	Name        string // for people and for the patterns of pools
	Addr        string // address and port: what identifies a node across sources
	Status      Status // an override counts before the instance's own word
	Zone        string
	MachineType string
	Cell        string // empty: it shares its keys with no other
	Protocol    string
	Weight      float64
	StartedAt   time.Duration // Unix time of its process's start; 0: not known
	// Dirty and Updated order the news of one instance: Dirty by its own clock,
	// Updated by its registry's. They are compared with nothing else, as either
	// clock may be wrong.
	Dirty, Updated int64
}

// Config holds the bounds of a Set. Zeros take the defaults.
type Config struct {
	MaxLoss           float64       // share of a source's instances that may vanish within LossWindow
	LossWindow        time.Duration // what counts as at once
	LossHold          time.Duration // a greater loss is believed after the source kept to it this long; an empty list never is
	SilentAfter       time.Duration // without news for this long a source is silent
	TombstoneLifetime time.Duration // how long a deleted instance is remembered
	StaleUpdateHold   time.Duration // news that seem old are believed after their source kept to them this long
	NewProcessPeriod  time.Duration // a new process at an old address shares no keys for this long
	MaxNodes          int           // of one source; a list of more is refused whole
}

// The defaults of Config.
const (
	DefaultMaxLoss           = 0.3
	DefaultLossWindow        = time.Minute
	DefaultLossHold          = 10 * time.Minute
	DefaultSilentAfter       = 90 * time.Second
	DefaultTombstoneLifetime = time.Minute
	DefaultStaleUpdateHold   = 30 * time.Second
	DefaultNewProcessPeriod  = 30 * time.Second
	DefaultMaxNodes          = 20000
)

// Flap damping, after RFC 2439: each time a node stops being Up it earns a
// penalty, which halves with time; above suppressAt it stays drained until it
// is back under reuseAt.
const (
	flapPenalty = 1.0
	suppressAt  = 3.0
	reuseAt     = 1.0
	halfLife    = 20 * time.Second
	mostPenalty = 6.0
)

// State is what may be done with a node.
type State int

// The states of a node.
const (
	Removed  State = iota // it has left
	Draining              // nothing new
	Ready
)

func (s State) String() string { return [...]string{"gone", "draining", "ready"}[s] }

// Change is the new view of one node.
type Change struct {
	Key         string        `json:"Key"` // names this process at this address; never used for another
	Name        string        `json:"Name"`
	Addr        string        `json:"Addr"`
	Zone        string        `json:"Site"`
	MachineType string        `json:"Kind"`
	Cell        string        `json:"Cell"`
	Protocol    string        `json:"Protocol"`
	Weight      float64       `json:"Weight"`
	StartedAt   time.Duration `json:"Started"`
	State       State         `json:"State"`
	Reason      string        `json:"Reason"` // why it is in that state
}

// record is what one source holds of one instance.
type record struct {
	Instance
	source  int
	deleted bool          // a tombstone
	lost    bool          // absent from its source's list, and held
	since   time.Duration // of being deleted or lost
	doubted *Instance     // older news that its source keeps to
	doubtAt time.Duration
}

func (r *record) process() process { return process{r.source, r.ID, r.StartedAt} }

// node is an address with all that claims it.
type node struct {
	addr     string
	claims   []*record
	process  process // the one that owns it
	key      string
	shown    Change
	is       bool // shown says what the world was told
	damped   bool
	touched  bool // it is among Set.changed
	penalty  float64
	faded    time.Duration // when penalty was right
	freshTo  time.Duration // no cell until then
	replaced int           // processes that the address had
}

// process is the identity of one: its start counts where it is known. The zero
// value is none.
type process struct {
	source  int
	id      string
	started time.Duration
}

// source is what is known of a source as a whole.
type source struct {
	name    string
	polled  bool
	records map[string]*record
	live    int // neither deleted nor lost
	lost    int
	began   time.Duration // of the loss window
	base    int           // live instances when it began
	heard   time.Duration
	ever    bool
	silent  bool
	reason  string // why it is not trusted; empty where it is
	replica string
	listed  bool                     // its first list is in
	says    [OutOfService + 1]string // the usual reasons, which thousands of nodes share
}

// Source is where news come from.
type Source struct {
	Name   string
	Polled bool // it answers again and again; without that for SilentAfter it is silent
}

// Set is the merged view.
type Set struct {
	cfg       Config
	sources   []*source
	nodes     map[string]*node
	processes int             // that took an address over, for keys
	changed   []*node         // looked at anew when an event ends
	timed     map[string]bool // nodes with something that ends by itself
	ready     int
}

// New makes a Set of sources; they go by their number from then on.
func New(cfg Config, sources ...Source) (*Set, error) {
	if len(sources) == 0 {
		return nil, fmt.Errorf("membership: no source")
	}
	if math.IsNaN(cfg.MaxLoss) || cfg.MaxLoss < 0 || cfg.MaxLoss >= 1 {
		return nil, fmt.Errorf("membership: MaxLoss is %v, a share under 1 is needed", cfg.MaxLoss)
	}
	if cfg.MaxLoss == 0 {
		cfg.MaxLoss = DefaultMaxLoss
	}
	if cfg.MaxNodes == 0 {
		cfg.MaxNodes = DefaultMaxNodes
	}
	for _, d := range []struct {
		field  *time.Duration
		absent time.Duration
	}{
		{&cfg.LossWindow, DefaultLossWindow}, {&cfg.LossHold, DefaultLossHold}, {&cfg.SilentAfter, DefaultSilentAfter},
		{&cfg.TombstoneLifetime, DefaultTombstoneLifetime}, {&cfg.StaleUpdateHold, DefaultStaleUpdateHold}, {&cfg.NewProcessPeriod, DefaultNewProcessPeriod},
	} {
		if *d.field < 0 {
			return nil, fmt.Errorf("membership: a time of %v is negative", *d.field)
		}
		if *d.field == 0 {
			*d.field = d.absent
		}
	}
	s := &Set{cfg: cfg, nodes: make(map[string]*node), timed: make(map[string]bool)}
	for _, given := range sources {
		src := &source{name: given.Name, polled: given.Polled, records: make(map[string]*record)}
		for status := range src.says {
			src.says[status] = Status(status).String() + " by " + src.name
		}
		s.sources = append(s.sources, src)
	}
	return s, nil
}

// ReplaceList takes a source's whole list, as one of its replicas tells it. Instances
// that it held and that are absent have vanished: see MaxLoss. The error names
// what is wrong with the list; nothing of it is taken then.
func (s *Set) ReplaceList(now time.Duration, number int, replica string, list []Instance) ([]Change, error) {
	src := s.sources[number]
	if len(list) > s.cfg.MaxNodes {
		return nil, fmt.Errorf("%s: a list of %d instances, %d at most", src.name, len(list), s.cfg.MaxNodes)
	}
	s.hear(now, src)
	named := make(map[string]bool, len(list))
	for i := range list {
		named[list[i].ID] = true
		s.take(now, number, src, replica, &list[i])
	}
	s.vanish(now, src, named)
	src.replica = replica
	changes := s.settle(now)
	src.listed = true
	return changes, nil
}

// Op is what a delta says of an instance.
type Op int

// The operations of a delta.
const (
	Put    Op = iota // added or modified: the two differ in nothing that matters
	Delete           // deregistered
)

// Delta is one entry of a delta.
type Delta struct {
	Op Op
	Instance
}

// ApplyDelta takes changes of a source in their order. Its cost is that of the
// changes, not of the list.
func (s *Set) ApplyDelta(now time.Duration, number int, replica string, deltas []Delta) []Change {
	src := s.sources[number]
	s.hear(now, src)
	for i := range deltas {
		d := &deltas[i]
		if d.Op == Put {
			s.take(now, number, src, replica, &d.Instance)
			continue
		}
		r := src.records[d.ID]
		switch {
		case r == nil || r.deleted || r.lost, d.Dirty != 0 && d.Dirty < r.Dirty:
			// Never seen, held already, or deleted before it registered anew.
		case src.allows(now, 1, &s.cfg):
			s.bury(now, src, r)
		default:
			s.hold(now, src, r)
		}
	}
	src.replica = replica
	return s.settle(now)
}

// SourceResponded says that a source answered and had nothing new.
func (s *Set) SourceResponded(now time.Duration, number int) []Change {
	s.hear(now, s.sources[number])
	return s.settle(now)
}

func (s *Set) hear(now time.Duration, src *source) {
	src.heard, src.ever = now, true
	if src.silent {
		src.silent, src.reason = false, ""
	}
}

// take takes one instance over, unless the news are older than what is held.
func (s *Set) take(now time.Duration, number int, src *source, replica string, i *Instance) {
	if i.ID == "" || i.Addr == "" {
		return
	}
	r := src.records[i.ID]
	if r == nil {
		r = &record{source: number}
		src.records[i.ID] = r
	} else if s.stale(now, src, replica, r, i) {
		return
	}
	if r.deleted || r.lost || r.ID == "" {
		if r.lost {
			src.lost--
		}
		src.live++
	}
	moved := r.Addr != i.Addr
	if moved && r.Addr != "" {
		s.release(r)
	}
	r.Instance, r.deleted, r.lost, r.doubted = *i, false, false, nil
	n := s.nodes[i.Addr]
	if n == nil {
		n = &node{addr: i.Addr}
		s.nodes[i.Addr] = n
	}
	if moved {
		n.claims = append(n.claims, r)
	}
	s.touch(i.Addr)
}

// stale says whether news are older than what is held. A stricter status is
// believed all the same, as a drain must not be missed for a clock; other old
// news are believed once their source has kept to them for a while.
func (s *Set) stale(now time.Duration, src *source, replica string, r *record, i *Instance) bool {
	older := i.Dirty < r.Dirty || i.Dirty == r.Dirty && i.Updated < r.Updated && replica != src.replica
	if r.deleted && i.Dirty <= r.Dirty {
		older = true // what was deleted is back only by news of its own
	}
	if !older || (!r.deleted && i.Dirty == r.Dirty && i.Status > r.Status) {
		return false
	}
	if r.doubted == nil {
		r.doubtAt = now
		s.timed[r.Addr] = true
	}
	copied := *i
	r.doubted = &copied
	return now-r.doubtAt < s.cfg.StaleUpdateHold
}

// vanish handles those that a whole list does not name any more.
func (s *Set) vanish(now time.Duration, src *source, named map[string]bool) {
	var absent []*record
	for id, r := range src.records {
		if !named[id] && !r.deleted {
			absent = append(absent, r)
		}
	}
	if len(absent) == 0 {
		src.reason = ""
		return
	}
	slices.SortFunc(absent, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	fresh := 0
	for _, r := range absent {
		if !r.lost {
			fresh++
		}
	}
	believed := fresh == 0 || src.allows(now, fresh, &s.cfg)
	for _, r := range absent {
		switch {
		case r.lost: // its time is Tick's to see
		case believed:
			s.bury(now, src, r)
		default:
			s.hold(now, src, r)
		}
	}
}

// allows says whether n more may vanish now without being too many at once, and
// counts them if so. One of a small list may always go, but never the last.
func (src *source) allows(now time.Duration, n int, cfg *Config) bool {
	if now-src.began >= cfg.LossWindow || src.base < src.live {
		src.began, src.base = now, src.live
	}
	gone := src.base - src.live + n
	if src.live-n < 1 {
		return false
	}
	return gone <= max(1, int(float64(src.base)*cfg.MaxLoss))
}

// bury makes a tombstone of an instance.
func (s *Set) bury(now time.Duration, src *source, r *record) {
	if r.lost {
		src.lost--
	} else {
		src.live--
	}
	r.deleted, r.lost, r.since, r.doubted = true, false, now, nil
	s.touch(r.Addr)
	s.timed[r.Addr] = true
}

// hold keeps an instance that its source has lost together with too many others.
func (s *Set) hold(now time.Duration, src *source, r *record) {
	if r.lost {
		return
	}
	r.lost, r.since = true, now
	src.live--
	src.lost++
	src.reason = fmt.Sprintf("lost %d of %d at once: held", src.lost, src.lost+src.live)
	s.touch(r.Addr)
	s.timed[r.Addr] = true
}

// release takes a record off its address.
func (s *Set) release(r *record) {
	if n := s.nodes[r.Addr]; n != nil {
		n.claims = slices.DeleteFunc(n.claims, func(x *record) bool { return x == r })
		s.touch(r.Addr)
	}
}

// touch has a node looked at anew. It is no map: clearing one costs as much as
// the most that it ever held.
func (s *Set) touch(addr string) {
	if n := s.nodes[addr]; n != nil && !n.touched {
		n.touched = true
		s.changed = append(s.changed, n)
	}
}

// Tick takes that time has passed: what ends by itself ends.
func (s *Set) Tick(now time.Duration) []Change {
	for _, src := range s.sources {
		if src.polled && src.ever && !src.silent && now-src.heard >= s.cfg.SilentAfter {
			src.silent, src.reason = true, fmt.Sprintf("silent for %v: its last list is held", now-src.heard)
		}
	}
	for addr := range s.timed {
		n := s.nodes[addr]
		if n == nil {
			delete(s.timed, addr)
			continue
		}
		s.ripen(now, n)
	}
	return s.settle(now)
}

// ripen ends what is due at one node.
func (s *Set) ripen(now time.Duration, n *node) {
	again := false
	for _, r := range slices.Clone(n.claims) {
		src := s.sources[r.source]
		switch {
		case r.deleted && now-r.since >= s.cfg.TombstoneLifetime:
			delete(src.records, r.ID)
			s.release(r)
		case r.lost && now-r.since >= s.cfg.LossHold && src.live > 0 && !src.silent:
			s.bury(now, src, r)
			again = true
		case r.deleted || r.lost:
			again = true
		}
		if r.doubted != nil {
			if now-r.doubtAt < s.cfg.StaleUpdateHold || src.silent {
				again = true
			} else if i := *r.doubted; !r.deleted {
				r.doubted = nil
				r.Dirty, r.Updated = i.Dirty, i.Updated // from here on they are its order
				s.take(now, r.source, src, src.replica, &i)
			}
		}
	}
	if n.damped || now < n.freshTo {
		again = true
	}
	s.touch(n.addr)
	if !again {
		delete(s.timed, n.addr)
	}
}
