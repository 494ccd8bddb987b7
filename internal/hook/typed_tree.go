package hook

import (
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// checkedProgram is the typed tree, the result of the checker. Every name is resolved, and every expression
// has a type. The compiler translates the typed tree to bytecode.
type checkedProgram struct {
	functions []*function
	hooks     map[string]int // indexes in functions, by kind of event
	states    []State
	zones     []*time.Location
}

// function is a function or a hook of a program. A hook has no parameters and no result.
type function struct {
	name       string
	parameters []*valueType
	result     *valueType
	slots      int // number of slots for variables; the parameters come first
	body       []*statement
	hook       string // the kind of event of a hook; "" for a function
	uses       featureUses
}

// statementKind is the kind of a statement. It determines which fields of the statement are set.
type statementKind uint8

const (
	statementAssign      statementKind = iota // slot = value
	statementAssignIndex                      // container[index] = value
	statementIf                               // condition, body, elseBody
	statementWhile                            // condition, body
	statementForRange                         // slot (the next slot is for the bound), from, to, body
	statementForEach                          // slot (the next two slots are for the list and the position), value, body
	statementReturn                           // value, or nil
	statementBreak
	statementContinue
	statementExpression // value
)

type statement struct {
	kind      statementKind
	slot      int
	condition *expression
	container *expression
	index     *expression
	from, to  *expression
	value     *expression
	body      []*statement
	elseBody  []*statement
	position  lexer.Position
}

// expressionKind is the kind of an expression. It determines which fields are set in addition to the type,
// the position and the operands.
type expressionKind uint8

const (
	expressionConstant expressionKind = iota // constant
	expressionVariable                       // index: slot of the variable
	expressionField                          // index: field of the event
	expressionAnd
	expressionOr
	expressionNot
	expressionNegate
	expressionArithmetic // operator
	expressionCompare    // operator
	expressionIn
	expressionIndex
	expressionCall    // index: function of the program
	expressionBuiltin // index: entry of builtins
	expressionState   // index: state; operator: value, add or forget
	expressionList
	expressionMap
)

type expression struct {
	kind      expressionKind
	valueType *valueType // nil: the expression is invalid, and a diagnostic was reported
	operator  string
	index     int
	operands  []*expression
	constant  value
	position  lexer.Position
}

// invalidExpression returns the expression that replaces an expression with a diagnostic, so that no second
// diagnostic is reported for the same mistake.
func invalidExpression(at lexer.Position) *expression { return &expression{position: at} }

func (e *expression) isInvalid() bool { return e.valueType == nil }

// isCall reports whether evaluating the expression may have an effect.
func (e *expression) isCall() bool {
	return e.kind == expressionCall || e.kind == expressionBuiltin || e.kind == expressionState
}
