package hook

import "errors"

// maxDepth is how deep calls may nest, the hook included.
const maxDepth = 64

// initialStack is the least capacity of the stack, in values.
const initialStack = 32

// frame is a call in progress.
type frame struct {
	code *bytecode
	base int // index of the first variable on the stack
	next int // index of the next instruction
}

// Machine is the virtual machine. It runs one program at a time; the zero value is ready. Its stack,
// frames and effects are used again by the next run, so that a typical run allocates nothing.
type Machine struct {
	stack   []value
	frames  []frame
	effects []Effect
	fuel    int64 // left
	memory  int64 // left, in bytes

	// Of the run in progress.
	program *Program
	event   *Event
	store   Store
}

// Result is the outcome of a run.
type Result struct {
	Effects []Effect // of a successful run, in their order; valid until the machine runs again
	Fuel    int64    // spent
	Memory  int64    // spent, in bytes
}

// Run runs a program's hook for the event's kind; without such a hook it does nothing. The store may
// be nil if the program declares no state. An error is a *RuntimeError; the Result then has no effects,
// but the fuel and memory that were spent.
func (m *Machine) Run(p *Program, event *Event, store Store, limits Limits) (Result, error) {
	number, ok := p.hooks[event.Kind]
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
	err := m.runHook(number)
	result := Result{
		Fuel:   limits.Fuel - max(0, m.fuel),
		Memory: limits.Memory - max(0, m.memory),
	}
	if err != nil {
		err = m.failure(err)
	} else {
		result.Effects = m.effects
	}
	m.release()
	return result, err
}

// failure adds the position of the instruction that failed to an error.
func (m *Machine) failure(err error) *RuntimeError {
	current := &m.frames[len(m.frames)-1]
	failed := current.code.instructions[max(0, current.next-1)]
	return &RuntimeError{File: m.program.File, Line: int(failed.line), Function: current.code.name, Err: err}
}

// release ends the references to the program, the event and the store. What is left above the
// stack's end is overwritten by the next run.
func (m *Machine) release() {
	clear(m.stack)
	m.stack = m.stack[:0]
	m.program = nil
	m.event = nil
	m.store = nil
}

func (m *Machine) runHook(number int) error {
	if err := m.enter(number); err != nil {
		return err
	}
	err := m.loop()
	if errors.Is(err, errRefused) {
		return nil
	}
	return err
}

// enter begins a call, whose arguments are on the stack.
func (m *Machine) enter(number int) error {
	if len(m.frames) >= maxDepth {
		return ErrDepth
	}
	code := &m.program.functions[number]
	base := len(m.stack) - code.parameters
	m.growStack(base + code.slots + code.operands)
	for len(m.stack) < base+code.slots {
		m.stack = append(m.stack, value{})
	}
	m.frames = append(m.frames, frame{code: code, base: base})
	return nil
}

// growStack makes the stack's capacity at least need values.
func (m *Machine) growStack(need int) {
	if need <= cap(m.stack) {
		return
	}
	grown := make([]value, len(m.stack), max(need, 2*cap(m.stack), initialStack))
	copy(grown, m.stack)
	m.stack = grown
}

// leave ends the innermost call. The result is on top of the stack, if there is one. It reports
// whether that call was the hook.
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
