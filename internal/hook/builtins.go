package hook

import "slices"

// builtin is a function that the language defines. The functions of the declared state are not among
// them; check_calls.go defines those.
type builtin struct {
	name      string
	signature signature
	hooks     hookSet // the hooks that may call the function; 0: all hooks
	takesZone bool    // the last argument is a time zone: its name in the source, its index in Program.zones at run time

	// The fuel that a call costs in addition to its instruction. Some run functions spend further fuel.
	fuel int64
	cost costFunction // the part of the cost that depends on the arguments; nil: none

	run builtinFunction
}

// costFunction returns the fuel that a call with these arguments costs.
type costFunction func(arguments []value) int64

// builtinFunction executes a call. The operands are the arguments; the function replaces the first
// operand by its result. A function without parameters gets one operand that is not set. The function
// accounts for memory with Machine.allocate; where the size is known beforehand, it does so before it
// creates a value. kind is the kind of the first argument.
type builtinFunction func(m *Machine, operands []value, kind kind) error

var requestHook = hookSetOf(KindRequest)

// builtins are the built-in functions. An opBuiltin instruction refers to a function by its index.
var builtins = [...]builtin{
	// Texts.
	{name: "len", signature: signatureLen, run: runLen},
	{name: "lower", signature: fixed(typeText, typeText), cost: sizeOfFirst, run: runLower},
	{name: "upper", signature: fixed(typeText, typeText), cost: sizeOfFirst, run: runUpper},
	{name: "trim", signature: fixed(typeText, typeText), cost: sizeOfFirst, run: runTrim},
	{name: "has_prefix", signature: fixed(typeBool, typeText, typeText), cost: sizeOfSecond, run: runHasPrefix},
	{name: "has_suffix", signature: fixed(typeBool, typeText, typeText), cost: sizeOfSecond, run: runHasSuffix},
	{name: "find", signature: fixed(typeInt, typeText, typeText), cost: sizeOfFirst, run: runFind},
	{name: "slice", signature: fixed(typeText, typeText, typeInt, typeInt), run: runSlice},
	{name: "split", signature: fixed(typeTextList, typeText, typeText), run: runSplit},
	{name: "join", signature: fixed(typeText, typeTextList, typeText), run: runJoin},

	// Conversions.
	{name: "text", signature: signatureText, run: runText},
	{name: "parse_int", signature: fixed(typeInt, typeText, typeInt), cost: parseIntCost, run: runParseInt},
	{name: "int", signature: fixed(typeInt, typeFloat), run: runInt},
	{name: "float", signature: fixed(typeFloat, typeInt), run: runFloat},
	{name: "seconds", signature: fixed(typeFloat, typeDuration), run: runSeconds},
	{name: "min", signature: signatureMinMax, run: runMin},
	{name: "max", signature: signatureMinMax, run: runMax},

	// Lists and maps.
	{name: "push", signature: signaturePush, run: runPush},
	{name: "keys", signature: signatureKeys, run: runKeys},
	{name: "get", signature: signatureGet, cost: sizeOfSecond, run: runGet},
	{name: "delete", signature: signatureDelete, run: runDelete},

	// The event.
	{name: "now", signature: fixed(typeTime), run: runNow},
	{name: "header", signature: fixed(typeText, typeText), hooks: requestHook, fuel: headerFuel, run: runHeader},

	// The calendar.
	{name: "year", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runYear},
	{name: "month", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runMonth},
	{name: "day", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runDay},
	{name: "hour", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runHour},
	{name: "minute", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runMinute},
	{name: "weekday", signature: signatureCalendar, takesZone: true, fuel: calendarFuel, run: runWeekday},
	{name: "date", signature: signatureDate, takesZone: true, fuel: calendarFuel, run: runDate},

	// Effects.
	{name: "set_header", signature: fixed(typeNone, typeText, typeText), hooks: effectHooks[SetHeader], run: runSetHeader},
	{name: "remove_header", signature: fixed(typeNone, typeText), hooks: effectHooks[RemoveHeader], run: runRemoveHeader},
	{name: "tag", signature: fixed(typeNone, typeText), hooks: effectHooks[Tag], run: runTag},
	{name: "set_tenant", signature: fixed(typeNone, typeText), hooks: effectHooks[SetTenant], run: runSetTenant},
	{name: "refuse", signature: fixed(typeNone, typeText, typeDuration), hooks: effectHooks[Refuse], run: runRefuse},
	{name: "count", signature: fixed(typeNone, typeText), hooks: effectHooks[Count], run: runCount},
	{name: "label", signature: fixed(typeNone, typeText, typeText), hooks: effectHooks[Label], run: runLabel},
}

// builtinIndex returns the index in builtins of the function with a name.
func builtinIndex(name string) (index int, ok bool) {
	index = slices.IndexFunc(builtins[:], func(b builtin) bool { return b.name == name })
	return index, index >= 0
}

// callBuiltin calls a built-in function. It replaces the arguments on top of the stack by the result,
// if the function has one.
func (m *Machine) callBuiltin(index int, kind kind) error {
	callee := &builtins[index]
	base := len(m.stack) - len(callee.signature.parameters)
	operands := m.stack[base : base+callee.signature.operands()]
	if !m.spend(callee.fuel) {
		return ErrFuel
	}
	if callee.cost != nil && !m.spend(callee.cost(operands)) {
		return ErrFuel
	}
	m.stack = m.stack[:base+callee.signature.results()]
	return callee.run(m, operands, kind)
}

func sizeOfFirst(arguments []value) int64 { return sizeCost(len(arguments[0].text)) }

func sizeOfSecond(arguments []value) int64 { return sizeCost(len(arguments[1].text)) }
