package hook

func (c *compiler) block(body []*statement) {
	for _, s := range body {
		c.statement(s)
	}
}

func (c *compiler) statement(s *statement) {
	switch s.kind {
	case statementAssign:
		c.assign(s, s.value, s.slot)
	case statementAssignIndex:
		c.assignIndex(s)
	case statementIf:
		c.ifStatement(s)
	case statementWhile:
		c.whileLoop(s)
	case statementForRange:
		c.forRange(s)
	case statementForEach:
		c.forEach(s)
	case statementReturn:
		c.returnStatement(s)
	case statementBreak:
		loop := &c.loops[len(c.loops)-1]
		loop.breaks = append(loop.breaks, c.emit(opJump, 0, s.position, 0))
	case statementContinue:
		loop := &c.loops[len(c.loops)-1]
		loop.continues = append(loop.continues, c.emit(opJump, 0, s.position, 0))
	case statementExpression:
		c.expression(s.value)
		if s.value.valueType != typeNone {
			c.emit(opPop, 0, s.position, -1)
		}
	}
}

// assign compiles an assignment to the variable in a slot.
func (c *compiler) assign(s *statement, assigned *expression, slot int) {
	c.expression(assigned)
	c.emit(opStore, slot, s.position, -1)
}

func (c *compiler) assignIndex(s *statement) {
	c.expression(s.container)
	c.expression(s.index)
	c.expression(s.value)
	op := opListSet
	if s.container.valueType.kind == kindMap {
		op = opMapSet
	}
	c.emit(op, 0, s.position, -3)
}

func (c *compiler) ifStatement(s *statement) {
	c.expression(s.condition)
	toElse := c.emit(opJumpIfFalse, 0, s.position, -1)
	c.block(s.body)
	if len(s.elseBody) == 0 {
		c.setTargets(toElse)
		return
	}
	toEnd := c.emit(opJump, 0, s.position, 0)
	c.setTargets(toElse)
	c.block(s.elseBody)
	c.setTargets(toEnd)
}

func (c *compiler) returnStatement(s *statement) {
	if s.value == nil {
		c.emit(opReturn, 0, s.position, 0)
		return
	}
	c.expression(s.value)
	c.emit(opReturnValue, 0, s.position, -1)
}

func (c *compiler) whileLoop(s *statement) {
	start := c.nextIndex()
	c.expression(s.condition)
	exit := c.emit(opJumpIfFalse, 0, s.position, -1)
	c.loopBody(s)
	c.endLoop(s, start, exit)
}

func (c *compiler) forRange(s *statement) {
	c.assign(s, s.from, s.slot)
	c.assign(s, s.to, s.slot+1)
	start := c.nextIndex()
	c.emit(opRangeTest, s.slot, s.position, 1)
	exit := c.emit(opJumpIfFalse, 0, s.position, -1)
	c.loopBody(s)
	c.emit(opIncrement, s.slot, s.position, 0)
	c.endLoop(s, start, exit)
}

func (c *compiler) forEach(s *statement) {
	c.assign(s, s.value, s.slot+1)
	c.emit(opConst, c.constant(typeInt, intValue(0)), s.position, 1)
	c.emit(opStore, s.slot+2, s.position, -1)
	start := c.nextIndex()
	c.emit(opListNext, s.slot, s.position, 1)
	exit := c.emit(opJumpIfFalse, 0, s.position, -1)
	c.loopBody(s)
	c.endLoop(s, start, exit)
}

// loopBody compiles the body of a loop. A continue jumps to the instruction after the body.
func (c *compiler) loopBody(s *statement) {
	c.loops = append(c.loops, loopJumps{})
	c.block(s.body)
	c.setTargets(c.loops[len(c.loops)-1].continues...)
}

// endLoop emits the jump back to the start of a loop. The instruction after it is the target of the jump
// exit and of each break.
func (c *compiler) endLoop(s *statement, start, exit int) {
	c.emit(opJump, start, s.position, 0)
	innermost := len(c.loops) - 1
	c.setTargets(exit)
	c.setTargets(c.loops[innermost].breaks...)
	c.loops = c.loops[:innermost]
}
