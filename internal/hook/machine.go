package hook

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

type zone struct{ *time.Location }

// Limits bound one run. They are spent in an order that the program and its
// input alone decide, so that a run ends at the same place on every machine.
type Limits struct {
	Fuel   int64 // instructions, and more for work that grows with a size
	Memory int64 // bytes of texts, lists and maps that were made; nothing is given back
}

// The defaults of Limits.
const (
	DefaultFuel   = 10_000
	DefaultMemory = 64 << 10
)

// The bounds that no manifest changes.
const (
	maxDepth   = 64 // calls
	maxEffects = 64
)

// What a value, an entry of a map and a text cost in memory beside their bytes.
const (
	valueSize = 40
	entrySize = 96
	textSize  = 16
)

// Why a run failed.
var (
	ErrFuel    = errors.New("out of fuel")
	ErrMemory  = errors.New("out of memory")
	ErrDepth   = errors.New("calls nested too deep")
	ErrEffects = errors.New("too many effects")
	ErrValue   = errors.New("a value that cannot be") // a division by zero, a place outside of a list
)

// Failure is a run that failed, and where.
type Failure struct {
	File string
	Line int
	In   string // the function
	Err  error
}

func (f *Failure) Error() string { return fmt.Sprintf("%s:%d: in %s: %v", f.File, f.Line, f.In, f.Err) }

func (f *Failure) Unwrap() error { return f.Err }

// Store is a program's declared state, as a run sees it. Adding tells the sum
// that would be; nothing is kept before the run has ended well, which is the
// caller's to see to.
type Store interface {
	Value(state int, key string) int64
	Add(state int, key string, n int64) int64
	Forget(state int, key string)
}

// frame is a call that is under way.
type frame struct {
	code *code
	base int
	next int
}

// Machine runs programs, one run at a time. What it needs is used again.
type Machine struct {
	stack   []value
	frames  []frame
	effects []Effect
	fuel    int64
	memory  int64
	event   *Event
	store   Store
	program *Program
}

// Result is what a run that ended well asks for, and what any run has spent.
type Result struct {
	Effects []Effect // valid until the machine runs again
	Fuel    int64
	Memory  int64
}

// Run runs a program's hook for an event. An error is a *Failure; the effects of
// a run that failed are none.
func (m *Machine) Run(p *Program, e *Event, s Store, l Limits) (Result, error) {
	number, ok := p.hooks[e.Kind]
	if !ok {
		return Result{}, nil
	}
	m.program, m.event, m.store, m.fuel, m.memory = p, e, s, l.Fuel, l.Memory
	m.effects, m.frames = m.effects[:0], m.frames[:0]
	err := m.run(number)
	r := Result{Fuel: l.Fuel - max(0, m.fuel), Memory: l.Memory - max(0, m.memory)}
	if err != nil {
		f := &m.frames[len(m.frames)-1]
		err = &Failure{p.File, int(f.code.instrs[max(0, f.next-1)].line), f.code.name, err}
	} else {
		r.Effects = m.effects
	}
	clear(m.stack) // nothing of this event is held on to
	m.stack, m.event, m.store, m.program = m.stack[:0], nil, nil, nil
	return r, err
}

// errRefused ends a run that has refused its request: well.
var errRefused = errors.New("refused")

func (m *Machine) run(number int) error {
	if err := m.enter(number); err != nil {
		return err
	}
	err := m.loop()
	if err == errRefused {
		return nil
	}
	return err
}

// enter begins a call, whose arguments are on the stack.
func (m *Machine) enter(number int) error {
	if len(m.frames) >= maxDepth {
		return ErrDepth
	}
	c := &m.program.codes[number]
	base := len(m.stack) - c.params
	need := base + c.slots + c.most
	if need > cap(m.stack) {
		grown := make([]value, len(m.stack), max(need, 2*cap(m.stack), 32))
		copy(grown, m.stack)
		m.stack = grown
	}
	for len(m.stack) < base+c.slots {
		m.stack = append(m.stack, value{})
	}
	m.frames = append(m.frames, frame{c, base, 0})
	return nil
}

// spend takes fuel for work of so many bytes or entries.
func (m *Machine) spend(size int) bool {
	m.fuel -= int64(size)/8 + 1
	return m.fuel >= 0
}

