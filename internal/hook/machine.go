package hook

import "errors"

// maxCallDepth is the maximum number of nested calls, including the hook.
const maxCallDepth = 64

// minStackCapacity is the minimum capacity of an allocated stack, in values.
const minStackCapacity = 32

// frame is the stack frame of a call in progress.
type frame struct {
	code *bytecode
	base int // index of the first variable on the stack
	next int // index of the next instruction
}

// Machine is the virtual machine. It runs one program at a time; the zero value is ready to use. The
// next run reuses the stack, the frames and the effects, so that a typical run allocates no memory.
type Machine struct {
	stack   []value
	frames  []frame
	effects []Effect
	fuel    int64 // fuel left
	memory  int64 // memory left, in bytes

	// The input of the run in progress.
	program *Program
	event   *Event
	store   Store
}

// Result is the outcome of a run.
type Result struct {
	Effects []Effect // effects of a successful run, in the order of their calls; valid until the next run
	Fuel    int64    // fuel spent
	Memory  int64    // memory spent, in bytes
}

// Run runs the hook of a program for the kind of the event. If the program has no such hook, Run does
// nothing. The store may be nil if the program declares no state. An error is a *RuntimeError; the
// Result then contains the fuel and memory that were spent, but no effects.
func (m *Machine) Run(p *Program, event *Event, store Store, limits Limits) (Result, error) {
	index, ok := p.hooks[event.Kind]
	if !ok {
		return Result{}, nil
	}
	m.program = p
	m.event = event
	m.store = store
	m.fuel = limits.Fuel
	m.memory = limits.Memory
	m.effects = m.effects[:0]
	m.frames = m.frames[:0]
	err := m.runHook(index)
	result := Result{
		Fuel:   limits.Fuel - max(0, m.fuel),
		Memory: limits.Memory - max(0, m.memory),
	}
	if err != nil {
		err = m.runtimeError(err)
	} else {
		result.Effects = m.effects
	}
	m.release()
	return result, err
}

// runtimeError wraps an error in a *RuntimeError with the position of the instruction that failed.
func (m *Machine) runtimeError(err error) *RuntimeError {
	current := &m.frames[len(m.frames)-1]
	failed := current.code.instructions[max(0, current.next-1)]
	return &RuntimeError{File: m.program.File, Line: int(failed.line), Function: current.code.name, Err: err}
}

// release drops the references to the program, the event and the store. It clears the stack up to its
// end; the next run overwrites the values above the end.
func (m *Machine) release() {
	clear(m.stack)
	m.stack = m.stack[:0]
	m.program = nil
	m.event = nil
	m.store = nil
}

func (m *Machine) runHook(index int) error {
	if err := m.enter(index); err != nil {
		return err
	}
	err := m.loop()
	if errors.Is(err, errRefused) {
		return nil
	}
	return err
}

// enter begins a call of the function with an index. The arguments are on the stack.
func (m *Machine) enter(index int) error {
	if len(m.frames) >= maxCallDepth {
		return ErrDepth
	}
	code := &m.program.functions[index]
	base := len(m.stack) - code.parameters
	m.growStack(base + code.slots + code.operands)
	for len(m.stack) < base+code.slots {
		m.stack = append(m.stack, value{})
	}
	m.frames = append(m.frames, frame{code: code, base: base})
	return nil
}

// growStack grows the capacity of the stack to at least need values.
func (m *Machine) growStack(need int) {
	if need <= cap(m.stack) {
		return
	}
	grown := make([]value, len(m.stack), max(need, 2*cap(m.stack), minStackCapacity))
	copy(grown, m.stack)
	m.stack = grown
}

// leave ends the innermost call. If the call has a result, the result is on top of the stack. leave
// reports whether this was the call of the hook.
func (m *Machine) leave(hasResult bool) (isHook bool) {
	innermost := len(m.frames) - 1
	base := m.frames[innermost].base
	m.frames = m.frames[:innermost]
	if hasResult {
		m.stack[base] = m.stack[len(m.stack)-1]
		base++
	}
	m.stack = m.stack[:base]
	return innermost == 0
}
