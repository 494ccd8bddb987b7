package hook

import "github.com/alecthomas/participle/v2/lexer"

// compiler translates a checked program to bytecode, one function after the other.
type compiler struct {
	program         *Program
	constantIndexes map[any]int // indexes in Program.constants; keys are int64 or string

	// The fields for the function that is being compiled.
	instructions []instruction
	operands     int // operands on the stack after the last instruction
	maxOperands  int
	loops        []loopJumps // the loops that enclose the next instruction, innermost last
}

// loopJumps are the indexes of the jump instructions of a loop's break and continue statements. Their
// targets are not known yet.
type loopJumps struct {
	breaks    []int
	continues []int
}

// compile translates a checked program to bytecode. The error is an *Error: the program has more than
// maxInstructions.
func compile(file string, checked *checkedProgram) (*Program, error) {
	c := &compiler{
		program: &Program{
			File:   file,
			States: checked.states,
			hooks:  checked.hooks,
			zones:  checked.zones,
		},
		constantIndexes: make(map[any]int),
	}
	total := 0
	for _, f := range checked.functions {
		c.function(f)
		total += len(c.instructions)
	}
	if total > maxInstructions {
		return nil, &Error{File: file, Text: "the program is too large"}
	}
	return c.program, nil
}

func (c *compiler) function(f *function) {
	c.instructions = nil
	c.operands = 0
	c.maxOperands = 0
	c.block(f.body)
	c.emit(opReturn, 0, lexer.Position{}, 0)
	c.program.functions = append(c.program.functions, bytecode{
		name:         f.name,
		parameters:   len(f.parameters),
		slots:        f.slots,
		operands:     c.maxOperands,
		instructions: c.instructions,
	})
}

// emit adds an instruction with operand a and returns its index. The instruction changes the number
// of operands on the stack by stackChange.
func (c *compiler) emit(op opcode, a int, at lexer.Position, stackChange int) int {
	c.instructions = append(c.instructions, instruction{op: op, a: int32(a), line: int32(at.Line)})
	c.operands += stackChange
	c.maxOperands = max(c.maxOperands, c.operands)
	return len(c.instructions) - 1
}

// nextIndex returns the index of the next instruction.
func (c *compiler) nextIndex() int { return len(c.instructions) }

// setTargets makes the next instruction the target of jumps.
func (c *compiler) setTargets(jumps ...int) {
	for _, jump := range jumps {
		c.instructions[jump].a = int32(c.nextIndex())
	}
}

// constant returns the index of a constant in Program.constants and adds the constant if necessary.
// Numbers with the same bits share one constant, regardless of their type.
func (c *compiler) constant(t *valueType, constant value) int {
	key := any(constant.number)
	if t == typeText {
		key = constant.text
	}
	if number, ok := c.constantIndexes[key]; ok {
		return number
	}
	number := len(c.program.constants)
	c.constantIndexes[key] = number
	c.program.constants = append(c.program.constants, constant)
	return number
}
