package hook

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
)

// treeWalker runs a checked program by walking its typed tree, with Go values. It is the reference
// implementation with which the machine is compared. It does not count fuel or memory.
type treeWalker struct {
	program      *checkedProgram
	currentEvent *Event
	state        map[string]int64
	effects      []Effect
}

// walkerList is a list at run time.
type walkerList struct{ items []any }

// walkerMap is a map at run time. It keeps the order of its keys.
type walkerMap struct {
	keys []string
	vals map[string]any
}

// controlFlow says how a statement or block ends.
type controlFlow int

const (
	flowNext controlFlow = iota // the next statement follows
	flowBreak
	flowContinue
	flowReturn
)

// valueFailure is the panic value for a failure that the machine reports as ErrValue.
type valueFailure struct{}

// walkTree runs the request hook of a program and returns its effects and its error.
func walkTree(checked *checkedProgram, event *Event) (effects []Effect, err error) {
	w := &treeWalker{program: checked, currentEvent: event, state: make(map[string]int64)}
	defer func() {
		effects = w.effects
		switch failure := recover().(type) {
		case nil:
		case valueFailure:
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

// call runs a function or hook and returns its result, nil if it has none.
func (w *treeWalker) call(index int, args []any) (result any) {
	f := w.program.functions[index]
	variables := make([]any, f.slots)
	copy(variables, args)
	w.block(f.body, variables, &result)
	return result
}

// block executes statements. A return statement stores its value in result.
func (w *treeWalker) block(body []*statement, variables []any, result *any) controlFlow {
	for _, s := range body {
		if flow := w.execute(s, variables, result); flow != flowNext {
			return flow
		}
	}
	return flowNext
}

// execute executes a statement.
func (w *treeWalker) execute(s *statement, variables []any, result *any) controlFlow {
	switch s.kind {
	case statementAssign:
		variables[s.slot] = w.evaluate(s.value, variables)
	case statementAssignIndex:
		collection, key, v := w.evaluate(s.container, variables), w.evaluate(s.index, variables), w.evaluate(s.value, variables)
		if m, ok := collection.(*walkerMap); ok {
			m.set(key.(string), v)
		} else {
			*listEntry(collection, key) = v
		}
	case statementIf:
		if w.evaluate(s.condition, variables).(bool) {
			return w.block(s.body, variables, result)
		}
		return w.block(s.elseBody, variables, result)
	case statementForRange, statementForEach:
		var items []any
		entryAt := func(i int) (any, bool) { return nil, false }
		if s.kind == statementForRange {
			from, to := w.evaluate(s.from, variables).(int64), w.evaluate(s.to, variables).(int64)
			for i := from; i < to; i++ {
				items = append(items, i)
			}
			entryAt = func(i int) (any, bool) {
				if i < len(items) {
					return items[i], true
				}
				return nil, false
			}
		} else {
			l := w.evaluate(s.value, variables).(*walkerList)
			entryAt = func(i int) (any, bool) {
				if i < len(l.items) {
					return l.items[i], true
				}
				return nil, false
			}
		}
		for i := 0; ; i++ {
			v, hasNext := entryAt(i)
			if !hasNext {
				break
			}
			variables[s.slot] = v
			if flow := w.block(s.body, variables, result); flow == flowBreak {
				break
			} else if flow == flowReturn {
				return flowReturn
			}
		}
	case statementReturn:
		if s.value != nil {
			*result = w.evaluate(s.value, variables)
		}
		return flowReturn
	case statementBreak:
		return flowBreak
	case statementContinue:
		return flowContinue
	case statementExpression:
		w.evaluate(s.value, variables)
	}
	return flowNext
}

// listEntry returns the entry of a list at an index. It panics with valueFailure if the index is out of range.
func listEntry(list, index any) *any {
	l, i := list.(*walkerList), index.(int64)
	if i < 0 || i >= int64(len(l.items)) {
		panic(valueFailure{})
	}
	return &l.items[i]
}

func (m *walkerMap) set(k string, v any) {
	if _, ok := m.vals[k]; !ok {
		m.keys = append(m.keys, k)
	}
	m.vals[k] = v
}

// evaluate returns the value of an expression: a bool, int64, float64, string, *walkerList or *walkerMap.
func (w *treeWalker) evaluate(e *expression, variables []any) any {
	switch e.kind {
	case expressionConstant:
		return goValue(e.valueType, e.constant)
	case expressionVariable:
		return variables[e.index]
	case expressionField:
		if e.valueType == typeText {
			return w.currentEvent.Text[e.index]
		}
		return goValue(e.valueType, value{number: w.currentEvent.Int[e.index]})
	case expressionAnd:
		return w.evaluate(e.operands[0], variables).(bool) && w.evaluate(e.operands[1], variables).(bool)
	case expressionOr:
		return w.evaluate(e.operands[0], variables).(bool) || w.evaluate(e.operands[1], variables).(bool)
	}
	args := make([]any, len(e.operands))
	for i, a := range e.operands {
		args[i] = w.evaluate(a, variables)
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
				panic(ErrMemory) // a text that doubles in a loop must not exhaust the memory of the test
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
		if m, ok := args[1].(*walkerMap); ok {
			_, found := m.vals[args[0].(string)]
			return found
		}
		for _, x := range args[1].(*walkerList).items {
			if x == args[0] {
				return true
			}
		}
		return false
	case expressionIndex:
		return *listEntry(args[0], args[1])
	case expressionCall:
		return w.call(e.index, args)
	case expressionList:
		return &walkerList{args}
	case expressionMap:
		return &walkerMap{vals: make(map[string]any)}
	case expressionState:
		if e.operator == "add" {
			w.state[args[0].(string)] += args[1].(int64)
		}
		return w.state[args[0].(string)]
	}
	return w.builtin(e, args)
}

// goValue converts a scalar value to a Go value. Durations and times become an int64.
func goValue(t *valueType, v value) any {
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

// checkedArithmetic computes with big integers. It panics with valueFailure if the result does not fit into an
// int64, or for a division by zero.
func checkedArithmetic(operator string, a, b int64) int64 {
	x, y, z := big.NewInt(a), big.NewInt(b), new(big.Int)
	if b == 0 && (operator == "/" || operator == "%") {
		panic(valueFailure{})
	}
	switch operator {
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
		panic(valueFailure{})
	}
	return z.Int64()
}

// builtin calls a built-in function. It supports the functions that the random programs use.
func (w *treeWalker) builtin(e *expression, args []any) any {
	text := func(i int) string { return args[i].(string) }
	switch builtins[e.index].name {
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
		l := &walkerList{}
		for _, s := range strings.Split(text(0), text(1)) {
			l.items = append(l.items, s)
		}
		return l
	case "join":
		var parts []string
		for _, x := range args[0].(*walkerList).items {
			parts = append(parts, x.(string))
		}
		return strings.Join(parts, text(1))
	case "get":
		if v, ok := args[0].(*walkerMap).vals[text(1)]; ok {
			return v
		}
		return args[2]
	case "slice":
		from, to := args[1].(int64), args[2].(int64)
		if from < 0 || to < from || to > int64(len(text(0))) {
			panic(valueFailure{})
		}
		return text(0)[from:to]
	case "has_prefix":
		return strings.HasPrefix(text(0), text(1))
	case "push":
		l := args[0].(*walkerList)
		l.items = append(l.items, args[1])
	case "float":
		return float64(args[0].(int64))
	case "header":
		return w.currentEvent.Headers.Header(text(0))
	default:
		panic("the tree walker does not support " + builtins[e.index].name)
	}
	return nil
}
