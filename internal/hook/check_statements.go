package hook

// block checks the statements of a block, in a new scope.
func (c *checker) block(node *blockNode) []*statement {
	c.openScope()
	defer c.closeScope()
	body := make([]*statement, 0, len(node.Stmts))
	for i, child := range node.Stmts {
		s := c.statement(child)
		if s == nil {
			continue
		}
		body = append(body, s)
		if s.endsBlock() && i < len(node.Stmts)-1 {
			c.report(node.Stmts[i+1].Pos, "unreachable statement")
			break
		}
	}
	return body
}

// endsBlock reports whether the statements that follow s in its block are unreachable.
func (s *statement) endsBlock() bool {
	return s.kind == statementReturn || s.kind == statementBreak || s.kind == statementContinue
}

// statement checks a statement. It may return nil if it reports a diagnostic.
func (c *checker) statement(node *stmtNode) *statement {
	switch {
	case node.Let != nil:
		return c.variableDeclaration(node)
	case node.If != nil:
		return c.ifStatement(node.If)
	case node.While != nil:
		return c.whileStatement(node)
	case node.For != nil:
		return c.forStatement(node)
	case node.Return != nil:
		return c.returnStatement(node)
	case node.Break, node.Continue:
		return c.jumpStatement(node)
	case node.Simple.Value != nil:
		return c.assignment(node)
	default:
		return c.callStatement(node)
	}
}

// variableDeclaration checks a "let" or "var" statement.
func (c *checker) variableDeclaration(node *stmtNode) *statement {
	initial := c.expression(node.Let.Value)
	if node.Let.Type != nil {
		c.expectType(initial, c.resolveType(node.Let.Type), "the value")
	}
	t := initial.valueType
	if t == typeNone {
		c.report(initial.position, "this expression has no value")
	}
	if initial.isInvalid() {
		t = typeInt
	}
	slot := c.declareVariable(node.Pos, node.Let.Name, t, !node.Let.Var)
	return &statement{kind: statementAssign, slot: slot, value: initial, position: node.Pos}
}

// condition checks the condition of an "if" or "while" statement.
func (c *checker) condition(node *exprNode) *expression {
	return c.expectType(c.expression(node), typeBool, "the condition")
}

func (c *checker) ifStatement(node *ifNode) *statement {
	s := &statement{kind: statementIf, condition: c.condition(node.Cond), position: node.Pos}
	s.body = c.block(node.Then)
	switch {
	case node.ElseIf != nil:
		s.elseBody = []*statement{c.ifStatement(node.ElseIf)}
	case node.Else != nil:
		s.elseBody = c.block(node.Else)
	}
	return s
}

func (c *checker) whileStatement(node *stmtNode) *statement {
	s := &statement{kind: statementWhile, condition: c.condition(node.While.Cond), position: node.Pos}
	s.body = c.loopBody(node.While.Body)
	return s
}

func (c *checker) loopBody(node *blockNode) []*statement {
	c.loopDepth++
	defer func() { c.loopDepth-- }()
	return c.block(node)
}

func (c *checker) forStatement(node *stmtNode) *statement {
	first := c.expression(node.For.From)
	c.openScope()
	defer c.closeScope()
	s := &statement{position: node.Pos}
	if node.For.To != nil {
		c.forRange(s, node, first)
	} else {
		c.forEach(s, node, first)
	}
	s.body = c.loopBody(node.For.Body)
	return s
}

// forRange checks the head of "for NAME in FROM..TO".
func (c *checker) forRange(s *statement, node *stmtNode, from *expression) {
	s.kind = statementForRange
	s.from = c.expectType(from, typeInt, "the start of the range")
	s.to = c.expectType(c.expression(node.For.To), typeInt, "the end of the range")
	s.slot = c.declareVariable(node.Pos, node.For.Name, typeInt, true)
	c.reserveSlots(1) // for the bound of the range
}

// forEach checks the head of "for NAME in LIST".
func (c *checker) forEach(s *statement, node *stmtNode, list *expression) {
	element := typeInt
	switch {
	case list.isInvalid():
	case list.valueType.kind == kindList:
		element = list.valueType.element
	default:
		c.report(list.position, "a for loop needs a list or FROM..TO, got %s", list.valueType)
	}
	s.kind = statementForEach
	s.value = list
	s.slot = c.declareVariable(node.Pos, node.For.Name, element, true)
	c.reserveSlots(2) // for the list and the position in the list
}

func (c *checker) returnStatement(node *stmtNode) *statement {
	s := &statement{kind: statementReturn, position: node.Pos}
	result := c.function.result
	switch returned := node.Return.Value; {
	case returned != nil && result == typeNone:
		c.expression(returned)
		c.report(returned.Pos, "%s does not return a value", c.function.name)
	case returned != nil:
		s.value = c.expectType(c.expression(returned), result, "the value")
	case result != typeNone:
		c.report(node.Pos, "%s must return a value of type %s", c.function.name, result)
	}
	return s
}

// jumpStatement checks a "break" or "continue" statement.
func (c *checker) jumpStatement(node *stmtNode) *statement {
	if c.loopDepth == 0 {
		c.report(node.Pos, "break and continue are only allowed in a loop")
	}
	kind := statementBreak
	if node.Continue {
		kind = statementContinue
	}
	return &statement{kind: kind, position: node.Pos}
}

func (c *checker) callStatement(node *stmtNode) *statement {
	e := c.postfix(node.Simple.Left)
	if !e.isCall() && !e.isInvalid() {
		c.report(node.Pos, "this statement has no effect; use a call or an assignment")
	}
	return &statement{kind: statementExpression, value: e, position: node.Pos}
}

func (c *checker) assignment(node *stmtNode) *statement {
	if len(node.Simple.Left.Rest) > 0 {
		return c.indexAssignment(node)
	}
	assigned := c.expression(node.Simple.Value)
	name := node.Simple.Left.Value.Name
	target, found := c.lookUp(name)
	switch {
	case name == "":
		c.report(node.Pos, "the left side of an assignment must be a variable or an entry of a list or map")
	case !found:
		c.report(node.Pos, "unknown variable %q; declare it with \"var %s = ...\"", name, name)
	case target.readOnly:
		c.report(node.Pos, "%q is read-only: it is declared by let or for, not by var", name)
	default:
		c.expectType(assigned, target.valueType, "the value")
		return &statement{kind: statementAssign, slot: target.slot, value: assigned, position: node.Pos}
	}
	return nil
}

// indexAssignment checks an assignment to an entry of a list or map.
func (c *checker) indexAssignment(node *stmtNode) *statement {
	target := c.postfix(node.Simple.Left)
	assigned := c.expression(node.Simple.Value)
	if target.isInvalid() {
		return nil
	}
	if target.kind != expressionIndex || target.operands[0].valueType.kind == kindText {
		c.report(node.Pos, "the left side of an assignment must be a variable or an entry of a list or map")
		return nil
	}
	return &statement{
		kind:      statementAssignIndex,
		container: target.operands[0],
		index:     target.operands[1],
		value:     c.expectType(assigned, target.valueType, "the value"),
		position:  node.Pos,
	}
}
