package plugin

import (
	"time"

	"mothridge/internal/hook"
)

// change is a change of the state that a run requests.
type change struct {
	state    int
	key      string
	n        int64 // to add
	isForget bool
}

// stateView is a hook.Store: the shared state as one run sees it, with the run's own changes. Other
// runs see these after commit.
type stateView struct {
	shared       *sharedState
	declarations []hook.State
	now          time.Time
	changes      []change
}

// reset begins a run without changes.
func (v *stateView) reset(shared *sharedState, declarations []hook.State, now time.Time) {
	v.shared = shared
	v.declarations = declarations
	v.now = now
	v.changes = v.changes[:0]
}

func (v *stateView) table(state int) *table { return v.shared.tables[v.declarations[state].Name] }

// Value returns an entry's value with the run's own changes.
func (v *stateView) Value(state int, key string) int64 {
	n := v.sharedValue(state, key)
	for _, c := range v.changes {
		switch {
		case c.state != state || c.key != key:
		case c.isForget:
			n = 0
		default:
			n = saturatingAdd(n, c.n)
		}
	}
	return n
}

func (v *stateView) sharedValue(state int, key string) int64 {
	v.shared.mu.Lock()
	defer v.shared.mu.Unlock()
	return v.table(state).value(key, v.now)
}

// Add records an addition and returns the sum.
func (v *stateView) Add(state int, key string, n int64) int64 {
	v.changes = append(v.changes, change{state: state, key: key, n: n})
	return v.Value(state, key)
}

// Forget records that an entry is deleted.
func (v *stateView) Forget(state int, key string) {
	v.changes = append(v.changes, change{state: state, key: key, isForget: true})
}

// commit carries out the changes, all at one instant.
func (v *stateView) commit() {
	if len(v.changes) == 0 {
		return
	}
	v.shared.mu.Lock()
	defer v.shared.mu.Unlock()
	for _, c := range v.changes {
		if c.isForget {
			v.table(c.state).forget(c.key)
		} else {
			v.table(c.state).add(c.key, c.n, v.now)
		}
	}
}
