package hook

import (
	"errors"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxNesting is how deep brackets, blocks and prefix operators may nest.
const maxNesting = 64

// The names of the token rules that code refers to.
const (
	tokenComment = "Comment"
	tokenSpace   = "Space"
	tokenName    = "Name"
	tokenSign    = "Sign"
)

// tokenRules returns the scanner's definition. It is built when the first program is read, so that
// a process without plug-ins does not pay for it.
var tokenRules = sync.OnceValue(func() *lexer.StatefulDefinition {
	return lexer.MustStateful(lexer.Rules{"Root": {
		{Name: tokenComment, Pattern: `#[^\n]*`},
		{Name: tokenSpace, Pattern: `[ \t\r\n]+`},
		{Name: "Duration", Pattern: `[0-9]+(ms|s|m|h|d)\b`},
		{Name: "Float", Pattern: `[0-9]+\.[0-9]+\b`},
		{Name: "Int", Pattern: `[0-9]+\b`},
		{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: tokenName, Pattern: `[A-Za-z_][A-Za-z0-9_]*`},
		{Name: tokenSign, Pattern: `->|\.\.|==|!=|<=|>=|[-+*/%<>=(){}\[\],:.]`},
	}})
})

// keywords cannot be used as names.
var keywords = map[string]bool{
	"and": true, "break": true, "const": true, "continue": true, "counter": true, "else": true,
	"false": true, "fn": true, "for": true, "if": true, "in": true, "let": true, "list": true,
	"map": true, "not": true, "on": true, "or": true, "return": true, "state": true, "true": true,
	"var": true, "while": true,
}

func isOpeningBracket(text string) bool { return text == "(" || text == "[" || text == "{" }

func isClosingBracket(text string) bool { return text == ")" || text == "]" || text == "}" }

// nesting measures how deep the recursive-descent parser recurses on the tokens so far.
type nesting struct {
	brackets int // open ones
	prefixes int // tokens in a row that each open a level without a closing bracket
}

// add counts a token.
func (n *nesting) add(token lexer.Token, isSign bool) {
	switch {
	case isSign && isOpeningBracket(token.Value):
		n.brackets++
	case isSign && isClosingBracket(token.Value):
		n.brackets = max(0, n.brackets-1)
	}
	switch token.Value {
	case "-", "not", "else", "if", "list", "map", "[", "(", "{":
		n.prefixes++
	default:
		if strings.TrimSpace(token.Value) != "" {
			n.prefixes = 0
		}
	}
}

func (n *nesting) isTooDeep() bool { return n.brackets > maxNesting || n.prefixes > maxNesting }

// checkNesting returns an *Error if a source is nested deeper than maxNesting or has a character
// that begins no token. It bounds the parser's recursion.
func checkNesting(file, source string) error {
	scanner, err := tokenRules().LexString(file, source)
	if err != nil {
		return newError(file, source, lexer.Position{Line: 1, Column: 1}, "%v", err)
	}
	sign := tokenRules().Symbols()[tokenSign]
	var depth nesting
	for {
		token, err := scanner.Next()
		if err != nil {
			return syntaxError(file, source, err)
		}
		if token.EOF() {
			return nil
		}
		depth.add(token, token.Type == sign)
		if depth.isTooDeep() {
			return newError(file, source, token.Pos, "nested more than %d deep", maxNesting)
		}
	}
}

// syntaxError makes an *Error of the scanner's or parser's error.
func syntaxError(file, source string, err error) *Error {
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return newError(file, source, positioned.Position(), "%s", positioned.Message())
	}
	return &Error{File: file, Text: err.Error()}
}
