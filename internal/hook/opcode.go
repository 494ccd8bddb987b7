package hook

// opcode is the operation of an instruction. The stack contains the variables of a frame and, above them,
// the operands of the expressions that are being evaluated.
type opcode uint8

// The instruction set. The stack effect is written as "operands -> results"; the last operand or result is
// on top of the stack. a and b are the operands of the instruction itself, and "variable a" is slot a of
// the frame.
const (
	// Stack, variables and fields of the event.
	opConst       opcode = iota // -> constant a
	opLoad                      // -> variable a
	opStore                     // x -> ; variable a = x
	opPop                       // x ->
	opTextField                 // -> field a of the event, a text
	opNumberField               // -> field a of the event, a number

	// Jumps; a is the index of an instruction.
	opJump             // ->
	opJumpIfFalse      // x -> ; jumps if x is false
	opJumpIfFalseOrPop // x -> x, and jumps if x is false; otherwise x ->
	opJumpIfTrueOrPop  // x -> x, and jumps if x is true; otherwise x ->

	// Calls.
	opCall        // arguments -> result, if any; calls function a
	opReturn      // ends the call without a result
	opReturnValue // x -> ; ends the call with x as the result
	opBuiltin     // arguments -> result, if any; calls built-in function a; b is the kind of the first argument

	// Arithmetic. A run fails if an int, duration or time overflows, or if one of them is divided by zero.
	opNot          // x -> not x
	opNegInt       // x -> -x
	opNegFloat     // x -> -x
	opAddInt       // x y -> x + y
	opSubInt       // x y -> x - y
	opMulInt       // x y -> x * y
	opDivInt       // x y -> x / y, rounded towards zero
	opModInt       // x y -> x % y, with the sign of x
	opAddFloat     // x y -> x + y
	opSubFloat     // x y -> x - y
	opMulFloat     // x y -> x * y
	opDivFloat     // x y -> x / y
	opDivDurations // x y -> x / y; x and y are durations, the result is a float
	opAddText      // x y -> x + y

	// Comparisons. a is a value of type comparison.
	opCompareInt   // x y -> bool
	opCompareFloat // x y -> bool
	opCompareText  // x y -> bool

	// Lists and maps. A run fails if an index is out of range or a key is missing.
	opInText  // x y -> whether the text y contains x
	opInMap   // x y -> whether the map y has the key x
	opInList  // x y -> whether the list y contains x; a is a value of type equality
	opListGet // list index -> entry
	opMapGet  // map key -> value
	opListSet // list index x ->
	opMapSet  // map key x ->
	opNewList // a entries -> list
	opNewMap  // -> map

	// Access to the declared state a.
	opCounterValue // -> value of the counter
	opEntryValue   // key -> value
	opCounterAdd   // n -> sum of the counter
	opEntryAdd     // key n -> sum
	opEntryForget  // key ->

	// Loops. A loop over a range keeps its position in variable a and its bound in a+1. A loop over a list
	// keeps the entry in variable a, the list in a+1 and the position in a+2.
	opRangeTest // -> whether the position is below the bound
	opIncrement // -> ; variable a = a + 1
	opListNext  // -> whether there is another entry; if so, sets the entry and increments the position
)

// instruction is one instruction of a compiled function.
type instruction struct {
	op   opcode
	b    uint8
	a    int32
	line int32 // line of the source, counted from 1
}

// comparison is a comparison operator. It is the operand a of opCompareInt, opCompareFloat and opCompareText.
type comparison int32

const (
	compareEqual comparison = iota
	compareNotEqual
	compareLess
	compareLessOrEqual
	compareGreater
	compareGreaterOrEqual
)

// comparisons are the comparisons by the operators of the language.
var comparisons = map[string]comparison{
	"==": compareEqual,
	"!=": compareNotEqual,
	"<":  compareLess,
	"<=": compareLessOrEqual,
	">":  compareGreater,
	">=": compareGreaterOrEqual,
}

// equality defines how entries of a list are compared. It is the operand a of opInList.
type equality int32

const (
	equalNumbers equality = iota
	equalTexts
	equalFloats
)

func equalityOf(t *valueType) equality {
	switch t {
	case typeText:
		return equalTexts
	case typeFloat:
		return equalFloats
	default:
		return equalNumbers
	}
}
