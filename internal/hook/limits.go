package hook

import (
	"errors"
	"fmt"
)

// Limits bound one run. Fuel and memory are spent in an order that the program and its input alone
// decide, so that a run ends at the same place on every machine.
type Limits struct {
	Fuel   int64 // an instruction takes 1; work that grows with a size takes 1 more for each 8 bytes
	Memory int64 // bytes of texts, lists and maps that were made; none is given back during a run
}

// The defaults of Limits.
const (
	DefaultFuel   = 10_000
	DefaultMemory = 64 << 10
)

// What values take of a run's memory, in bytes.
const (
	valueSize    = 40 // an entry of a list, and the list itself
	entrySize    = 96 // an entry of a map beside its key, the map itself, and a change of the state
	textOverhead = 16 // a text beside its bytes
)

// bytesPerFuel is the work that one unit of fuel pays for.
const bytesPerFuel = 8

// wordSize is the work of comparing or moving a number, in bytes.
const wordSize = 8

// What work that does not depend on a size costs, in fuel.
const (
	headerFuel   = 64/bytesPerFuel + 1  // a request's header
	calendarFuel = 160/bytesPerFuel + 1 // a date in a time zone
)

// stateSize is the work of an access to the state beside its key, in bytes.
const stateSize = 80

// Why a run failed.
var (
	ErrFuel    = errors.New("out of fuel")
	ErrMemory  = errors.New("out of memory")
	ErrDepth   = errors.New("calls nested too deep")
	ErrEffects = errors.New("too many effects")
	ErrValue   = errors.New("a value that cannot be") // such as a division by zero, or an index out of range
)

// RuntimeError is the error of a run: errors.Is finds its reason, one of the errors above.
type RuntimeError struct {
	File     string
	Line     int
	Function string // in which it failed
	Err      error
}

// Error returns position, function and reason.
func (e *RuntimeError) Error() string {
	return fmt.Sprintf("%s:%d: in %s: %v", e.File, e.Line, e.Function, e.Err)
}

// Unwrap returns the reason.
func (e *RuntimeError) Unwrap() error { return e.Err }

// valueError returns an error that is ErrValue.
func valueError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrValue, fmt.Sprintf(format, args...))
}

// sizeCost returns the fuel for work on so many bytes.
func sizeCost(size int) int64 { return int64(size)/bytesPerFuel + 1 }

// textSize returns the memory of a text, in bytes.
func textSize(text string) int { return textOverhead + len(text) }

// listSize returns the memory of a list, in bytes.
func listSize(length int) int { return valueSize * (length + 1) }

// spend takes fuel. It reports false if there was too little.
func (m *Machine) spend(fuel int64) bool {
	m.fuel -= fuel
	return m.fuel >= 0
}

// allocate takes memory, and fuel for making so many bytes. It is called before they are made,
// where their number is known.
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
