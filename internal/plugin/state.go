package plugin

import (
	"container/list"
	"math"
	"sync"
	"time"

	"mothridge/internal/hook"
)

// sharedState is the declared state of a plug-in, which all its runs share. After a reload the
// plug-in of the same name continues with a copy.
type sharedState struct {
	mu     sync.Mutex
	tables map[string]*table // by the state's name
}

// table holds a declared state: a counter, which has one entry without a key, or a map. A map that
// is full evicts the entry that was added to least recently.
type table struct {
	declaration hook.State
	byKey       map[string]*list.Element
	order       *list.List // of *entry; the least recently added to is first
}

type entry struct {
	key     string
	sum     int64
	addedAt time.Time // last
}

// newSharedState returns the state of a program. A table that the old state has under the same name,
// and which is of the same kind, is copied.
func newSharedState(declarations []hook.State, old *sharedState) *sharedState {
	s := &sharedState{tables: make(map[string]*table)}
	if old != nil {
		old.mu.Lock()
		defer old.mu.Unlock()
	}
	for _, declaration := range declarations {
		t := newTable(declaration)
		if old != nil {
			t.copyFrom(old.tables[declaration.Name])
		}
		s.tables[declaration.Name] = t
	}
	return s
}

func newTable(declaration hook.State) *table {
	return &table{declaration: declaration, byKey: make(map[string]*list.Element), order: list.New()}
}

func (t *table) isMap() bool { return t.declaration.MaxEntries > 0 }

// copyFrom copies the entries of a table of the same kind. Runs of the old program may still change
// that table.
func (t *table) copyFrom(old *table) {
	if old == nil || old.isMap() != t.isMap() {
		return
	}
	for element := old.order.Front(); element != nil; element = element.Next() {
		copied := *element.Value.(*entry)
		t.byKey[copied.key] = t.order.PushBack(&copied)
	}
	t.evict()
}

// evict removes the first entries until the bound is kept.
func (t *table) evict() {
	for t.order.Len() > max(1, t.declaration.MaxEntries) {
		t.remove(t.order.Front())
	}
}

func (t *table) remove(element *list.Element) {
	delete(t.byKey, element.Value.(*entry).key)
	t.order.Remove(element)
}

// isExpired reports whether nothing was added to an entry for longer than the declared age.
func (t *table) isExpired(e *entry, now time.Time) bool {
	return t.declaration.MaxAge > 0 && now.Sub(e.addedAt) > t.declaration.MaxAge
}

// value returns an entry's sum, 0 if there is none or it is expired.
func (t *table) value(key string, now time.Time) int64 {
	element := t.byKey[key]
	if element == nil {
		return 0
	}
	e := element.Value.(*entry)
	if t.isExpired(e, now) {
		return 0
	}
	return e.sum
}

// add adds to an entry; one that does not exist or is expired begins with 0.
func (t *table) add(key string, n int64, now time.Time) {
	element := t.byKey[key]
	if element == nil {
		t.byKey[key] = t.order.PushBack(&entry{key: key, sum: n, addedAt: now})
		t.evict()
		return
	}
	e := element.Value.(*entry)
	if t.isExpired(e, now) {
		e.sum = 0
	}
	e.sum = saturatingAdd(e.sum, n)
	e.addedAt = now
	t.order.MoveToBack(element)
}

// forget removes an entry, if there is one.
func (t *table) forget(key string) {
	if element := t.byKey[key]; element != nil {
		t.remove(element)
	}
}

// saturatingAdd returns the sum, or the nearest int64 if it overflows.
func saturatingAdd(a, b int64) int64 {
	switch sum := a + b; {
	case b > 0 && sum < a:
		return math.MaxInt64
	case b < 0 && sum > a:
		return math.MinInt64
	default:
		return sum
	}
}
