package hook

// expression compiles an expression, which leaves its value on the stack, if it has one.
func (c *compiler) expression(e *expression) {
	switch e.kind {
	case expressionConstant:
		c.emit(opConst, c.constant(e.valueType, e.constant), e.position, 1)
	case expressionVariable:
		c.emit(opLoad, e.number, e.position, 1)
	case expressionField:
		c.field(e)
	case expressionAnd:
		c.shortCircuit(e, opJumpKeepFalse)
	case expressionOr:
		c.shortCircuit(e, opJumpKeepTrue)
	default:
		for _, operand := range e.operands {
			c.expression(operand)
		}
		c.operation(e)
	}
}

func (c *compiler) field(e *expression) {
	op := opFieldNumber
	if e.valueType == typeText {
		op = opField
	}
	c.emit(op, e.number, e.position, 1)
}

// shortCircuit compiles and/or: the jump skips the right side if the left one decides.
func (c *compiler) shortCircuit(e *expression, jump opcode) {
	c.expression(e.operands[0])
	end := c.emit(jump, 0, e.position, -1)
	c.expression(e.operands[1])
	c.setTargets(end)
}

// operation compiles an expression whose operands are on the stack.
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
		c.in(e)
	case expressionIndex:
		c.emit(indexOpcode(e), 0, e.position, -1)
	case expressionCall:
		c.emit(opCall, e.number, e.position, callGrowth(e))
	case expressionBuiltin:
		c.builtin(e)
	case expressionState:
		c.emit(c.stateOpcode(e), e.number, e.position, callGrowth(e))
	case expressionList:
		c.emit(opNewList, len(e.operands), e.position, 1-len(e.operands))
	case expressionMap:
		c.emit(opNewMap, 0, e.position, 1)
	default: // expression has compiled the others
	}
}

func negateOpcode(e *expression) opcode {
	if e.valueType == typeFloat {
		return opNegFloat
	}
	return opNegInt
}

// arithmeticOpcodes are the opcodes by operator and kind of the result.
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
		return opRatio
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

func (c *compiler) in(e *expression) {
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
		return opMapAt
	}
	return opListAt
}

// callGrowth returns how a call changes the number of operands on the stack.
func callGrowth(e *expression) int {
	growth := -len(e.operands)
	if e.valueType != typeNone {
		growth++
	}
	return growth
}

func (c *compiler) builtin(e *expression) {
	call := c.emit(opBuiltin, e.number, e.position, callGrowth(e))
	if len(e.operands) > 0 {
		c.instructions[call].b = uint8(e.operands[0].valueType.kind)
	}
}

func (c *compiler) stateOpcode(e *expression) opcode {
	isMap := c.program.States[e.number].isMap()
	switch {
	case e.operator == stateForget:
		return opForget
	case e.operator == stateAdd && isMap:
		return opAddAt
	case e.operator == stateAdd:
		return opAdd
	case isMap:
		return opValueAt
	default:
		return opValue
	}
}
