package hook

import "github.com/alecthomas/participle/v2/lexer"

// compiler makes bytecode of a checked program, one function after the other.
type compiler struct {
	program         *Program
	constantNumbers map[any]int // by int64 or string

	// The function that is being compiled.
	instructions []instruction
	operands     int // on the stack, at this instruction
	maxOperands  int
	loops        []loopJumps // those around this instruction
}

// loopJumps are the jumps of a loop's break and continue statements, whose targets are not known yet.
type loopJumps struct {
	breaks    []int
	continues []int
}

// compile makes bytecode of a checked program. The error is an *Error.
func compile(file string, checked *checkedProgram) (*Program, error) {
	c := &compiler{
		program: &Program{
			File:   file,
			States: checked.states,
			hooks:  checked.hooks,
			zones:  checked.zones,
		},
		constantNumbers: make(map[any]int),
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

// emit adds an instruction with operand a, which changes the number of operands on the stack by
// growth. It returns the instruction's index.
func (c *compiler) emit(op opcode, a int, at lexer.Position, growth int) int {
	c.instructions = append(c.instructions, instruction{op: op, a: int32(a), line: int32(at.Line)})
	c.operands += growth
	c.maxOperands = max(c.maxOperands, c.operands)
	return len(c.instructions) - 1
}

// next returns the index of the next instruction.
func (c *compiler) next() int { return len(c.instructions) }

// setTargets makes jumps lead to the next instruction.
func (c *compiler) setTargets(jumps ...int) {
	for _, jump := range jumps {
		c.instructions[jump].a = int32(c.next())
	}
}

// constant returns the number of a constant. Numbers with the same bits are one constant, whatever
// their type.
func (c *compiler) constant(t *valueType, constant value) int {
	key := any(constant.number)
	if t == typeText {
		key = constant.text
	}
	if number, ok := c.constantNumbers[key]; ok {
		return number
	}
	number := len(c.program.constants)
	c.constantNumbers[key] = number
	c.program.constants = append(c.program.constants, constant)
	return number
}
