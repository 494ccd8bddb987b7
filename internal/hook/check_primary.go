package hook

import (
	"slices"
	"strconv"
	"strings"
)

// postfix checks an operand with its suffixes: indexes, or a field of the event.
func (c *checker) postfix(node *postfixNode) *expression {
	if node.Value.Name == eventName {
		if len(node.Rest) != 1 || node.Rest[0].Field == "" {
			c.report(node.Pos, "event must be followed by the name of a field, such as event.class")
			return invalidExpression(node.Pos)
		}
		return c.field(node.Rest[0])
	}
	e := c.primary(node.Value)
	for _, next := range node.Rest {
		if e.isInvalid() {
			return e
		}
		e = c.index(e, next)
	}
	return e
}

// index checks an access to an entry of a list or map.
func (c *checker) index(container *expression, node *suffix) *expression {
	if node.Field != "" {
		c.report(node.Pos, "%s has no fields; only event has fields", container.valueType)
		return invalidExpression(node.Pos)
	}
	index := c.expression(node.Index)
	switch container.valueType.kind {
	case kindList:
		c.expectType(index, typeInt, "a list index")
	case kindMap:
		c.expectType(index, typeText, "a map key")
	default:
		c.report(node.Pos, "%s cannot be indexed; only lists and maps can be indexed", container.valueType)
		return invalidExpression(node.Pos)
	}
	return &expression{
		kind:      expressionIndex,
		valueType: container.valueType.element,
		operands:  []*expression{container, index},
		position:  node.Pos,
	}
}

// field checks event.NAME. Every hook that calls a function must have the fields that the function
// reads, with the same type and index.
func (c *checker) field(node *suffix) *expression {
	var e *expression
	var hooks hookSet
	for _, kind := range hookKinds {
		if !c.mayRunFor(kind) {
			continue
		}
		for index, field := range eventFields[kind] {
			if field.name != node.Field {
				continue
			}
			if e == nil {
				e = &expression{kind: expressionField, valueType: field.valueType, index: index, position: node.Pos}
			}
			if e.index == index && e.valueType == field.valueType {
				hooks |= hookSetOf(kind)
			}
		}
	}
	if e == nil {
		c.report(node.Pos, "the event has no field %q here; its fields are %s",
			node.Field, strings.Join(c.fieldNames(), ", "))
		return invalidExpression(node.Pos)
	}
	c.function.uses[feature{name: eventName + "." + node.Field, hooks: hooks}] = node.Pos
	return e
}

// mayRunFor reports whether the function that is being checked may run for a kind of event: a hook runs
// for its own kind, any other function for all kinds.
func (c *checker) mayRunFor(kind string) bool {
	return c.function.hook == "" || c.function.hook == kind
}

// fieldNames returns the sorted names of the event fields that the function being checked may use.
func (c *checker) fieldNames() []string {
	var names []string
	for kind, fields := range eventFields {
		for _, field := range fields {
			if c.mayRunFor(kind) && !slices.Contains(names, field.name) {
				names = append(names, field.name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// primary checks an operand: a literal, a list or map, a call, a name or an expression in parentheses.
func (c *checker) primary(node *primaryNode) *expression {
	switch {
	case node.List != nil:
		return c.list(node.List)
	case node.Map != nil:
		t := mapOf(c.resolveType(node.Map.Type))
		return &expression{kind: expressionMap, valueType: t, position: node.Pos}
	case node.Call != nil:
		return c.call(node.Call)
	case node.Paren != nil:
		return c.expression(node.Paren)
	case node.Name != "":
		return c.name(node)
	}
	t, constant, err := literal(node)
	if err != nil {
		c.report(node.Pos, "invalid literal: %v", err)
		return invalidExpression(node.Pos)
	}
	return &expression{kind: expressionConstant, valueType: t, constant: constant, position: node.Pos}
}

// literal returns the value of a literal, or an error if the value does not fit its type.
func literal(node *primaryNode) (*valueType, value, error) {
	switch {
	case node.Duration != nil:
		d, err := parseDuration(*node.Duration)
		return typeDuration, intValue(int64(d)), err
	case node.Float != nil:
		f, err := strconv.ParseFloat(*node.Float, 64)
		return typeFloat, floatValue(f), err
	case node.Int != nil:
		n, err := strconv.ParseInt(*node.Int, 10, 64)
		return typeInt, intValue(n), err
	case node.Text != nil:
		text, err := strconv.Unquote(*node.Text)
		return typeText, textValue(text), err
	default:
		return typeBool, boolValue(node.True), nil
	}
}

// name checks a name that is used as a value. It must be a variable or a constant.
func (c *checker) name(node *primaryNode) *expression {
	if found, ok := c.lookUp(node.Name); ok {
		return &expression{
			kind:      expressionVariable,
			valueType: found.valueType,
			index:     found.slot,
			position:  node.Pos,
		}
	}
	if constant, ok := c.constants[node.Name]; ok {
		copied := *constant
		copied.position = node.Pos
		return &copied
	}
	_, isState := c.stateIndexes[node.Name]
	switch {
	case isState:
		c.report(node.Pos, "%q is a state; read it with value(%s), or with value(%s, key) for a map",
			node.Name, node.Name, node.Name)
	case keywords[node.Name]:
		c.report(node.Pos, "%q is a keyword, not a value", node.Name)
	default:
		c.report(node.Pos, "unknown variable or constant %q", node.Name)
	}
	return invalidExpression(node.Pos)
}

// list checks a list literal. The first entry determines the type of the entries.
func (c *checker) list(node *listNode) *expression {
	if node.Type != nil {
		return &expression{kind: expressionList, valueType: listOf(c.resolveType(node.Type)), position: node.Pos}
	}
	e := &expression{kind: expressionList, position: node.Pos}
	var element *valueType
	for i, item := range node.Items {
		entry := c.expression(item)
		if i == 0 {
			element = entry.valueType
		} else if element != nil {
			c.expectType(entry, element, "a list entry")
		}
		e.operands = append(e.operands, entry)
	}
	switch element {
	case nil:
		return invalidExpression(node.Pos)
	case typeNone:
		c.report(node.Pos, "this expression has no value")
		return invalidExpression(node.Pos)
	default:
		e.valueType = listOf(element)
		return e
	}
}
