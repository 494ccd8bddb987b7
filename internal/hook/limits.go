package hook

import (
	"errors"
	"fmt"
)

// Limits bound one run. The order in which fuel and memory are spent depends only on the program and
// its input, so that a run that exceeds a limit ends at the same instruction on every machine.
type Limits struct {
	Fuel   int64 // an instruction costs 1; work that grows with a size costs 1 more for each 8 bytes
	Memory int64 // bytes of texts, lists and maps that a run creates; no memory is released during a run
}

// The default limits.
const (
	DefaultFuel   = 10_000
	DefaultMemory = 64 << 10
)

// The sizes of values as they are counted against the memory limit, in bytes.
const (
	valueSize    = 40 // size of an entry of a list, and of the list itself
	entrySize    = 96 // size of an entry of a map or a change of the state, both without the key, and of the map itself
	textOverhead = 16 // size of a text in addition to its bytes
)

// bytesPerFuel is the work, in bytes, that one unit of fuel pays for.
const bytesPerFuel = 8

// wordSize is the work of comparing or moving a number, in bytes.
const wordSize = 8

// The costs of work that does not depend on a size, in fuel.
const (
	headerFuel   = 64/bytesPerFuel + 1  // reading a header of a request
	calendarFuel = 160/bytesPerFuel + 1 // calculating with a date in a time zone
)

// stateAccessBytes is the work of an access to the state, in bytes, without the work for its key.
const stateAccessBytes = 80

// The reasons why a run can fail.
var (
	ErrFuel    = errors.New("out of fuel")
	ErrMemory  = errors.New("out of memory")
	ErrDepth   = errors.New("calls nested too deep")
	ErrEffects = errors.New("too many effects")
	ErrValue   = errors.New("a value that cannot be") // for example a division by zero or an index out of range
)

// RuntimeError is the error of a failed run. errors.Is finds the reason, which is one of the errors above.
type RuntimeError struct {
	File     string
	Line     int
	Function string // the function in which the run failed
	Err      error
}

// Error returns the position, the function and the reason.
func (e *RuntimeError) Error() string {
	return fmt.Sprintf("%s:%d: in %s: %v", e.File, e.Line, e.Function, e.Err)
}

// Unwrap returns the reason.
func (e *RuntimeError) Unwrap() error { return e.Err }

// valueError returns an error that wraps ErrValue.
func valueError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrValue, fmt.Sprintf(format, args...))
}

// sizeCost returns the fuel for work on size bytes: 1, and 1 more for each bytesPerFuel bytes.
func sizeCost(size int) int64 { return int64(size)/bytesPerFuel + 1 }

// textSize returns the size of a text as counted against the memory limit, in bytes.
func textSize(text string) int { return textOverhead + len(text) }

// listSize returns the size of a list as counted against the memory limit, in bytes.
func listSize(length int) int { return valueSize * (length + 1) }

// spend spends fuel. It returns false if there is too little left.
func (m *Machine) spend(fuel int64) bool {
	m.fuel -= fuel
	return m.fuel >= 0
}

// allocate counts size bytes against the memory limit and spends the fuel for creating them. Where the
// size is known beforehand, allocate is called before the bytes are allocated.
func (m *Machine) allocate(size int) error {
	m.memory -= int64(size)
	if m.memory < 0 {
		return ErrMemory
	}
	if !m.spend(sizeCost(size)) {
		return ErrFuel
	}
	return nil
}