// hold takes memory, and fuel as that grows.
func (m *Machine) hold(size int) error {
	if m.memory -= int64(size); m.memory < 0 {
		return ErrMemory
	}
	if !m.spend(size) {
		return ErrFuel
	}
	return nil
}

func flag(b bool) value {
	if b {
		return value{n: 1}
	}
	return value{}
}

func compared(which int32, c int) bool {
	switch which {
	case 0:
		return c == 0
	case 1:
		return c != 0
	case 2:
		return c < 0
	case 3:
		return c <= 0
	case 4:
		return c > 0
	}
	return c >= 0
}

func compareInts(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// compareFloats has NaN unlike all, itself too: 2 is none of <, == and >.
func comparesFloats(which int32, a, b float64) bool {
	switch which {
	case 0:
		return a == b
	case 1:
		return a != b
	case 2:
		return a < b
	case 3:
		return a <= b
	case 4:
		return a > b
	}
	return a >= b
}

// wrong is ErrValue with what is.
func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrValue, fmt.Sprintf(format, args...))
}

// integer does arithmetic that may not go over the ends.
func integer(op opcode, a, b int64) (int64, error) {
	switch op {
	case opAddInt:
		if c := a + b; (c > a) == (b > 0) {
			return c, nil
		}
	case opSubInt:
		if c := a - b; (c < a) == (b > 0) {
			return c, nil
		}
	case opMulInt:
		if a == 0 || b == 0 {
			return 0, nil
		}
		if c := a * b; c/b == a && !(a == -1 && b == math.MinInt64) && !(b == -1 && a == math.MinInt64) {
			return c, nil
		}
	case opDivInt, opModInt:
		if b == 0 {
			return 0, wrong("a division by zero")
		}
		if op == opModInt {
			if b == -1 {
				return 0, nil
			}
			return a % b, nil
		}
		if !(b == -1 && a == math.MinInt64) {
			return a / b, nil
		}
	}
	return 0, wrong("a number too large")
}

