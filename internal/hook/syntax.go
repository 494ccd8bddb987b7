// Package hook is the language of plug-ins: small, statically typed, compiled to
// code for a machine that counts what it spends. A program sees its input and
// its declared state, and nothing else: a run of it is a pure function of the
// two, and so is what it costs. The language is described in
// docs/plugins/language.md.
package hook

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Bounds of a source. What is over them is an error of the compiler, so that no
// source can take it long or deep.
const (
	MaxSource  = 64 << 10 // bytes
	maxNesting = 64       // of brackets, blocks and signs
	maxCode    = 16 << 10 // instructions
)

// tokens are what a source is cut into. Like the parser they are made when the
// first plug-in is read, and not before: a daemon without plug-ins does not pay
// for them.
var tokens = sync.OnceValue(func() *lexer.StatefulDefinition {
	return lexer.MustStateful(lexer.Rules{"Root": {
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Space", Pattern: `[ \t\r\n]+`},
		{Name: "Duration", Pattern: `[0-9]+(ms|s|m|h|d)\b`},
		{Name: "Float", Pattern: `[0-9]+\.[0-9]+\b`},
		{Name: "Int", Pattern: `[0-9]+\b`},
		{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Name", Pattern: `[A-Za-z_][A-Za-z0-9_]*`},
		{Name: "Sign", Pattern: `->|\.\.|==|!=|<=|>=|[-+*/%<>=(){}\[\],:.]`},
	}})
})

// keywords are no names.
var keywords = map[string]bool{
	"and": true, "break": true, "const": true, "continue": true, "counter": true, "else": true, "false": true, "fn": true, "for": true, "if": true,
	"in": true, "let": true, "list": true, "map": true, "not": true, "on": true, "or": true, "return": true, "state": true, "true": true, "var": true, "while": true,
}

// The syntax tree. The tags are the grammar, from which docs/plugins/grammar.ebnf
// is made.

type fileNode struct {
	Decls []*declNode `parser:"@@*"`
}

type declNode struct {
	Pos   lexer.Position
	Const *constNode `parser:"( @@"`
	State *stateNode `parser:"| @@"`
	Func  *funcNode  `parser:"| @@"`
	Hook  *hookNode  `parser:"| @@ )"`
}

type constNode struct {
	Pos   lexer.Position
	Name  string    `parser:"'const' @Name '='"`
	Value *exprNode `parser:"@@"`
}

// stateNode declares what is kept from one run to the next: a counter, or a map
// from texts to numbers with a bound and an age.
type stateNode struct {
	Pos     lexer.Position
	Name    string  `parser:"'state' @Name ':'"`
	Counter bool    `parser:"( @'counter'"`
	Most    *string `parser:"| 'map' @Int"`
	Age     *string `parser:"  @Duration )"`
}

type funcNode struct {
	Pos    lexer.Position
	Name   string       `parser:"'fn' @Name '('"`
	Params []*paramNode `parser:"( @@ ( ',' @@ )* )? ')'"`
	Result *typeNode    `parser:"( '->' @@ )?"`
	Body   *blockNode   `parser:"@@"`
}

type paramNode struct {
	Pos  lexer.Position
	Name string    `parser:"@Name ':'"`
	Type *typeNode `parser:"@@"`
}

type typeNode struct {
	Pos  lexer.Position
	List *typeNode `parser:"( 'list' '[' @@ ']'"`
	Map  *typeNode `parser:"| 'map' '[' @@ ']'"`
	Name string    `parser:"| @Name )"`
}

type hookNode struct {
	Pos  lexer.Position
	Name string     `parser:"'on' @Name"`
	Body *blockNode `parser:"@@"`
}

type blockNode struct {
	Pos    lexer.Position
	Stmts  []*stmtNode `parser:"'{' @@* '}'"`
	EndPos lexer.Position
}

type stmtNode struct {
	Pos      lexer.Position
	Let      *letNode    `parser:"( @@"`
	If       *ifNode     `parser:"| @@"`
	While    *whileNode  `parser:"| @@"`
	For      *forNode    `parser:"| @@"`
	Return   *returnNode `parser:"| @@"`
	Break    bool        `parser:"| @'break'"`
	Continue bool        `parser:"| @'continue'"`
	Simple   *simpleNode `parser:"| @@ )"`
}

type letNode struct {
	Pos   lexer.Position
	Var   bool      `parser:"( @'var' | 'let' )"`
	Name  string    `parser:"@Name"`
	Type  *typeNode `parser:"( ':' @@ )? '='"`
	Value *exprNode `parser:"@@"`
}

type ifNode struct {
	Pos    lexer.Position
	Cond   *exprNode  `parser:"'if' @@"`
	Then   *blockNode `parser:"@@"`
	ElseIf *ifNode    `parser:"( 'else' ( @@"`
	Else   *blockNode `parser:"| @@ ) )?"`
}

type whileNode struct {
	Pos  lexer.Position
	Cond *exprNode  `parser:"'while' @@"`
	Body *blockNode `parser:"@@"`
}

type forNode struct {
	Pos  lexer.Position
	Name string     `parser:"'for' @Name 'in'"`
	From *exprNode  `parser:"@@"`
	To   *exprNode  `parser:"( '..' @@ )?"`
	Body *blockNode `parser:"@@"`
}

type returnNode struct {
	Pos   lexer.Position
	Value *exprNode `parser:"'return' @@?"`
}

// simpleNode is a call, or an assignment to what the left side names.
type simpleNode struct {
	Pos   lexer.Position
	Left  *postfixNode `parser:"@@"`
	Value *exprNode    `parser:"( '=' @@ )?"`
}

type exprNode struct {
	Pos  lexer.Position
	Left *andNode   `parser:"@@"`
	Rest []*andNode `parser:"( 'or' @@ )*"`
}

type andNode struct {
	Pos  lexer.Position
	Left *notNode   `parser:"@@"`
	Rest []*notNode `parser:"( 'and' @@ )*"`
}

type notNode struct {
	Pos  lexer.Position
	Not  *notNode     `parser:"( 'not' @@"`
	Comp *compareNode `parser:"| @@ )"`
}

type compareNode struct {
	Pos   lexer.Position
	Left  *sumNode `parser:"@@"`
	Op    string   `parser:"( @( '==' | '!=' | '<=' | '>=' | '<' | '>' | 'in' )"`
	Right *sumNode `parser:"  @@ )?"`
}

type sumNode struct {
	Pos  lexer.Position
	Left *productNode `parser:"@@"`
	Rest []*sumRest   `parser:"@@*"`
}

type sumRest struct {
	Pos   lexer.Position
	Op    string       `parser:"@( '+' | '-' )"`
	Right *productNode `parser:"@@"`
}

type productNode struct {
	Pos  lexer.Position
	Left *unaryNode     `parser:"@@"`
	Rest []*productRest `parser:"@@*"`
}

type productRest struct {
	Pos   lexer.Position
	Op    string     `parser:"@( '*' | '/' | '%' )"`
	Right *unaryNode `parser:"@@"`
}

type unaryNode struct {
	Pos   lexer.Position
	Minus *unaryNode   `parser:"( '-' @@"`
	Value *postfixNode `parser:"| @@ )"`
}

type postfixNode struct {
	Pos   lexer.Position
	Value *primaryNode `parser:"@@"`
	Rest  []*suffix    `parser:"@@*"`
}

type suffix struct {
	Pos   lexer.Position
	Index *exprNode `parser:"( '[' @@ ']'"`
	Field string    `parser:"| '.' @Name )"`
}

type primaryNode struct {
	Pos      lexer.Position
	Duration *string   `parser:"( @Duration"`
	Float    *string   `parser:"| @Float"`
	Int      *string   `parser:"| @Int"`
	Text     *string   `parser:"| @Text"`
	True     bool      `parser:"| @'true'"`
	False    bool      `parser:"| @'false'"`
	Map      *mapNode  `parser:"| @@"`
	List     *listNode `parser:"| @@"`
	Call     *callNode `parser:"| @@"`
	Name     string    `parser:"| @Name"`
	Paren    *exprNode `parser:"| '(' @@ ')' )"`
}

type callNode struct {
	Pos  lexer.Position
	Name string      `parser:"@Name '('"`
	Args []*exprNode `parser:"( @@ ( ',' @@ )* )? ')'"`
}

// listNode is a list's literal; one without entries has its type before it.
type listNode struct {
	Pos   lexer.Position
	Type  *typeNode   `parser:"( 'list' '[' @@ ']' '(' ')' )"`
	Items []*exprNode `parser:"| '[' @@ ( ',' @@ )* ']'"`
}

type mapNode struct {
	Pos  lexer.Position
	Type *typeNode `parser:"'map' '[' @@ ']' '(' ')'"`
}

var parser = sync.OnceValue(func() *participle.Parser[fileNode] {
	return participle.MustBuild[fileNode](participle.Lexer(tokens()), participle.Elide("Comment", "Space"), participle.UseLookahead(3))
})

// Error is what is wrong with a program, and where.
type Error struct {
	File         string
	Line, Column int
	Text         string // what is wrong, and what would be right
	Source       string // the line
}

// Error gives place, text and the source line with a mark under the column.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Text
	}
	pad := strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, e.Source[:min(len(e.Source), max(0, e.Column-1))])
	return fmt.Sprintf("%s:%d:%d: %s\n\t%s\n\t%s^", e.File, e.Line, e.Column, e.Text, e.Source, pad)
}

