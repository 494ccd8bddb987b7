package hook

import (
	"sort"

	"github.com/alecthomas/participle/v2/lexer"
)

// checker resolves the names of a program and types its expressions. It continues after a
// diagnostic, so that one run reports all of them.
type checker struct {
	file        string
	source      string
	diagnostics Errors
	program     *checkedProgram

	// Symbols of the program's declarations.
	constants       map[string]*expression
	functionNumbers map[string]int
	stateNumbers    map[string]int
	zoneNumbers     map[string]int

	// The function that is being checked.
	function  *function
	scopes    []scope
	loopDepth int
}

// check returns the checked program, or its diagnostics as Errors.
func check(file, source string, tree *fileNode) (*checkedProgram, error) {
	c := &checker{
		file:            file,
		source:          source,
		program:         &checkedProgram{hooks: make(map[string]int)},
		constants:       make(map[string]*expression),
		functionNumbers: make(map[string]int),
		stateNumbers:    make(map[string]int),
		zoneNumbers:     make(map[string]int),
	}
	// Functions may call those that are declared after them: all declarations come before the first body.
	bodies := c.declareAll(tree.Decls)
	for number, body := range bodies {
		c.checkBody(c.program.functions[number], body)
	}
	if len(c.program.hooks) == 0 && len(c.diagnostics) == 0 {
		at := lexer.Position{Line: 1, Column: 1}
		c.fail(at, "the program has no hook: \"on request { ... }\", outcome or member is meant")
	}
	c.checkFeatureUses()
	if len(c.diagnostics) > 0 {
		sort.SliceStable(c.diagnostics, func(i, j int) bool { return c.diagnostics[i].Line < c.diagnostics[j].Line })
		return nil, c.diagnostics
	}
	return c.program, nil
}

// fail reports a diagnostic, if it is not one too many.
func (c *checker) fail(at lexer.Position, format string, args ...any) {
	if len(c.diagnostics) < maxDiagnostics {
		c.diagnostics = append(c.diagnostics, newError(c.file, c.source, at, format, args...))
	}
}

// expectType reports a diagnostic unless an expression is of a type. It returns the expression.
func (c *checker) expectType(e *expression, want *valueType, what string) *expression {
	if !e.isInvalid() && !e.valueType.isSame(want) {
		c.fail(e.position, "%s is %s; %s is meant", what, e.valueType, want)
	}
	return e
}
