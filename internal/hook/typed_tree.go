package hook

import (
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// checkedProgram is what the checker makes of a syntax tree: every name is resolved, and every
// expression has its type. The compiler makes bytecode of it.
type checkedProgram struct {
	functions []*function
	hooks     map[string]int // index in functions by kind of event
	states    []State
	zones     []*time.Location
}

// function is a function or a hook. A hook has no parameters and no result.
type function struct {
	name       string
	parameters []*valueType
	result     *valueType
	slots      int // variables; parameters come first
	body       []*statement
	hook       string // the hook's kind of event; "" for a function
	uses       featureUses
}

// statementKind says which fields of a statement are set.
type statementKind uint8

const (
	statementAssign      statementKind = iota // slot = value
	statementAssignIndex                      // container[index] = value
	statementIf                               // condition, body, orElse
	statementWhile                            // condition, body
	statementForRange                         // slot (and the bound's after it), from, to, body
	statementForEach                          // slot (and the list's and the position's after it), value, body
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
	orElse    []*statement
	position  lexer.Position
}

// expressionKind says which fields of an expression are set, beside its type.
type expressionKind uint8

const (
	expressionConstant expressionKind = iota // constant
	expressionVariable                       // number: slot
	expressionField                          // number: of the event's field
	expressionAnd
	expressionOr
	expressionNot
	expressionNegate
	expressionArithmetic // operator
	expressionCompare    // operator
	expressionIn
	expressionIndex
	expressionCall    // number: of the function
	expressionBuiltin // number: of the built-in function
	expressionState   // number: of the state; operator: value, add or forget
	expressionList
	expressionMap
)

type expression struct {
	kind      expressionKind
	valueType *valueType // nil: a diagnostic was reported for it
	operator  string
	number    int
	operands  []*expression
	constant  value
	position  lexer.Position
}

// invalidExpression stands for an expression with a diagnostic, so that no second one is reported for it.
func invalidExpression(at lexer.Position) *expression { return &expression{position: at} }

func (e *expression) isInvalid() bool { return e.valueType == nil }

// isCall reports whether evaluating the expression may have an effect.
func (e *expression) isCall() bool {
	return e.kind == expressionCall || e.kind == expressionBuiltin || e.kind == expressionState
}
