package hook

import "github.com/alecthomas/participle/v2/lexer"

// expression checks an expression. The node is the operand list of "or", the operator with the lowest precedence.
func (c *checker) expression(node *exprNode) *expression {
	left := c.and(node.Left)
	for _, next := range node.Rest {
		c.expectType(left, typeBool, "the left side of or")
		right := c.expectType(c.and(next), typeBool, "the right side of or")
		left = boolExpression(expressionOr, left.position, left, right)
	}
	return left
}

func (c *checker) and(node *andNode) *expression {
	left := c.not(node.Left)
	for _, next := range node.Rest {
		c.expectType(left, typeBool, "the left side of and")
		right := c.expectType(c.not(next), typeBool, "the right side of and")
		left = boolExpression(expressionAnd, left.position, left, right)
	}
	return left
}

func (c *checker) not(node *notNode) *expression {
	if node.Not == nil {
		return c.compare(node.Comp)
	}
	operand := c.expectType(c.not(node.Not), typeBool, "the operand of not")
	return boolExpression(expressionNot, node.Pos, operand)
}

func boolExpression(kind expressionKind, at lexer.Position, operands ...*expression) *expression {
	return &expression{kind: kind, valueType: typeBool, operands: operands, position: at}
}

// compare checks a comparison, or a membership test with "in".
func (c *checker) compare(node *compareNode) *expression {
	left := c.sum(node.Left)
	if node.Op == "" {
		return left
	}
	right := c.sum(node.Right)
	if left.isInvalid() || right.isInvalid() {
		return invalidExpression(node.Pos)
	}
	if !isComparable(node.Op, left.valueType, right.valueType) {
		c.report(node.Pos, "%s %s %s is not defined; the operand types must match and support this operator",
			left.valueType, node.Op, right.valueType)
		return invalidExpression(node.Pos)
	}
	if node.Op == "in" {
		return boolExpression(expressionIn, node.Pos, left, right)
	}
	e := boolExpression(expressionCompare, node.Pos, left, right)
	e.operator = node.Op
	return e
}

// isComparable reports whether a comparison operator, or "in", is defined for the types of its operands.
func isComparable(operator string, left, right *valueType) bool {
	switch operator {
	case "in":
		return mayContain(right, left)
	case "==", "!=":
		return left.isSame(right) && left.isScalar()
	default:
		return left.isSame(right) && left.isOrdered()
	}
}

// mayContain reports whether "in" is defined for the types of a container and an element.
func mayContain(container, element *valueType) bool {
	switch container.kind {
	case kindText, kindMap:
		return element == typeText
	case kindList:
		return container.element.isSame(element) && element.isScalar()
	default:
		return false
	}
}

func (c *checker) sum(node *sumNode) *expression {
	left := c.product(node.Left)
	for _, next := range node.Rest {
		left = c.arithmetic(next.Pos, next.Op, left, c.product(next.Right))
	}
	return left
}

func (c *checker) product(node *productNode) *expression {
	left := c.unary(node.Left)
	for _, next := range node.Rest {
		left = c.arithmetic(next.Pos, next.Op, left, c.unary(next.Right))
	}
	return left
}

// operation is an arithmetic operator with the types of its operands.
type operation struct {
	left     *valueType
	operator string
	right    *valueType
}

// arithmeticResults lists the supported operations and the types of their results.
var arithmeticResults = map[operation]*valueType{
	{typeInt, "+", typeInt}: typeInt,
	{typeInt, "-", typeInt}: typeInt,
	{typeInt, "*", typeInt}: typeInt,
	{typeInt, "/", typeInt}: typeInt,
	{typeInt, "%", typeInt}: typeInt,

	{typeFloat, "+", typeFloat}: typeFloat,
	{typeFloat, "-", typeFloat}: typeFloat,
	{typeFloat, "*", typeFloat}: typeFloat,
	{typeFloat, "/", typeFloat}: typeFloat,

	{typeText, "+", typeText}: typeText,

	{typeDuration, "+", typeDuration}: typeDuration,
	{typeDuration, "-", typeDuration}: typeDuration,
	{typeDuration, "*", typeInt}:      typeDuration,
	{typeInt, "*", typeDuration}:      typeDuration,
	{typeDuration, "/", typeInt}:      typeDuration,
	{typeDuration, "/", typeDuration}: typeFloat,

	{typeTime, "+", typeDuration}: typeTime,
	{typeTime, "-", typeDuration}: typeTime,
	{typeTime, "-", typeTime}:     typeDuration,
}

func (c *checker) arithmetic(at lexer.Position, operator string, left, right *expression) *expression {
	if left.isInvalid() || right.isInvalid() {
		return invalidExpression(at)
	}
	result := arithmeticResults[operation{left.valueType, operator, right.valueType}]
	if result == nil {
		c.report(at, "%s %s %s is not defined%s", left.valueType, operator, right.valueType,
			conversionHint(left.valueType, right.valueType))
		return invalidExpression(at)
	}
	return &expression{
		kind:      expressionArithmetic,
		valueType: result,
		operator:  operator,
		operands:  []*expression{left, right},
		position:  left.position,
	}
}

// conversionHint returns a hint for a diagnostic: how to combine an int with a float. The hint is
// "" for other types.
func conversionHint(left, right *valueType) string {
	intAndFloat := left == typeInt && right == typeFloat
	floatAndInt := left == typeFloat && right == typeInt
	if intAndFloat || floatAndInt {
		return "; float(...) converts an int to a float"
	}
	return ""
}

// unary checks a negation. The negation of a constant is a constant.
func (c *checker) unary(node *unaryNode) *expression {
	if node.Minus == nil {
		return c.postfix(node.Value)
	}
	operand := c.unary(node.Minus)
	if operand.isInvalid() {
		return operand
	}
	if !operand.valueType.isSigned() {
		c.report(node.Pos, "-%s is not defined", operand.valueType)
		return invalidExpression(node.Pos)
	}
	e := &expression{valueType: operand.valueType, position: node.Pos}
	switch {
	case operand.kind != expressionConstant:
		e.kind = expressionNegate
		e.operands = []*expression{operand}
	case operand.valueType == typeFloat:
		e.constant = floatValue(-operand.constant.float())
	default:
		e.constant = intValue(-operand.constant.number)
	}
	return e
}