// Errors are all that is wrong with a program, in its order.
type Errors []*Error

func (es Errors) Error() string {
	texts := make([]string, len(es))
	for i, e := range es {
		texts[i] = e.Error()
	}
	return strings.Join(texts, "\n")
}

func newError(file, source string, at lexer.Position, format string, args ...any) *Error {
	e := &Error{File: file, Line: at.Line, Column: at.Column, Text: fmt.Sprintf(format, args...)}
	if lines := strings.Split(source, "\n"); at.Line >= 1 && at.Line <= len(lines) {
		e.Source = strings.TrimRight(lines[at.Line-1], "\r")
	}
	return e
}

// parse reads a source.
func parse(file, source string) (*fileNode, error) {
	if len(source) > MaxSource {
		return nil, &Error{File: file, Text: fmt.Sprintf("%d bytes: a program has %d at the most", len(source), MaxSource)}
	}
	if err := checkNesting(file, source); err != nil {
		return nil, err
	}
	tree, err := parser().ParseString(file, source)
	if err == nil {
		return tree, nil
	}
	var at participle.Error
	if errors.As(err, &at) {
		return nil, newError(file, source, at.Position(), "%s", at.Message())
	}
	return nil, &Error{File: file, Text: err.Error()}
}

// checkNesting bounds how deep the parser will go: it calls itself for each
// bracket, block and sign before a value.
func checkNesting(file, source string) error {
	l, err := tokens().LexString(file, source)
	if err != nil {
		return newError(file, source, lexer.Position{Line: 1, Column: 1}, "%v", err)
	}
	sign := tokens().Symbols()["Sign"]
	depth, run := 0, 0
	for {
		t, err := l.Next()
		if err != nil {
			var at participle.Error
			if errors.As(err, &at) {
				return newError(file, source, at.Position(), "%s", at.Message())
			}
			return &Error{File: file, Text: err.Error()}
		}
		switch {
		case t.EOF():
			return nil
		case t.Type == sign && strings.Contains("([{", t.Value):
			depth++
		case t.Type == sign && strings.Contains(")]}", t.Value):
			depth = max(0, depth-1)
		}
		switch t.Value {
		case "-", "not", "else", "if", "list", "map", "[", "(", "{":
			run++
		default:
			if strings.TrimSpace(t.Value) != "" {
				run = 0
			}
		}
		if depth > maxNesting || run > maxNesting {
			return newError(file, source, t.Pos, "nested more than %d deep", maxNesting)
		}
	}
}

// Grammar is the language's grammar in EBNF.
func Grammar() string { return node.ReplaceAllString(parser().String(), "$1") }

// node is how the tree's names end, which is of no use to a reader.
var node = regexp.MustCompile(`([A-Z][a-z]+)Node\b`)
