package hook

import "time"

// State is a declared state: numbers that are kept from one run to the next.
type State struct {
	Name       string
	MaxEntries int           // entries of a map; 0: it is a counter
	MaxAge     time.Duration // after which an entry is dropped that nothing was added to
}

// isMap reports whether a state is a map, and not a counter.
func (s *State) isMap() bool { return s.MaxEntries > 0 }

// Bounds of a program's state. Together they keep a map to some 3 MB.
const (
	MaxStates   = 16
	MaxEntries  = 10_000
	MaxEntryAge = 30 * 24 * time.Hour
	MaxKeyBytes = 128 // bytes
)

// Store gives a run access to the program's declared state, by the number of the State in
// Program.States. The key is "" for a counter. A run that fails has called it nevertheless: the
// caller of Machine.Run keeps the changes only if there was no error.
type Store interface {
	// Value returns an entry, 0 if there is none.
	Value(state int, key string) int64
	// Add adds to an entry and returns the sum.
	Add(state int, key string, n int64) int64
	// Forget deletes an entry.
	Forget(state int, key string)
}
