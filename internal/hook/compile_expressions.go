package hook

// expression compiles an expression. Its instructions leave the value on the stack, if there is one.
func (c *compiler) expression(e *expression) {
	switch e.kind {
	case expressionConstant:
		c.emit(opConst, c.constant(e.valueType, e.constant), e.position, 1)
	case expressionVariable:
		c.emit(opLoad, e.index, e.position, 1)
	case expressionField:
		c.field(e)
	case expressionAnd:
		c.shortCircuit(e, opJumpIfFalseOrPop)
	case expressionOr:
		c.shortCircuit(e, opJumpIfTrueOrPop)
	default:
		for _, operand := range e.operands {
			c.expression(operand)
		}
		c.operation(e)
	}
}

func (c *compiler) field(e *expression) {
	op := opNumberField
	if e.valueType == typeText {
		op = opTextField
	}
	c.emit(op, e.index, e.position, 1)
}

// shortCircuit compiles an "and" or "or" expression. The jump skips the right side if the left side decides the result.
func (c *compiler) shortCircuit(e *expression, jump opcode) {
	c.expression(e.operands[0])
	end := c.emit(jump, 0, e.position, -1)
	c.expression(e.operands[1])
	c.setTargets(end)
}

// operation compiles the operation of an expression. Its operands are on the stack.
func (c *compiler) operation(e *expression) {
	switch e.kind {
	case expressionNot:
		c.emit(opNot, 0, e.position, 0)
	case expressionNegate:
		c.emit(negateOpcode(e), 0, e.position, 0)
	case expressionArithmetic:
		c.emit(arithmeticOpcode(e), 0, e.position, -1)
	case expressionCompare:
		c.emit(compareOpcode(e), int(comparisons[e.operator]), e.position, -1)
	case expressionIn:
		c.inOperator(e)
	case expressionIndex:
		c.emit(indexOpcode(e), 0, e.position, -1)
	case expressionCall:
		c.emit(opCall, e.index, e.position, callStackChange(e))
	case expressionBuiltin:
		c.builtin(e)
	case expressionState:
		c.emit(c.stateOpcode(e), e.index, e.position, callStackChange(e))
	case expressionList:
		c.emit(opNewList, len(e.operands), e.position, 1-len(e.operands))
	case expressionMap:
		c.emit(opNewMap, 0, e.position, 1)
	default: // expression has compiled the other kinds
	}
}

func negateOpcode(e *expression) opcode {
	if e.valueType == typeFloat {
		return opNegFloat
	}
	return opNegInt
}

// arithmeticOpcodes are the opcodes by operator and by kind of the result.
var arithmeticOpcodes = map[string]map[kind]opcode{
	"+": {
		kindInt:      opAddInt,
		kindDuration: opAddInt,
		kindTime:     opAddInt,
		kindFloat:    opAddFloat,
		kindText:     opAddText,
	},
	"-": {
		kindInt:      opSubInt,
		kindDuration: opSubInt,
		kindTime:     opSubInt,
		kindFloat:    opSubFloat,
	},
	"*": {
		kindInt:      opMulInt,
		kindDuration: opMulInt,
		kindFloat:    opMulFloat,
	},
	"/": {
		kindInt:      opDivInt,
		kindDuration: opDivInt,
		kindFloat:    opDivFloat,
	},
	"%": {
		kindInt: opModInt,
	},
}

func arithmeticOpcode(e *expression) opcode {
	if e.valueType == typeFloat && e.operands[0].valueType == typeDuration {
		return opDivDurations
	}
	return arithmeticOpcodes[e.operator][e.valueType.kind]
}

func compareOpcode(e *expression) opcode {
	switch e.operands[0].valueType {
	case typeFloat:
		return opCompareFloat
	case typeText:
		return opCompareText
	default:
		return opCompareInt
	}
}

func (c *compiler) inOperator(e *expression) {
	container := e.operands[1].valueType
	switch container.kind {
	case kindText:
		c.emit(opInText, 0, e.position, -1)
	case kindMap:
		c.emit(opInMap, 0, e.position, -1)
	default:
		c.emit(opInList, int(equalityOf(container.element)), e.position, -1)
	}
}

func indexOpcode(e *expression) opcode {
	if e.operands[0].valueType.kind == kindMap {
		return opMapGet
	}
	return opListGet
}

// callStackChange returns by how much a call changes the number of operands on the stack.
func callStackChange(e *expression) int {
	change := -len(e.operands)
	if e.valueType != typeNone {
		change++
	}
	return change
}

func (c *compiler) builtin(e *expression) {
	call := c.emit(opBuiltin, e.index, e.position, callStackChange(e))
	if len(e.operands) > 0 {
		c.instructions[call].b = uint8(e.operands[0].valueType.kind)
	}
}

func (c *compiler) stateOpcode(e *expression) opcode {
	isMap := c.program.States[e.index].isMap()
	switch {
	case e.operator == stateForget:
		return opEntryForget
	case e.operator == stateAdd && isMap:
		return opEntryAdd
	case e.operator == stateAdd:
		return opCounterAdd
	case isMap:
		return opEntryValue
	default:
		return opCounterValue
	}
}
