package hook

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
)

// treeWalker runs a checked program by walking its tree, with Go's own values: what
// the machine is held against. It counts nothing.
type treeWalker struct {
	p       *checkedProgram
	e       *Event
	state   map[string]int64
	effects []Effect
}

type wlist struct{ items []any }

type wmap struct {
	keys []string
	vals map[string]any
}

// The ways out of a block.
type way int

const (
	onward way = iota
	breaks
	continues
	gives
)

type badValue struct{}

// walkTree runs a program's request hook.
func walkTree(checked *checkedProgram, event *Event) (effects []Effect, err error) {
	w := &treeWalker{p: checked, e: event, state: make(map[string]int64)}
	defer func() {
		effects = w.effects
		switch failure := recover().(type) {
		case nil:
		case badValue:
			err = ErrValue
		case error:
			err = failure
		default:
			panic(failure)
		}
	}()
	w.call(checked.hooks[KindRequest], nil)
	return nil, nil
}

func (w *treeWalker) call(number int, args []any) (result any) {
	f := w.p.functions[number]
	vars := make([]any, f.slots)
	copy(vars, args)
	w.block(f.body, vars, &result)
	return result
}

func (w *treeWalker) block(body []*statement, vars []any, result *any) way {
	for _, s := range body {
		if at := w.stmt(s, vars, result); at != onward {
			return at
		}
	}
	return onward
}

func (w *treeWalker) stmt(s *statement, vars []any, result *any) way {
	switch s.kind {
	case statementAssign:
		vars[s.slot] = w.eval(s.value, vars)
	case statementAssignIndex:
		on, at, v := w.eval(s.container, vars), w.eval(s.index, vars), w.eval(s.value, vars)
		if m, ok := on.(*wmap); ok {
			m.set(at.(string), v)
		} else {
			*place(on, at) = v
		}
	case statementIf:
		if w.eval(s.condition, vars).(bool) {
			return w.block(s.body, vars, result)
		}
		return w.block(s.orElse, vars, result)
	case statementForRange, statementForEach:
		var items []any
		each := func(i int) (any, bool) { return nil, false }
		if s.kind == statementForRange {
			from, to := w.eval(s.from, vars).(int64), w.eval(s.to, vars).(int64)
			for i := from; i < to; i++ {
				items = append(items, i)
			}
			each = func(i int) (any, bool) {
				if i < len(items) {
					return items[i], true
				}
				return nil, false
			}
		} else {
			l := w.eval(s.value, vars).(*wlist)
			each = func(i int) (any, bool) {
				if i < len(l.items) {
					return l.items[i], true
				}
				return nil, false
			}
		}
		for i := 0; ; i++ {
			v, more := each(i)
			if !more {
				break
			}
			vars[s.slot] = v
			if at := w.block(s.body, vars, result); at == breaks {
				break
			} else if at == gives {
				return gives
			}
		}
	case statementReturn:
		if s.value != nil {
			*result = w.eval(s.value, vars)
		}
		return gives
	case statementBreak:
		return breaks
	case statementContinue:
		return continues
	case statementExpression:
		w.eval(s.value, vars)
	}
	return onward
}

func place(on, at any) *any {
	l, i := on.(*wlist), at.(int64)
	if i < 0 || i >= int64(len(l.items)) {
		panic(badValue{})
	}
	return &l.items[i]
}

func (m *wmap) set(k string, v any) {
	if _, ok := m.vals[k]; !ok {
		m.keys = append(m.keys, k)
	}
	m.vals[k] = v
}

