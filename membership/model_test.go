package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// model is the plain reference: what each source last said, found by looking at
// everything again each time. It knows no damping, doubt or identity; where the
// Set is more careful than it, the Set may drain what it calls ready, and say why.
type model struct {
	now   time.Duration
	said  [2]map[string]*word // by id
	began [2]time.Duration
	base  [2]int
	heard [2]time.Duration
}

type word struct {
	inst    Instance
	deleted bool
	lost    bool
	since   time.Duration
}

func (m *model) live(source int) int {
	n := 0
	for _, w := range m.said[source] {
		if !w.deleted && !w.lost {
			n++
		}
	}
	return n
}

// may is the guard against mass disappearance, by the table in the document.
func (m *model) may(source, n int) bool {
	live := m.live(source)
	if m.now-m.began[source] >= DefaultLossWindow || m.base[source] < live {
		m.began[source], m.base[source] = m.now, live
	}
	if live-n < 1 {
		return false
	}
	return m.base[source]-live+n <= max(1, int(float64(m.base[source])*DefaultMaxLoss))
}

func (m *model) put(source int, i Instance) {
	m.said[source][i.ID] = &word{inst: i}
}

func (m *model) remove(source int, ids []string) {
	var fresh []*word
	for _, id := range ids {
		if w := m.said[source][id]; w != nil && !w.deleted && !w.lost {
			fresh = append(fresh, w)
		}
	}
	if len(fresh) == 0 {
		return
	}
	ok := m.may(source, len(fresh))
	for _, w := range fresh {
		w.deleted, w.lost, w.since = ok, !ok, m.now
	}
}

func (m *model) tick() {
	for source := range m.said {
		live := m.live(source)
		silent := source == eureka && m.now-m.heard[source] >= DefaultSilentAfter
		for id, w := range m.said[source] {
			if w.deleted && m.now-w.since >= DefaultTombstoneLifetime {
				delete(m.said[source], id)
			} else if w.lost && m.now-w.since >= DefaultLossHold && live > 0 && !silent {
				w.deleted, w.lost, w.since = true, false, m.now
			}
		}
	}
}

// state is what the table says of an address.
func (m *model) state(addr string) State {
	listed, buried, strictest := false, false, Up
	for source := range m.said {
		here, gone := false, false
		for _, w := range m.said[source] {
			switch {
			case w.inst.Addr != addr:
			case w.deleted:
				gone = true
			default:
				here = true
				strictest = max(strictest, w.inst.Status)
			}
		}
		listed = listed || here
		buried = buried || gone && !here
	}
	switch {
	case !listed:
		return Removed
	case strictest != Up || buried:
		return Draining
	}
	return Ready
}

// Random events: the view follows the model but for what damping holds back, no
// key comes twice, and neither silence nor disappearance empties the pool.
func TestAgainstTheModel(t *testing.T) {
	seeds := 300
	first := uint64(1)
	if text := os.Getenv("MEMBERSHIP_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, seeds = n, 1
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		if !t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { playModel(t, seed) }) {
			t.Fatalf("play it again with MEMBERSHIP_SEED=%d", seed)
		}
	}
}

func playModel(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	w := newWorld(t, Config{})
	m := &model{}
	for i := range m.said {
		m.said[i] = make(map[string]*word)
	}
	const ids = 12
	dirty := int64(0)
	draw := func() Instance {
		dirty++
		status := Up
		if rng.IntN(3) == 0 {
			status = Status(rng.IntN(5))
		}
		i := inst(rng.IntN(ids), status, dirty)
		i.StartedAt = time.Minute // known: what it is when it is not has tests of its own
		return i
	}
	for step := range 200 {
		source := rng.IntN(2)
		if rng.IntN(3) > 0 {
			d := time.Duration(rng.IntN(5000)) * time.Millisecond
			if rng.IntN(40) == 0 {
				d = time.Duration(rng.IntN(15)) * time.Minute
			}
			w.now += d
		}
		m.now = w.now
		w.apply(w.s.Tick(w.now))
		m.tick()
		m.heard[source] = m.now
		switch rng.IntN(8) {
		case 0: // a whole list of some
			var list []Instance
			named := make(map[string]bool)
			for id := range ids {
				if rng.IntN(4) > 0 {
					i := draw()
					i.ID, i.Name, i.Addr = fmt.Sprint("i", id), fmt.Sprint("records-", id), fmt.Sprint("10.0.0.", id, ":80")
					list = append(list, i)
					named[i.ID] = true
				}
			}
			if rng.IntN(5) == 0 {
				list, named = nil, nil
			}
			for _, i := range list {
				m.put(source, i)
			}
			var absent []string
			for id := range m.said[source] {
				if !named[id] {
					absent = append(absent, id)
				}
			}
			m.remove(source, absent)
			w.whole(source, list...)
		case 1, 2:
			id := fmt.Sprint("i", rng.IntN(ids))
			m.remove(source, []string{id})
			w.del(source, id)
		default:
			i := draw()
			m.put(source, i)
			w.put(source, i)
		}
		readyByModel := 0
		for id := range ids {
			addr := fmt.Sprint("10.0.0.", id, ":80")
			want, got := m.state(addr), w.at(addr)
			if want == Ready {
				readyByModel++
			}
			damped := w.s.nodes[addr] != nil && w.s.nodes[addr].damped
			if got.State != want && !(want == Ready && got.State == Draining && damped) {
				t.Fatalf("step %d: %s is in state %d (%s), by the model in %d", step, addr, got.State, got.Reason, want)
			}
		}
		if readyByModel > 0 && w.s.Ready() == 0 {
			t.Fatalf("step %d: the pool is empty, by the model %d are ready", step, readyByModel)
		}
	}
}

// The cost of a delta of one must not grow with the list.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			s, list := benchSet(b, n)
			b.ReportAllocs()
			for i := range b.N {
				x := list[i%n]
				x.Dirty, x.Status = int64(2+i), Status(i/n%2)*OutOfService
				s.ApplyDelta(time.Hour+time.Duration(i)*time.Second, 0, "r1", []Delta{{Put, x}})
			}
		})
	}
}

func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			s, list := benchSet(b, n)
			b.ReportAllocs()
			for i := range b.N {
				if _, err := s.ReplaceList(time.Hour+time.Duration(i)*time.Second, 0, "r1", list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func benchSet(b *testing.B, n int) (*Set, []Instance) {
	s, err := New(Config{}, Source{"eureka", true})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Instance, n)
	for i := range list {
		list[i] = inst(i, Up, 1)
		list[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255)
	}
	if _, err := s.ReplaceList(time.Hour, 0, "r1", list); err != nil {
		b.Fatal(err)
	}
	return s, list
}
