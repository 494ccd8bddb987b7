package plugin

import (
	"container/list"
	"math"
	"sync"
	"time"

	"mothridge/internal/hook"
)

// kept is a plug-in's declared state: what all runs of it share. A reload hands it
// to the plug-in of the same name.
type kept struct {
	mu     sync.Mutex
	states map[string]*table // by name
}

// table is one state: a counter, whose entry has no key, or a map with a bound
// and an age, of which the entry that was added to least lately goes first.
type table struct {
	decl  hook.State
	byKey map[string]*list.Element
	order *list.List // of *entry, the least lately added to first
}

type entry struct {
	key string
	n   int64
	at  time.Time
}

// keep gives the state for a program, with what an earlier one had under the
// same declaration's name and kind.
func keep(decls []hook.State, old *kept) *kept {
	k := &kept{states: make(map[string]*table)}
	if old != nil {
		old.mu.Lock()
		defer old.mu.Unlock()
	}
	for _, d := range decls {
		t := &table{decl: d, byKey: make(map[string]*list.Element), order: list.New()}
		if old != nil {
			if was := old.states[d.Name]; was != nil && (was.decl.MaxEntries > 0) == (d.MaxEntries > 0) {
				for e := was.order.Front(); e != nil; e = e.Next() {
					x := *e.Value.(*entry) // its own: calls of the old program may still be under way
					t.byKey[x.key] = t.order.PushBack(&x)
				}
				t.fit()
			}
		}
		k.states[d.Name] = t
	}
	return k
}

// fit lets entries go that are over the bound.
func (t *table) fit() {
	for t.order.Len() > max(1, t.decl.MaxEntries) {
		e := t.order.Front()
		delete(t.byKey, e.Value.(*entry).key)
		t.order.Remove(e)
	}
}

func (t *table) get(key string, now time.Time) int64 {
	e := t.byKey[key]
	if e == nil {
		return 0
	}
	x := e.Value.(*entry)
	if t.decl.MaxAge > 0 && now.Sub(x.at) > t.decl.MaxAge {
		return 0
	}
	return x.n
}

// add changes an entry by n, where there is none by beginning with 0.
func (t *table) add(key string, n int64, now time.Time) {
	e := t.byKey[key]
	if e == nil {
		t.byKey[key] = t.order.PushBack(&entry{key, n, now})
		t.fit()
		return
	}
	x := e.Value.(*entry)
	if t.decl.MaxAge > 0 && now.Sub(x.at) > t.decl.MaxAge {
		x.n = 0
	}
	x.n, x.at = sum(x.n, n), now
	t.order.MoveToBack(e)
}

// sum stays at the ends instead of going over them.
func sum(a, b int64) int64 {
	switch c := a + b; {
	case b > 0 && c < a:
		return math.MaxInt64
	case b < 0 && c > a:
		return math.MinInt64
	default:
		return c
	}
}

// change is what a run wants to do to the state.
type change struct {
	state  int
	key    string
	n      int64
	forget bool
}

// view is the state as one run sees it: with its own changes, which nobody else
// sees before it has ended well. It is a hook.Store.
type view struct {
	kept    *kept
	decls   []hook.State
	now     time.Time
	changes []change
}

func (v *view) table(state int) *table { return v.kept.states[v.decls[state].Name] }

// Value is an entry's with what this run has done to it.
func (v *view) Value(state int, key string) int64 {
	v.kept.mu.Lock()
	n := v.table(state).get(key, v.now)
	v.kept.mu.Unlock()
	for _, c := range v.changes {
		switch {
		case c.state != state || c.key != key:
		case c.forget:
			n = 0
		default:
			n = sum(n, c.n)
		}
	}
	return n
}

// Add notes an addition and gives what there would be.
func (v *view) Add(state int, key string, n int64) int64 {
	v.changes = append(v.changes, change{state: state, key: key, n: n})
	return v.Value(state, key)
}

// Forget notes that an entry is to go.
func (v *view) Forget(state int, key string) {
	v.changes = append(v.changes, change{state: state, key: key, forget: true})
}

// commit carries the changes out, all at one instant.
func (v *view) commit() {
	if len(v.changes) == 0 {
		return
	}
	v.kept.mu.Lock()
	defer v.kept.mu.Unlock()
	for _, c := range v.changes {
		t := v.table(c.state)
		if !c.forget {
			t.add(c.key, c.n, v.now)
		} else if e := t.byKey[c.key]; e != nil {
			delete(t.byKey, c.key)
			t.order.Remove(e)
		}
	}
}