// loop carries instructions out until the hook returns.
func (m *Machine) loop() error {
	f := &m.frames[len(m.frames)-1]
	for {
		if m.fuel--; m.fuel < 0 {
			return ErrFuel
		}
		i := &f.code.instrs[f.next]
		f.next++
		top := len(m.stack) - 1
		switch i.op {
		case opConst:
			m.stack = append(m.stack, m.program.consts[i.a])
		case opLoad:
			m.stack = append(m.stack, m.stack[f.base+int(i.a)])
		case opStore:
			m.stack[f.base+int(i.a)] = m.stack[top]
			m.stack = m.stack[:top]
		case opField:
			m.stack = append(m.stack, value{s: m.event.Text[i.a]})
		case opFieldNumber:
			m.stack = append(m.stack, value{n: m.event.Int[i.a]})
		case opPop:
			m.stack = m.stack[:top]
		case opJump:
			f.next = int(i.a)
		case opJumpIfFalse:
			if m.stack[top].n == 0 {
				f.next = int(i.a)
			}
			m.stack = m.stack[:top]
		case opJumpKeepFalse, opJumpKeepTrue:
			if (m.stack[top].n == 0) == (i.op == opJumpKeepFalse) {
				f.next = int(i.a)
			} else {
				m.stack = m.stack[:top]
			}
		case opNot:
			m.stack[top].n = 1 - m.stack[top].n
		case opNegInt:
			n, err := integer(opSubInt, 0, m.stack[top].n)
			if err != nil {
				return err
			}
			m.stack[top].n = n
		case opNegFloat:
			m.stack[top].n = floatBits(-bitsFloat(m.stack[top].n))
		case opAddInt, opSubInt, opMulInt, opDivInt, opModInt:
			n, err := integer(i.op, m.stack[top-1].n, m.stack[top].n)
			if err != nil {
				return err
			}
			m.stack[top-1].n = n
			m.stack = m.stack[:top]
		case opAddFloat, opSubFloat, opMulFloat, opDivFloat:
			m.stack[top-1].n = floatBits(floating(i.op, bitsFloat(m.stack[top-1].n), bitsFloat(m.stack[top].n)))
			m.stack = m.stack[:top]
		case opRatio:
			if m.stack[top].n == 0 {
				return wrong("a division by zero")
			}
			m.stack[top-1].n = floatBits(float64(m.stack[top-1].n) / float64(m.stack[top].n))
			m.stack = m.stack[:top]
		case opAddText:
			a, b := m.stack[top-1].s, m.stack[top].s
			if err := m.hold(len(a) + len(b) + textSize); err != nil {
				return err
			}
			m.stack[top-1].s = a + b
			m.stack = m.stack[:top]
		case opCompareInt:
			m.stack[top-1] = flag(compared(i.a, compareInts(m.stack[top-1].n, m.stack[top].n)))
			m.stack = m.stack[:top]
		case opCompareFloat:
			m.stack[top-1] = flag(comparesFloats(i.a, bitsFloat(m.stack[top-1].n), bitsFloat(m.stack[top].n)))
			m.stack = m.stack[:top]
		case opCompareText:
			a, b := m.stack[top-1].s, m.stack[top].s
			if !m.spend(min(len(a), len(b))) {
				return ErrFuel
			}
			m.stack[top-1] = flag(compared(i.a, strings.Compare(a, b)))
			m.stack = m.stack[:top]
		case opInText:
			if !m.spend(len(m.stack[top].s)) {
				return ErrFuel
			}
			m.stack[top-1] = flag(strings.Contains(m.stack[top].s, m.stack[top-1].s))
			m.stack = m.stack[:top]
		case opInMap:
			if !m.spend(len(m.stack[top-1].s)) {
				return ErrFuel
			}
			_, ok := m.stack[top].m.at[m.stack[top-1].s]
			m.stack[top-1] = flag(ok)
			m.stack = m.stack[:top]
		case opInList:
			ok, err := m.inList(m.stack[top-1], m.stack[top].list, i.a)
			if err != nil {
				return err
			}
			m.stack[top-1] = flag(ok)
			m.stack = m.stack[:top]
		case opListAt:
			l, at := m.stack[top-1].list, m.stack[top].n
			if at < 0 || at >= int64(len(l.items)) {
				return wrong("place %d of a list of %d", at, len(l.items))
			}
			m.stack[top-1] = l.items[at]
			m.stack = m.stack[:top]
		case opMapAt:
			key := m.stack[top].s
			if !m.spend(len(key)) {
				return ErrFuel
			}
			at, ok := m.stack[top-1].m.at[key]
			if !ok {
				return wrong("a map has no %.40q: get(map, key, other) gives another value then", key)
			}
			m.stack[top-1] = m.stack[top-1].m.vals[at]
			m.stack = m.stack[:top]
		case opListSet:
			l, at := m.stack[top-2].list, m.stack[top-1].n
			if at < 0 || at >= int64(len(l.items)) {
				return wrong("place %d of a list of %d", at, len(l.items))
			}
			l.items[at] = m.stack[top]
			m.stack = m.stack[:top-2]
		case opMapSet:
			if err := m.put(m.stack[top-2].m, m.stack[top-1].s, m.stack[top]); err != nil {
				return err
			}
			m.stack = m.stack[:top-2]
		case opNewList:
			n := int(i.a)
			if err := m.hold(valueSize * (n + 1)); err != nil {
				return err
			}
			l := &list{items: append(make([]value, 0, n), m.stack[len(m.stack)-n:]...)}
			m.stack = append(m.stack[:len(m.stack)-n], value{list: l})
		case opNewMap:
			if err := m.hold(entrySize); err != nil {
				return err
			}
			m.stack = append(m.stack, value{m: &dict{at: make(map[string]int)}})
		case opCall:
			if err := m.enter(int(i.a)); err != nil {
				return err
			}
			f = &m.frames[len(m.frames)-1]
		case opReturn, opReturnValue:
			var v value
			if i.op == opReturnValue {
				v = m.stack[top]
			}
			m.stack = m.stack[:f.base]
			m.frames = m.frames[:len(m.frames)-1]
			if len(m.frames) == 0 {
				return nil
			}
			f = &m.frames[len(m.frames)-1]
			if i.op == opReturnValue {
				m.stack = append(m.stack, v)
			}
		case opRangeTest:
			m.stack = append(m.stack, flag(m.stack[f.base+int(i.a)].n < m.stack[f.base+int(i.a)+1].n))
		case opIncrement:
			m.stack[f.base+int(i.a)].n++
		case opEachNext:
			l, at := m.stack[f.base+int(i.a)+1].list, &m.stack[f.base+int(i.a)+2]
			more := at.n < int64(len(l.items))
			if more {
				m.stack[f.base+int(i.a)] = l.items[at.n]
				at.n++
			}
			m.stack = append(m.stack, flag(more))
		case opBuiltin:
			if err := m.builtin(int(i.a), kind(i.b)); err != nil {
				return err
			}
		default:
			if err := m.state(i); err != nil {
				return err
			}
		}
	}
}

