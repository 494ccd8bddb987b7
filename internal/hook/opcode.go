package hook

// opcode says what an instruction does. The stack holds a frame's variables and, above them, the
// operands of the expressions that are being evaluated.
type opcode uint8

// The instruction set. The stack effect is written as "operands -> results", the last one on top;
// a and b are the instruction's own operands, "variable a" is the frame's slot a.
const (
	// Stack, variables and the event's fields.
	opConst       opcode = iota // -> constant a
	opLoad                      // -> variable a
	opStore                     // x -> ; variable a = x
	opPop                       // x ->
	opField                     // -> field a of the event, a text
	opFieldNumber               // -> field a of the event, a number

	// Jumps; a is the index of an instruction.
	opJump          // ->
	opJumpIfFalse   // x -> ; jumps if x is false
	opJumpKeepFalse // x -> x and a jump if x is false; else x ->
	opJumpKeepTrue  // x -> x and a jump if x is true; else x ->

	// Calls.
	opCall        // arguments -> result, if any; function a
	opReturn      // ends the call without a result
	opReturnValue // x -> ; ends the call with x as the result
	opBuiltin     // arguments -> result, if any; built-in function a, the first argument is of kind b

	// Arithmetic. Ints, durations and times that overflow, and a division by zero, fail the run.
	opNot      // x -> not x
	opNegInt   // x -> -x
	opNegFloat // x -> -x
	opAddInt   // x y -> x + y
	opSubInt   // x y -> x - y
	opMulInt   // x y -> x * y
	opDivInt   // x y -> x / y, towards zero
	opModInt   // x y -> x % y, with the sign of x
	opAddFloat // x y -> x + y
	opSubFloat // x y -> x - y
	opMulFloat // x y -> x * y
	opDivFloat // x y -> x / y
	opRatio    // x y -> x / y of two durations, a float
	opAddText  // x y -> x + y

	// Comparisons; a is a comparison.
	opCompareInt   // x y -> bool
	opCompareFloat // x y -> bool
	opCompareText  // x y -> bool

	// Lists and maps. A wrong index, or a key that is not there, fails the run.
	opInText  // x y -> whether the text y contains x
	opInMap   // x y -> whether the map y has the key x
	opInList  // x y -> whether the list y contains x; a is an equality
	opListAt  // list index -> entry
	opMapAt   // map key -> value
	opListSet // list index x ->
	opMapSet  // map key x ->
	opNewList // a entries -> list
	opNewMap  // -> map

	// Declared state a.
	opValue   // -> value of the counter
	opValueAt // key -> value
	opAdd     // n -> sum of the counter
	opAddAt   // key n -> sum
	opForget  // key ->

	// Loops. A range has its position in variable a and its bound in a+1; a loop through a list has
	// its entry in variable a, the list in a+1 and the position in a+2.
	opRangeTest // -> whether the position is below the bound
	opIncrement // -> ; variable a = a + 1
	opEachNext  // -> whether there is a further entry; if so, sets the entry and the position
)

// instruction is one of a function's.
type instruction struct {
	op   opcode
	b    uint8
	a    int32
	line int32 // in the source, from 1
}

// comparison is the operand a of opCompareInt, opCompareFloat and opCompareText.
type comparison int32

const (
	compareEqual comparison = iota
	compareNotEqual
	compareLess
	compareLessOrEqual
	compareGreater
	compareGreaterOrEqual
)

// comparisons are the comparisons by their operators.
var comparisons = map[string]comparison{
	"==": compareEqual,
	"!=": compareNotEqual,
	"<":  compareLess,
	"<=": compareLessOrEqual,
	">":  compareGreater,
	">=": compareGreaterOrEqual,
}

// equality is the operand a of opInList: how its entries are compared.
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
