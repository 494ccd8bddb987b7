package plugin

import (
	"container/list"
	"math"
	"strings"
	"sync"
	"time"

	"mothridge/internal/hook"
)

// entryOverheadBytes is the memory of an entry of a map in addition to the bytes of its key: the entry, its list
// element, its slot in the index with the free slots beside it, and the rounding of the sizes.
const entryOverheadBytes = 192

// sharedState is the declared state of a plug-in, which is shared by all its runs. It outlives a reload: the
// plug-in with the same name goes on with it, and runs of the replaced program may still use it.
type sharedState struct {
	mu       sync.Mutex           // guards the other fields
	tables   map[tableName]*table // tables that the latest program declares
	bytes    int64                // memory of the entries of all maps
	maxBytes int64                // bound of bytes; 0: unlimited
	evicted  uint64               // entries removed to keep the bound
}

// tableName identifies a table. A counter and a map with the same name are different tables.
type tableName struct {
	name  string
	isMap bool
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

// bytes returns the memory of an entry of a map.
func (e *entry) bytes() int64 { return int64(len(e.key)) + entryOverheadBytes }

// newSharedState returns an empty state without tables.
func newSharedState() *sharedState { return &sharedState{tables: make(map[tableName]*table)} }

// declare sets the tables to those of a program and the bound of the memory of all maps in bytes, 0 for no
// bound. A table that was declared before keeps its entries, as far as the new bounds allow.
func (s *sharedState) declare(declarations []hook.State, maxBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.tables
	s.tables = make(map[tableName]*table, len(declarations))
	s.bytes, s.maxBytes = 0, maxBytes
	for _, declaration := range declarations {
		name := nameOf(declaration)
		t := old[name]
		if t == nil {
			t = newTable()
		}
		t.declaration = declaration
		s.tables[name] = t
		s.bytes += t.bytes()
	}
	for _, t := range s.tables {
		s.evictSurplus(t)
	}
	s.evictOverBound(time.Time{})
}

// nameOf returns the name of the table of a declaration.
func nameOf(declaration hook.State) tableName {
	return tableName{name: declaration.Name, isMap: declaration.MaxEntries > 0}
}

// value returns the sum of the entry with the key, or 0 if there is none or it has expired. It returns 0 if the
// table is no longer declared.
func (s *sharedState) value(name tableName, key string, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tables[name]; t != nil {
		return t.value(key, now)
	}
	return 0
}

// addLocked adds n to the entry with the key. It has no effect if the table is no longer declared. The caller
// holds mu.
func (s *sharedState) addLocked(name tableName, key string, n int64, now time.Time) {
	t := s.tables[name]
	if t == nil {
		return
	}
	if added := t.add(key, n, now); added != nil && t.isMap() {
		s.bytes += added.bytes()
		s.evictSurplus(t)
		s.evictOverBound(now)
	}
}

// removeLocked removes the entry with the key, if there is one. The caller holds mu.
func (s *sharedState) removeLocked(name tableName, key string) {
	t := s.tables[name]
	if t == nil {
		return
	}
	if element := t.byKey[key]; element != nil {
		s.remove(t, element)
	}
}

// evictSurplus removes the least recently updated entries of a table until it is within its declared size.
func (s *sharedState) evictSurplus(t *table) {
	for t.order.Len() > max(1, t.declaration.MaxEntries) {
		s.remove(t, t.order.Front())
	}
}

// evictOverBound removes entries of maps until all maps together are within maxBytes: expired entries first,
// then the least recently updated ones.
func (s *sharedState) evictOverBound(now time.Time) {
	for s.maxBytes > 0 && s.bytes > s.maxBytes {
		t := s.oldestMap(now)
		s.remove(t, t.order.Front())
		s.evicted++
	}
}

// oldestMap returns the map whose first entry is to be evicted next. At least one map must have an entry.
func (s *sharedState) oldestMap(now time.Time) (oldest *table) {
	for _, t := range s.tables {
		if !t.isMap() || t.order.Len() == 0 {
			continue
		}
		if t.isExpired(t.first(), now) {
			return t
		}
		if oldest == nil || t.first().addedAt.Before(oldest.first().addedAt) {
			oldest = t
		}
	}
	return oldest
}

// remove removes an entry by its list element.
func (s *sharedState) remove(t *table, element *list.Element) {
	e := element.Value.(*entry)
	delete(t.byKey, e.key)
	t.order.Remove(element)
	if t.isMap() {
		s.bytes -= e.bytes()
	}
}

// usage returns the memory of the entries of all maps in bytes, and how many entries were removed to keep
// within the bound.
func (s *sharedState) usage() (bytes int64, evicted uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.evicted
}

// newTable returns an empty table without a declaration.
func newTable() *table {
	return &table{byKey: make(map[string]*list.Element), order: list.New()}
}

func (t *table) isMap() bool { return t.declaration.MaxEntries > 0 }

// first returns the least recently updated entry. The table must have an entry.
func (t *table) first() *entry { return t.order.Front().Value.(*entry) }

// bytes returns the memory of the table's entries if the table is a map.
func (t *table) bytes() (sum int64) {
	if !t.isMap() {
		return 0
	}
	for element := t.order.Front(); element != nil; element = element.Next() {
		sum += element.Value.(*entry).bytes()
	}
	return sum
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

// add adds n to the entry with the key. An entry that does not exist or has expired starts at 0. It returns the
// entry if it did not exist.
func (t *table) add(key string, n int64, now time.Time) (added *entry) {
	element := t.byKey[key]
	if element == nil {
		key = strings.Clone(key) // the key may be a part of a much longer text, which must not be kept
		added = &entry{key: key, sum: n, addedAt: now}
		t.byKey[key] = t.order.PushBack(added)
		return added
	}
	e := element.Value.(*entry)
	if t.isExpired(e, now) {
		e.sum = 0
	}
	e.sum = saturatingAdd(e.sum, n)
	e.addedAt = now
	t.order.MoveToBack(element)
	return nil
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
