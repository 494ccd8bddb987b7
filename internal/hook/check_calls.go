package hook

import (
	"slices"
	"time"
	_ "time/tzdata" // the same calendar on every machine
)

// The functions of the declared state. Their first argument is a state's name, which is no value.
const (
	stateValue  = "value"  // value(s), value(m, key)
	stateAdd    = "add"    // add(s, n), add(m, key, n)
	stateForget = "forget" // forget(m, key)
)

func isStateFunction(name string) bool {
	return name == stateValue || name == stateAdd || name == stateForget
}

// call checks the call of a function: of the program, built in, or of the state.
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
	if number, ok := c.functionNumbers[node.Name]; ok {
		return c.functionCall(node, e, number, types, valid)
	}
	number, ok := builtinNumber(node.Name)
	if !ok {
		c.fail(node.Pos, "there is no function %q", node.Name)
		return invalidExpression(node.Pos)
	}
	if !valid {
		return invalidExpression(node.Pos)
	}
	return c.builtinCall(node, e, number, types)
}

// functionCall completes a call of a function of the program. The types are only compared if all
// arguments are valid.
func (c *checker) functionCall(node *callNode, e *expression, number int, types []*valueType, valid bool) *expression {
	called := c.program.functions[number]
	e.kind = expressionCall
	e.number = number
	e.valueType = called.result
	c.function.uses[feature{name: node.Name, isCall: true}] = node.Pos
	if valid && !areSameTypes(types, called.parameters) {
		c.fail(node.Pos, "%s takes %v; these are %v", node.Name, called.parameters, types)
	}
	return e
}

func areSameTypes(a, b []*valueType) bool {
	return slices.EqualFunc(a, b, (*valueType).isSame)
}

// builtinCall completes a call of a built-in function.
func (c *checker) builtinCall(node *callNode, e *expression, number int, types []*valueType) *expression {
	called := &builtins[number]
	e.kind = expressionBuiltin
	e.number = number
	e.valueType = called.signature.resultFor(types)
	if e.valueType == nil {
		c.fail(node.Pos, "%s takes %s; these are %v", node.Name, called.signature.description(), types)
		return invalidExpression(node.Pos)
	}
	if called.hooks != 0 {
		c.function.uses[feature{name: node.Name, hooks: called.hooks}] = node.Pos
	}
	if called.takesZone {
		c.resolveZone(e.operands[len(e.operands)-1])
	}
	return e
}

// resolveZone replaces a time zone's name by its number in the program. The name has to be a
// constant, as a run must not read files.
func (c *checker) resolveZone(operand *expression) {
	if operand.kind != expressionConstant {
		c.fail(operand.position, "a time zone's name is meant that is known beforehand, such as \"Australia/Brisbane\"")
		return
	}
	name := operand.constant.text
	number, known := c.zoneNumbers[name]
	if !known {
		location, err := time.LoadLocation(name)
		if err != nil || name == "" || name == "Local" {
			c.fail(operand.position, "there is no time zone %q: one such as \"Australia/Brisbane\" or \"UTC\" is meant", name)
			return
		}
		number = len(c.program.zones)
		c.zoneNumbers[name] = number
		c.program.zones = append(c.program.zones, location)
	}
	operand.valueType = typeInt
	operand.constant = intValue(int64(number))
}

// stateCall checks a call of value, add or forget.
func (c *checker) stateCall(node *callNode) *expression {
	number, ok := c.stateArgument(node)
	if !ok {
		c.fail(node.Pos, "%s takes a state first, as \"state NAME: counter\" declares one", node.Name)
		return invalidExpression(node.Pos)
	}
	state := &c.program.states[number]
	if node.Name == stateForget && !state.isMap() {
		c.fail(node.Pos, "%s is a counter and has no entries", state.Name)
		return invalidExpression(node.Pos)
	}
	e := &expression{
		kind:      expressionState,
		valueType: typeInt,
		number:    number,
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
		c.fail(node.Pos, "%s of %s takes %d more, %v", node.Name, state.Name, len(parameters), parameters)
		return invalidExpression(node.Pos)
	}
	for i, operand := range e.operands {
		c.expectType(operand, parameters[i], "this")
	}
	return e
}

// stateArgument returns the number of the state that is a call's first argument.
func (c *checker) stateArgument(node *callNode) (number int, ok bool) {
	if len(node.Args) == 0 {
		return 0, false
	}
	number, ok = c.stateNumbers[node.Args[0].plainName()]
	return number, ok
}

// stateParameters returns the types of the arguments after the state.
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

// plainName returns the name that an expression consists of, "" if it is more than that.
func (n *exprNode) plainName() string {
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
