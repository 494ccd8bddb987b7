package hook

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// day is the length of the unit d, which time.ParseDuration does not support.
const day = 24 * time.Hour

// functionBody is the part of a function or hook that is checked after all declarations have been checked.
type functionBody struct {
	parameters []*paramNode
	block      *blockNode
}

// declareAll checks the declarations and returns the function bodies, in the order of checkedProgram.functions.
func (c *checker) declareAll(declarations []*declNode) []functionBody {
	var bodies []functionBody
	for _, declaration := range declarations {
		switch {
		case declaration.Const != nil:
			c.declareConstant(declaration.Pos, declaration.Const)
		case declaration.State != nil:
			c.declareState(declaration.Pos, declaration.State)
		case declaration.Func != nil:
			c.declareFunction(declaration.Pos, declaration.Func)
			bodies = append(bodies, functionBody{declaration.Func.Params, declaration.Func.Body})
		case declaration.Hook != nil:
			c.declareHook(declaration.Pos, declaration.Hook)
			bodies = append(bodies, functionBody{nil, declaration.Hook.Body})
		}
	}
	return bodies
}

func (c *checker) declareConstant(at lexer.Position, node *constNode) {
	c.checkNameFree(at, node.Name)
	c.function = &function{uses: make(featureUses)}
	c.scopes = nil
	e := c.expression(node.Value)
	if e.kind != expressionConstant && !e.isInvalid() {
		c.report(node.Value.Pos, "the value of a constant must be a plain literal or another constant")
	}
	c.constants[node.Name] = e
}

func (c *checker) declareState(at lexer.Position, node *stateNode) {
	c.checkNameFree(at, node.Name)
	state := State{Name: node.Name}
	if !node.Counter {
		state.MaxEntries, _ = strconv.Atoi(*node.Most) // an overflow yields the maximum int, which is out of bounds
		state.MaxAge, _ = parseDuration(*node.Age)
		if !isWithinBounds(state) {
			c.report(at, "a map of %s entries for %s is out of bounds: a map must have 1 to %d entries and an age of up to 30d",
				*node.Most, *node.Age, MaxEntries)
		}
	}
	if len(c.program.states) == MaxStates {
		c.report(at, "a program may have at most %d states", MaxStates)
	}
	c.stateIndexes[state.Name] = len(c.program.states)
	c.program.states = append(c.program.states, state)
}

// isWithinBounds reports whether the number of entries and the age that a map declares are allowed.
func isWithinBounds(state State) bool {
	sizeAllowed := state.MaxEntries >= 1 && state.MaxEntries <= MaxEntries
	ageAllowed := state.MaxAge > 0 && state.MaxAge <= MaxEntryAge
	return sizeAllowed && ageAllowed
}

func (c *checker) declareFunction(at lexer.Position, node *funcNode) {
	c.checkNameFree(at, node.Name)
	f := &function{name: node.Name, result: typeNone, uses: make(featureUses)}
	for _, parameter := range node.Params {
		f.parameters = append(f.parameters, c.resolveType(parameter.Type))
	}
	if node.Result != nil {
		f.result = c.resolveType(node.Result)
	}
	c.functionIndexes[f.name] = len(c.program.functions)
	c.program.functions = append(c.program.functions, f)
}

func (c *checker) declareHook(at lexer.Position, node *hookNode) {
	if _, known := eventFields[node.Name]; !known {
		c.report(at, "unknown hook %q; must be request, outcome or member", node.Name)
	}
	if _, exists := c.program.hooks[node.Name]; exists {
		c.report(at, "hook %q is declared twice", node.Name)
	}
	c.program.hooks[node.Name] = len(c.program.functions)
	c.program.functions = append(c.program.functions, &function{
		name:   "on " + node.Name,
		hook:   node.Name,
		result: typeNone,
		uses:   make(featureUses),
	})
}

// resolveType returns the type that a node names. For an unknown type it reports a diagnostic and
// returns int, so that the check can continue.
func (c *checker) resolveType(node *typeNode) *valueType {
	switch {
	case node.List != nil:
		return listOf(c.resolveType(node.List))
	case node.Map != nil:
		return mapOf(c.resolveType(node.Map))
	}
	if t := namedTypes[node.Name]; t != nil {
		return t
	}
	c.report(node.Pos, "unknown type %q; must be bool, int, float, text, duration, time, list[...] or map[...]",
		node.Name)
	return typeInt
}

// checkBody checks the body of a function or hook and sets f.body.
func (c *checker) checkBody(f *function, body functionBody) {
	c.function = f
	c.loopDepth = 0
	c.scopes = nil
	c.openScope()
	for i, parameter := range body.parameters {
		c.declareVariable(parameter.Pos, parameter.Name, f.parameters[i], false)
	}
	f.body = c.block(body.block)
	if f.result != typeNone && !alwaysReturns(f.body) {
		c.report(body.block.EndPos, "%s must return %s on every path", f.name, f.result)
	}
}

// alwaysReturns reports whether every path through the statements ends in a return.
func alwaysReturns(body []*statement) bool {
	for _, s := range body {
		if s.kind == statementReturn {
			return true
		}
		hasElse := s.kind == statementIf && s.elseBody != nil
		if hasElse && alwaysReturns(s.body) && alwaysReturns(s.elseBody) {
			return true
		}
	}
	return false
}

// parseDuration parses a duration literal: a duration in the syntax of Go, or a number of days such as "7d".
func parseDuration(text string) (time.Duration, error) {
	days, isDays := strings.CutSuffix(text, "d")
	if !isDays {
		return time.ParseDuration(text)
	}
	n, err := strconv.ParseInt(days, 10, 64)
	if err != nil || n > math.MaxInt64/int64(day) {
		return 0, fmt.Errorf("duration %s is out of range", text)
	}
	return time.Duration(n) * day, nil
}
