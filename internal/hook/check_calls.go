package hook

import (
	"slices"
	"time"
	_ "time/tzdata" // embeds the time zones, so that every machine uses the same calendar
)

// The functions of the declared state. Their first argument is the name of a state, which is not an
// expression.
const (
	stateValue  = "value"  // value(s), value(m, key)
	stateAdd    = "add"    // add(s, n), add(m, key, n)
	stateForget = "forget" // forget(m, key)
)

func isStateFunction(name string) bool {
	return name == stateValue || name == stateAdd || name == stateForget
}

// call checks a call of a function of the program, of a built-in function or of a function of the state.
func (c *checker) call(node *callNode) *expression {
	if isStateFunction(node.Name) {
		return c.stateCall(node)
	}
	e := &expression{position: node.Pos}
	var types []*valueType
	valid := true
	for _, argument := range node.Args {
		operand := c.expression(argument)
		e.operands = append(e.operands, operand)
		types = append(types, operand.valueType)
		valid = valid && !operand.isInvalid()
	}
	if index, ok := c.functionIndexes[node.Name]; ok {
		return c.functionCall(node, e, index, types, valid)
	}
	index, ok := builtinIndex(node.Name)
	if !ok {
		c.report(node.Pos, "unknown function %q", node.Name)
		return invalidExpression(node.Pos)
	}
	if !valid {
		return invalidExpression(node.Pos)
	}
	return c.builtinCall(node, e, index, types)
}

// functionCall completes the expression of a call of a function of the program. It compares the types
// of the arguments only if all arguments are valid.
func (c *checker) functionCall(node *callNode, e *expression, index int, types []*valueType, valid bool) *expression {
	callee := c.program.functions[index]
	e.kind = expressionCall
	e.index = index
	e.valueType = callee.result
	c.function.uses[feature{name: node.Name, isCall: true}] = node.Pos
	if valid && !areSameTypes(types, callee.parameters) {
		c.report(node.Pos, "%s takes %v, got %v", node.Name, callee.parameters, types)
	}
	return e
}

func areSameTypes(a, b []*valueType) bool {
	return slices.EqualFunc(a, b, (*valueType).isSame)
}

// builtinCall completes the expression of a call of a built-in function.
func (c *checker) builtinCall(node *callNode, e *expression, index int, types []*valueType) *expression {
	callee := &builtins[index]
	e.kind = expressionBuiltin
	e.index = index
	e.valueType = callee.signature.resultFor(types)
	if e.valueType == nil {
		c.report(node.Pos, "%s takes %s, got %v", node.Name, callee.signature.description(), types)
		return invalidExpression(node.Pos)
	}
	if callee.hooks != 0 {
		c.function.uses[feature{name: node.Name, hooks: callee.hooks}] = node.Pos
	}
	if callee.takesZone {
		c.resolveZone(e.operands[len(e.operands)-1])
	}
	return e
}

// resolveZone replaces the name of a time zone by the zone's index in the program. The name must be a
// constant, because a run must not read files.
func (c *checker) resolveZone(operand *expression) {
	if operand.kind != expressionConstant {
		c.report(operand.position, "the name of the time zone must be a constant, such as \"Australia/Brisbane\"")
		return
	}
	name := operand.constant.text
	index, known := c.zoneIndexes[name]
	if !known {
		location, err := time.LoadLocation(name)
		if err != nil || name == "" || name == "Local" {
			c.report(operand.position, "unknown time zone %q; use a name such as \"Australia/Brisbane\" or \"UTC\"", name)
			return
		}
		index = len(c.program.zones)
		c.zoneIndexes[name] = index
		c.program.zones = append(c.program.zones, location)
	}
	operand.valueType = typeInt
	operand.constant = intValue(int64(index))
}

// stateCall checks a call of value, add or forget.
func (c *checker) stateCall(node *callNode) *expression {
	index, ok := c.stateArgument(node)
	if !ok {
		c.report(node.Pos, "the first argument of %s must be a state; \"state NAME: counter\" declares one", node.Name)
		return invalidExpression(node.Pos)
	}
	state := &c.program.states[index]
	if node.Name == stateForget && !state.isMap() {
		c.report(node.Pos, "%s is a counter and has no entries", state.Name)
		return invalidExpression(node.Pos)
	}
	e := &expression{
		kind:      expressionState,
		valueType: typeInt,
		index:     index,
		operator:  node.Name,
		position:  node.Pos,
	}
	if node.Name == stateForget {
		e.valueType = typeNone
	}
	for _, argument := range node.Args[1:] {
		e.operands = append(e.operands, c.expression(argument))
	}
	parameters := stateParameters(node.Name, state)
	if len(e.operands) != len(parameters) {
		c.report(node.Pos, "%s of %s takes %d argument(s) after the state: %v",
			node.Name, state.Name, len(parameters), parameters)
		return invalidExpression(node.Pos)
	}
	for i, operand := range e.operands {
		c.expectType(operand, parameters[i], "this")
	}
	return e
}

// stateArgument returns the index of the state that is the first argument of a call.
func (c *checker) stateArgument(node *callNode) (index int, ok bool) {
	if len(node.Args) == 0 {
		return 0, false
	}
	index, ok = c.stateIndexes[node.Args[0].identifier()]
	return index, ok
}

// stateParameters returns the types of the arguments that follow the name of the state.
func stateParameters(name string, state *State) []*valueType {
	var parameters []*valueType
	if state.isMap() {
		parameters = append(parameters, typeText)
	}
	if name == stateAdd {
		parameters = append(parameters, typeInt)
	}
	return parameters
}

// identifier returns the name if an expression consists of a single name, otherwise "".
func (n *exprNode) identifier() string {
	negation := n.Left.Left
	if len(n.Rest) > 0 || len(n.Left.Rest) > 0 || negation.Not != nil {
		return ""
	}
	comparison := negation.Comp
	if comparison.Op != "" || len(comparison.Left.Rest) > 0 || len(comparison.Left.Left.Rest) > 0 {
		return ""
	}
	operand := comparison.Left.Left.Left
	if operand.Minus != nil || len(operand.Value.Rest) > 0 {
		return ""
	}
	return operand.Value.Value.Name
}
