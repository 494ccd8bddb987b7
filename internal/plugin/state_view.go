package plugin

import (
	"time"

	"mothridge/internal/hook"
)

// change is a pending change of one entry of the state.
type change struct {
	state     int // index of the declaration
	key       string
	n         int64 // the number to add, unless isRemoval is set
	isRemoval bool  // whether the entry is removed
}

// stateView is the hook.Store of one run: the shared state combined with the run's pending changes. Other
// runs see the changes after commit.
type stateView struct {
	shared       *sharedState
	declarations []hook.State
	now          time.Time
	changes      []change
}

// reset prepares the view for a new run, without pending changes.
func (v *stateView) reset(shared *sharedState, declarations []hook.State, now time.Time) {
	v.shared = shared
	v.declarations = declarations
	v.now = now
	v.changes = v.changes[:0]
}

// table returns the name of the shared table of a declaration.
func (v *stateView) table(state int) tableName { return nameOf(v.declarations[state]) }

// Value returns the sum of an entry, including the run's pending changes.
func (v *stateView) Value(state int, key string) int64 {
	n := v.shared.value(v.table(state), key, v.now)
	for _, c := range v.changes {
		switch {
		case c.state != state || c.key != key:
		case c.isRemoval:
			n = 0
		default:
			n = saturatingAdd(n, c.n)
		}
	}
	return n
}

// Add records the addition of n to an entry and returns the new sum, as Value does.
func (v *stateView) Add(state int, key string, n int64) int64 {
	v.changes = append(v.changes, change{state: state, key: key, n: n})
	return v.Value(state, key)
}

// Forget records the removal of an entry.
func (v *stateView) Forget(state int, key string) {
	v.changes = append(v.changes, change{state: state, key: key, isRemoval: true})
}

// commit applies all pending changes to the shared state atomically. It returns how many entries were removed to
// keep within the memory limit.
func (v *stateView) commit() (evicted uint64) {
	if len(v.changes) == 0 {
		return 0
	}
	v.shared.mu.Lock()
	defer v.shared.mu.Unlock()
	before := v.shared.evicted
	for _, c := range v.changes {
		if c.isRemoval {
			v.shared.removeLocked(v.table(c.state), c.key)
		} else {
			v.shared.addLocked(v.table(c.state), c.key, c.n, v.now)
		}
	}
	return v.shared.evicted - before
}
