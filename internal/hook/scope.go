package hook

import "github.com/alecthomas/participle/v2/lexer"

// eventName is the name by which a program refers to the event.
const eventName = "event"

// variable is a variable in a scope.
type variable struct {
	slot      int
	valueType *valueType
	readOnly  bool
}

// scope maps names to the variables of a block.
type scope map[string]variable

func (c *checker) openScope() { c.scopes = append(c.scopes, make(scope)) }

func (c *checker) closeScope() { c.scopes = c.scopes[:len(c.scopes)-1] }

// declareVariable adds a variable to the innermost scope and returns its slot.
func (c *checker) declareVariable(at lexer.Position, name string, t *valueType, readOnly bool) int {
	c.checkNameFree(at, name)
	innermost := c.scopes[len(c.scopes)-1]
	if _, exists := innermost[name]; exists {
		c.report(at, "%q is already declared", name)
	}
	slot := c.reserveSlots(1)
	innermost[name] = variable{slot: slot, valueType: t, readOnly: readOnly}
	return slot
}

// reserveSlots reserves slots in the frame of the function being checked and returns the first slot.
func (c *checker) reserveSlots(count int) int {
	first := c.function.slots
	c.function.slots += count
	return first
}

// lookUp finds a variable by name. It searches the innermost scope first.
func (c *checker) lookUp(name string) (variable, bool) {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if found, ok := c.scopes[i][name]; ok {
			return found, true
		}
	}
	return variable{}, false
}

// checkNameFree reports a diagnostic if a name that is to be declared is a keyword or is already defined
// by the language or the program.
func (c *checker) checkNameFree(at lexer.Position, name string) {
	switch {
	case keywords[name]:
		c.report(at, "%q is a keyword and cannot be used as a name", name)
	case isPredeclared(name):
		c.report(at, "%q is already defined by the language", name)
	case c.isDeclared(name):
		c.report(at, "%q is already declared", name)
	}
}

// isPredeclared reports whether the language itself defines a name.
func isPredeclared(name string) bool {
	if name == eventName || isStateFunction(name) || namedTypes[name] != nil {
		return true
	}
	_, isBuiltin := builtinIndex(name)
	return isBuiltin
}

// isDeclared reports whether the program declares a constant, function or state with a name.
func (c *checker) isDeclared(name string) bool {
	_, isConstant := c.constants[name]
	_, isFunction := c.functionIndexes[name]
	_, isState := c.stateIndexes[name]
	return isConstant || isFunction || isState
}
