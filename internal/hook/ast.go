package hook

import "github.com/alecthomas/participle/v2/lexer"

// This file defines the abstract syntax tree. The struct tags of the fields are the grammar of the
// parser; Grammar generates docs/plugins/grammar.ebnf from them. The name of a grammar rule is the
// name of its node type without the suffix Node.

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

// stateNode declares a state that is kept between runs: a counter, or a map from texts to numbers
// with a maximum number of entries (Most) and a maximum age of an entry (Age).
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

// simpleNode is a call, or an assignment to the variable or entry on the left side. Value is nil for a call.
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

// listNode is a list literal. A list without entries is written with its type: list[TYPE]().
type listNode struct {
	Pos   lexer.Position
	Type  *typeNode   `parser:"( 'list' '[' @@ ']' '(' ')' )"`
	Items []*exprNode `parser:"| '[' @@ ( ',' @@ )* ']'"`
}

type mapNode struct {
	Pos  lexer.Position
	Type *typeNode `parser:"'map' '[' @@ ']' '(' ')'"`
}