func floating(op opcode, a, b float64) float64 {
	switch op {
	case opAddFloat:
		return a + b
	case opSubFloat:
		return a - b
	case opMulFloat:
		return a * b
	}
	return a / b
}

func (m *Machine) inList(x value, l *list, how int32) (bool, error) {
	for i := range l.items {
		size, same := 8, l.items[i].n == x.n
		switch how {
		case 1:
			size, same = min(len(x.s), len(l.items[i].s)), l.items[i].s == x.s
		case 2:
			same = bitsFloat(l.items[i].n) == bitsFloat(x.n)
		}
		if !m.spend(size) {
			return false, ErrFuel
		}
		if same {
			return true, nil
		}
	}
	return false, nil
}

// put sets an entry of a map.
func (m *Machine) put(d *dict, key string, v value) error {
	if !m.spend(len(key)) {
		return ErrFuel
	}
	if at, ok := d.at[key]; ok {
		d.vals[at] = v
		return nil
	}
	if err := m.hold(entrySize + len(key)); err != nil {
		return err
	}
	d.at[key] = len(d.keys)
	d.keys, d.vals = append(d.keys, key), append(d.vals, v)
	return nil
}

// remove takes an entry out; the others keep their order.
func (m *Machine) remove(d *dict, key string) error {
	at, ok := d.at[key]
	if !ok {
		return nil
	}
	if !m.spend(8 * len(d.keys)) {
		return ErrFuel
	}
	delete(d.at, key)
	d.keys, d.vals = append(d.keys[:at], d.keys[at+1:]...), append(d.vals[:at], d.vals[at+1:]...)
	for i := at; i < len(d.keys); i++ {
		d.at[d.keys[i]] = i
	}
	return nil
}

// stateCost is the fuel of a look at the declared state, beside the key's.
const stateCost = 80

func (m *Machine) state(i *instr) error {
	top := len(m.stack) - 1
	key, n := "", 1
	if i.op == opValueAt || i.op == opForget {
		key = m.stack[top].s
	} else if i.op == opAddAt {
		key, n = m.stack[top-1].s, 2
	}
	if len(key) > MaxKey {
		return wrong("a key of %d bytes: %d at the most", len(key), MaxKey)
	}
	if !m.spend(stateCost + len(key)) {
		return ErrFuel
	}
	switch i.op {
	case opValue:
		m.stack = append(m.stack, value{n: m.store.Value(int(i.a), "")})
		return nil
	case opValueAt:
		m.stack[top] = value{n: m.store.Value(int(i.a), key)}
		return nil
	case opForget:
		m.store.Forget(int(i.a), key)
		m.stack = m.stack[:top]
		return nil
	}
	if err := m.hold(entrySize + len(key)); err != nil { // what is to be kept at the end
		return err
	}
	sum := m.store.Add(int(i.a), key, m.stack[top].n)
	m.stack = append(m.stack[:top+1-n], value{n: sum})
	return nil
}

// text makes a value's text.
func textOf(k kind, v value) string {
	switch k {
	case kindBool:
		return strconv.FormatBool(v.n != 0)
	case kindInt:
		return strconv.FormatInt(v.n, 10)
	case kindFloat:
		return strconv.FormatFloat(bitsFloat(v.n), 'g', -1, 64)
	case kindDuration:
		return time.Duration(v.n).String()
	case kindTime:
		return time.Unix(0, v.n).UTC().Format(time.RFC3339Nano)
	}
	return v.s
}
