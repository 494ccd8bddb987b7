package hook

import "slices"

// builtin is a function that the language defines, except for those of the state (check_calls.go).
type builtin struct {
	name      string
	signature signature
	hooks     hookSet // that may call it; 0: all
	takesZone bool    // its last argument is a time zone's name; a run gets the zone's number

	// What a call costs beside its instruction; some functions spend their fuel themselves.
	fuel int64
	cost costFunction // nil: nothing that depends on the arguments

	run builtinFunction
}

// costFunction returns fuel by the arguments.
type costFunction func(arguments []value) int64

// builtinFunction carries out a call. It replaces the first of the operands, which are the
// arguments, by its result; without arguments there is one operand that is not set. It takes
// memory before it makes what the memory is for. The kind is that of the first argument.
type builtinFunction func(m *Machine, operands []value, kind kind) error

var requestHook = hookSetOf(KindRequest)

// builtins are the built-in functions; an instruction refers to one by its index.
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

// builtinNumber returns a built-in function's index in builtins by its name.
func builtinNumber(name string) (number int, ok bool) {
	number = slices.IndexFunc(builtins[:], func(b builtin) bool { return b.name == name })
	return number, number >= 0
}

// callBuiltin replaces the arguments on top of the stack by the result, if there is one.
func (m *Machine) callBuiltin(number int, kind kind) error {
	called := &builtins[number]
	base := len(m.stack) - len(called.signature.parameters)
	operands := m.stack[base : base+called.signature.operands()]
	if !m.spend(called.fuel) {
		return ErrFuel
	}
	if called.cost != nil && !m.spend(called.cost(operands)) {
		return ErrFuel
	}
	m.stack = m.stack[:base+called.signature.results()]
	return called.run(m, operands, kind)
}

func sizeOfFirst(arguments []value) int64 { return sizeCost(len(arguments[0].text)) }

func sizeOfSecond(arguments []value) int64 { return sizeCost(len(arguments[1].text)) }
