package plugin

import (
	"container/list"
	"math"
	"sync"
	"time"

	"mothridge/internal/hook"
)

// sharedState is the declared state of a plug-in, which is shared by all its runs. After a reload, the
// plug-in with the same name starts with a copy.
type sharedState struct {
	mu     sync.Mutex        // guards the entries of the tables
	tables map[string]*table // by the name of the declaration
}

// table holds the entries of one declared state, which is either a counter with a single entry whose key
// is empty, or a map. If a map is full, it evicts the least recently updated entry.
type table struct {
	declaration hook.State
	byKey       map[string]*list.Element
	order       *list.List // of *entry, least recently updated first
}

// entry is an entry of a table.
type entry struct {
	key     string
	sum     int64
	addedAt time.Time // time of the last addition
}

// newSharedState returns the state of a program. For each declaration, the entries of the old state's
// table with the same name are copied if both are counters or both are maps. old may be nil.
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

// newTable returns an empty table.
func newTable(declaration hook.State) *table {
	return &table{declaration: declaration, byKey: make(map[string]*list.Element), order: list.New()}
}

func (t *table) isMap() bool { return t.declaration.MaxEntries > 0 }

// copyFrom copies the entries of old, unless old is nil or of another kind. The entries must be copied
// because runs of the old program may still change old.
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

// evict removes the least recently updated entries until the table is within its declared size.
func (t *table) evict() {
	for t.order.Len() > max(1, t.declaration.MaxEntries) {
		t.remove(t.order.Front())
	}
}

// remove removes an entry by its list element.
func (t *table) remove(element *list.Element) {
	delete(t.byKey, element.Value.(*entry).key)
	t.order.Remove(element)
}

// isExpired reports whether the last addition to an entry is older than the declared maximum age.
func (t *table) isExpired(e *entry, now time.Time) bool {
	return t.declaration.MaxAge > 0 && now.Sub(e.addedAt) > t.declaration.MaxAge
}

// value returns the sum of the entry with the key, or 0 if there is none or it has expired.
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

// add adds n to the entry with the key. An entry that does not exist or has expired starts at 0.
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

// removeKey removes the entry with the key, if there is one.
func (t *table) removeKey(key string) {
	if element := t.byKey[key]; element != nil {
		t.remove(element)
	}
}

// saturatingAdd returns a + b, or the nearest int64 if the sum overflows.
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
