package hook

import "time"

// State is a state that a program declares: a counter, or a map of numbers, that is kept between runs.
type State struct {
	Name       string
	MaxEntries int           // maximum number of entries of a map; 0: the state is a counter
	MaxAge     time.Duration // an entry of a map expires if no number is added to it for this long
}

// isMap reports whether a state is a map. Otherwise it is a counter.
func (s *State) isMap() bool { return s.MaxEntries > 0 }

// The bounds of the state of a program. They limit the size of a map to about 3 MB. The caller of Machine.Run may
// bound the memory of all maps further.
const (
	MaxStates   = 16
	MaxEntries  = 10_000
	MaxEntryAge = 30 * 24 * time.Hour
	MaxKeyBytes = 128 // length of a key, in bytes
)

// Store gives a run access to the declared state of the program. state is the index of the State in
// Program.States; key is "" for a counter. A run that fails may have called the Store before it failed, so
// the caller of Machine.Run must keep the changes only if Run returns no error.
type Store interface {
	// Value returns the number of an entry, 0 if the entry does not exist.
	Value(state int, key string) int64
	// Add adds n to an entry and returns the sum.
	Add(state int, key string, n int64) int64
	// Forget deletes an entry.
	Forget(state int, key string)
}
