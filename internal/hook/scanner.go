package hook

import (
	"errors"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxNesting is the maximum nesting depth of brackets, blocks and prefix operators.
const maxNesting = 64

// The names of the token rules that the code refers to.
const (
	tokenComment = "Comment"
	tokenSpace   = "Space"
	tokenName    = "Name"
	tokenSign    = "Sign" // an operator or a punctuation token
)

// tokenRules returns the definition of the scanner. It is built when the first program is read, so that
// a process without plug-ins does not build it.
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

// keywords are the reserved words. A program cannot use them as names.
var keywords = map[string]bool{
	"and": true, "break": true, "const": true, "continue": true, "counter": true, "else": true,
	"false": true, "fn": true, "for": true, "if": true, "in": true, "let": true, "list": true,
	"map": true, "not": true, "on": true, "or": true, "return": true, "state": true, "true": true,
	"var": true, "while": true,
}

func isOpeningBracket(text string) bool { return text == "(" || text == "[" || text == "{" }

func isClosingBracket(text string) bool { return text == ")" || text == "]" || text == "}" }

// nesting measures how deeply the recursive-descent parser recurses on the tokens that were added.
type nesting struct {
	brackets int // number of open brackets
	prefixes int // number of consecutive tokens that each open a level without needing a closing bracket
}

// add updates the nesting for the next token.
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

// checkNesting returns an *Error if a source is nested deeper than maxNesting or contains a character
// that cannot begin a token. This bounds the recursion of the parser.
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
			return newError(file, source, token.Pos, "nesting is deeper than %d levels", maxNesting)
		}
	}
}

// syntaxError converts an error of the scanner or parser to an *Error.
func syntaxError(file, source string, err error) *Error {
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return newError(file, source, positioned.Position(), "%s", positioned.Message())
	}
	return &Error{File: file, Text: err.Error()}
}
