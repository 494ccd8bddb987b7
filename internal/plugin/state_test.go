package plugin

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mothridge/internal/hook"
)

// add adds 1 to an entry of a state as a run of its own.
func (s *sharedState) add(name tableName, key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(name, key, 1, now)
}

// The maps of a plug-in share a bound of their memory. At the bound, expired entries go first, then the ones that
// were updated least recently, in whichever map they are. Counters stay.
func TestStateKeepsWithinItsMemory(t *testing.T) {
	const keyBytes = 8
	const fitting = 10
	long, short := hook.State{Name: "long", MaxEntries: 1000}, hook.State{Name: "short", MaxEntries: 1000, MaxAge: time.Minute}
	counter := hook.State{Name: "n"}
	state := newSharedState()
	declarations := []hook.State{long, short, counter}
	state.declare(declarations, fitting*(keyBytes+entryOverheadBytes))
	now := time.Unix(1000, 0)
	key := func(i int) string { return fmt.Sprintf("%0*d", keyBytes, i) }
	has := func(d hook.State, i int) bool { return state.value(nameOf(d), key(i), now) != 0 }

	state.add(nameOf(counter), "", now)
	for i := range fitting {
		state.add(nameOf([]hook.State{long, short}[i%2]), key(i), now)
		now = now.Add(time.Second)
	}
	if _, evicted := state.usage(); evicted != 0 {
		t.Errorf("got %d entries evicted below the bound, want 0", evicted)
	}
	state.add(nameOf(long), key(0), now) // an update of the oldest entry
	state.add(nameOf(long), key(fitting), now)
	if !has(long, 0) || has(short, 1) || !has(long, 2) {
		t.Error("want the least recently updated entry evicted, and no other")
	}
	now = now.Add(2 * time.Minute) // the entries of the map short expire, but are younger than key 2
	state.add(nameOf(short), key(3), now)
	for i := range 3 {
		state.add(nameOf(long), key(100+i), now)
	}
	if !has(long, 2) || !has(long, 4) {
		t.Error("want expired entries evicted before the others")
	}
	for i := range 10 * fitting {
		state.add(nameOf(short), key(200+i), now)
	}
	bytes, _ := state.usage()
	if want := int64(fitting * (keyBytes + entryOverheadBytes)); bytes != want {
		t.Errorf("got %d bytes, want the bound of %d", bytes, want)
	}
	if n := state.value(nameOf(counter), "", now); n != 1 {
		t.Errorf("got %d for the counter, want 1", n)
	}
	state.declare(declarations[:2], 3*(keyBytes+entryOverheadBytes))
	if bytes, _ := state.usage(); bytes != 3*(keyBytes+entryOverheadBytes) {
		t.Errorf("got %d bytes after a reload with a smaller bound, want the bound", bytes)
	}
}

// The bound of the memory of all plug-ins is divided among those that have maps, and holds after a reload. Runs of
// the replaced programs go on with the same state, which would otherwise be in memory twice.
func TestStateMemoryIsShared(t *testing.T) {
	files := writePrograms(t,
		`state seen: map 10000 7d on request { add(seen, event.id, 1) }`,
		`state seen: map 9000 7d on request { add(seen, event.id, 1) }`,
		`state n: counter on request { add(n, 1) }`)
	const bound = 8000
	g, err := NewGate(Config{StateBytes: bound, Specs: []Spec{{Name: "p", File: files[0]}, {Name: "q", File: files[0]}, {Name: "r", File: files[2]}}})
	if err != nil {
		t.Fatal(err)
	}
	before := g.plugins.Load().find("p")
	for i := range 100 {
		before.state.add(tableName{"seen", true}, fmt.Sprint("key-", i), time.Unix(int64(i), 0))
	}
	if status := g.Plugins()[0]; status.StateBytes > bound/2 || status.StateEvicted == 0 {
		t.Errorf("got status %+v, want at most half of the bound and some entries evicted", status)
	}
	if err := g.Load([]Spec{{Name: "p", File: files[1]}}); err != nil {
		t.Fatal(err)
	}
	after := g.plugins.Load().find("p")
	before.state.add(tableName{"seen", true}, "late", time.Unix(1000, 0))
	if after.state.value(tableName{"seen", true}, "late", time.Unix(1000, 0)) != 1 {
		t.Error("got no entry of a run that began before the reload, want one")
	}
	if after.state.maxBytes != bound {
		t.Errorf("got a bound of %d bytes for the only plug-in, want %d", after.state.maxBytes, bound)
	}
}

// A key can be a part of a long text. Keeping the key must not keep the text.
func TestStateKeepsNoLongTexts(t *testing.T) {
	state := newSharedState()
	seen := hook.State{Name: "seen", MaxEntries: 1000}
	state.declare([]hook.State{seen}, 0)
	const texts, textBytes = 100, 1 << 20
	for i := range texts {
		text := strings.Repeat(fmt.Sprintf("%07d ", i), textBytes/8)
		state.add(nameOf(seen), text[:7], time.Unix(int64(i), 0))
	}
	if got := liveBytes(); got > texts*textBytes/2 {
		t.Errorf("got %d bytes in use for %d short keys, want far less than the %d bytes of their texts", got, texts, texts*textBytes)
	}
	if state.value(nameOf(seen), "0000007", time.Unix(0, 0)) != 1 {
		t.Error("got no entry, want one")
	}
}

// liveBytes returns the memory of the heap that is in use after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
