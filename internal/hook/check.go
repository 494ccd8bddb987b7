package hook

import (
	"sort"

	"github.com/alecthomas/participle/v2/lexer"
)

// checker resolves the names of a program and determines the types of its expressions. It continues
// after a diagnostic, so that one compilation reports up to maxDiagnostics of them.
type checker struct {
	file        string
	source      string
	diagnostics Errors
	program     *checkedProgram

	// The symbols that the program declares, by name.
	constants       map[string]*expression
	functionIndexes map[string]int
	stateIndexes    map[string]int
	zoneIndexes     map[string]int

	// The fields for the function that is being checked.
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
		functionIndexes: make(map[string]int),
		stateIndexes:    make(map[string]int),
		zoneIndexes:     make(map[string]int),
	}
	// A function may call a function that is declared later, so all declarations are checked before any body.
	bodies := c.declareAll(tree.Decls)
	for index, body := range bodies {
		c.checkBody(c.program.functions[index], body)
	}
	if len(c.program.hooks) == 0 && len(c.diagnostics) == 0 {
		at := lexer.Position{Line: 1, Column: 1}
		c.report(at,
			"the program has no hook; declare \"on request { ... }\", \"on outcome { ... }\" or \"on member { ... }\"")
	}
	c.checkFeatureUses()
	if len(c.diagnostics) > 0 {
		sort.SliceStable(c.diagnostics, func(i, j int) bool { return c.diagnostics[i].Line < c.diagnostics[j].Line })
		return nil, c.diagnostics
	}
	return c.program, nil
}

// report adds a diagnostic, unless maxDiagnostics have been reported already.
func (c *checker) report(at lexer.Position, format string, args ...any) {
	if len(c.diagnostics) < maxDiagnostics {
		c.diagnostics = append(c.diagnostics, newError(c.file, c.source, at, format, args...))
	}
}

// expectType reports a diagnostic if an expression does not have the wanted type. what names the
// expression in the diagnostic. It returns the expression.
func (c *checker) expectType(e *expression, want *valueType, what string) *expression {
	if !e.isInvalid() && !e.valueType.isSame(want) {
		c.report(e.position, "%s must be %[3]s, got %[2]s", what, e.valueType, want)
	}
	return e
}