func (w *treeWalker) eval(e *expression, vars []any) any {
	switch e.kind {
	case expressionConstant:
		return plainValue(e.valueType, e.constant)
	case expressionVariable:
		return vars[e.number]
	case expressionField:
		if e.valueType == typeText {
			return w.e.Text[e.number]
		}
		return plainValue(e.valueType, value{number: w.e.Int[e.number]})
	case expressionAnd:
		return w.eval(e.operands[0], vars).(bool) && w.eval(e.operands[1], vars).(bool)
	case expressionOr:
		return w.eval(e.operands[0], vars).(bool) || w.eval(e.operands[1], vars).(bool)
	}
	args := make([]any, len(e.operands))
	for i, a := range e.operands {
		args[i] = w.eval(a, vars)
	}
	switch e.kind {
	case expressionNot:
		return !args[0].(bool)
	case expressionNegate:
		if f, ok := args[0].(float64); ok {
			return -f
		}
		return checkedArithmetic("-", 0, args[0].(int64))
	case expressionArithmetic:
		switch a := args[0].(type) {
		case string:
			if len(a) > 1<<16 {
				panic(ErrMemory) // texts double in loops
			}
			return a + args[1].(string)
		case float64:
			b := args[1].(float64)
			return map[string]float64{"+": a + b, "-": a - b, "*": a * b, "/": a / b}[e.operator]
		}
		return checkedArithmetic(e.operator, args[0].(int64), args[1].(int64))
	case expressionCompare:
		var less, same bool
		switch a := args[0].(type) {
		case string:
			less, same = a < args[1].(string), a == args[1].(string)
		case float64:
			b := args[1].(float64)
			return map[string]bool{"==": a == b, "!=": a != b, "<": a < b, "<=": a <= b, ">": a > b, ">=": a >= b}[e.operator]
		default:
			less, same = a.(int64) < args[1].(int64), a == args[1]
		}
		return map[string]bool{"==": same, "!=": !same, "<": less, "<=": less || same, ">": !less && !same, ">=": !less}[e.operator]
	case expressionIn:
		if m, ok := args[1].(*wmap); ok {
			_, found := m.vals[args[0].(string)]
			return found
		}
		for _, x := range args[1].(*wlist).items {
			if x == args[0] {
				return true
			}
		}
		return false
	case expressionIndex:
		return *place(args[0], args[1])
	case expressionCall:
		return w.call(e.number, args)
	case expressionList:
		return &wlist{args}
	case expressionMap:
		return &wmap{vals: make(map[string]any)}
	case expressionState:
		if e.operator == "add" {
			w.state[args[0].(string)] += args[1].(int64)
		}
		return w.state[args[0].(string)]
	}
	return w.builtin(e, args)
}

func plainValue(t *valueType, v value) any {
	switch t {
	case typeBool:
		return v.number != 0
	case typeFloat:
		return math.Float64frombits(uint64(v.number))
	case typeText:
		return v.text
	}
	return v.number
}

// checkedArithmetic computes with big integers and fails if the result is no int64.
func checkedArithmetic(sign string, a, b int64) int64 {
	x, y, z := big.NewInt(a), big.NewInt(b), new(big.Int)
	if b == 0 && (sign == "/" || sign == "%") {
		panic(badValue{})
	}
	switch sign {
	case "+":
		z.Add(x, y)
	case "-":
		z.Sub(x, y)
	case "*":
		z.Mul(x, y)
	case "/":
		z.Quo(x, y)
	case "%":
		z.Rem(x, y)
	}
	if !z.IsInt64() {
		panic(badValue{})
	}
	return z.Int64()
}

func (w *treeWalker) builtin(e *expression, args []any) any {
	text := func(i int) string { return args[i].(string) }
	switch builtins[e.number].name {
	case "tag":
		w.effects = append(w.effects, Effect{Kind: Tag, Text: text(0)})
		if len(w.effects) > maxEffects {
			panic(ErrEffects)
		}
	case "text":
		if f, ok := args[0].(float64); ok {
			return strconv.FormatFloat(f, 'g', -1, 64)
		}
		return fmt.Sprint(args[0])
	case "len":
		return int64(len(text(0)))
	case "min":
		return min(args[0].(int64), args[1].(int64))
	case "parse_int":
		n, ok := new(big.Int).SetString(text(0), 10)
		if !ok || !n.IsInt64() || strings.Contains(text(0), "_") {
			return args[1]
		}
		return n.Int64()
	case "upper":
		return strings.ToUpper(text(0))
	case "split":
		l := &wlist{}
		for _, s := range strings.Split(text(0), text(1)) {
			l.items = append(l.items, s)
		}
		return l
	case "join":
		var parts []string
		for _, x := range args[0].(*wlist).items {
			parts = append(parts, x.(string))
		}
		return strings.Join(parts, text(1))
	case "get":
		if v, ok := args[0].(*wmap).vals[text(1)]; ok {
			return v
		}
		return args[2]
	case "slice":
		from, to := args[1].(int64), args[2].(int64)
		if from < 0 || to < from || to > int64(len(text(0))) {
			panic(badValue{})
		}
		return text(0)[from:to]
	case "has_prefix":
		return strings.HasPrefix(text(0), text(1))
	case "push":
		l := args[0].(*wlist)
		l.items = append(l.items, args[1])
	case "float":
		return float64(args[0].(int64))
	case "header":
		return w.e.Headers.Header(text(0))
	default:
		panic("the walker has no " + builtins[e.number].name)
	}
	return nil
}
