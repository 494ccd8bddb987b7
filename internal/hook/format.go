package hook

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// maxLineBreaks is how many line breaks in a row the formatter keeps: one empty line.
const maxLineBreaks = 2

// Format returns a program in the canonical form: a tab for each open bracket, one blank between
// words and signs, at most one empty line. Comments and line breaks stay. An error is an *Error.
func Format(file, source string) (string, error) {
	if _, err := parse(file, source); err != nil {
		return "", err
	}
	scanner, err := tokenRules().LexString(file, source)
	if err != nil {
		return "", err
	}
	tokens, err := lexer.ConsumeAll(scanner)
	if err != nil {
		return "", err
	}
	f := &formatter{symbols: tokenRules().Symbols()}
	for _, token := range tokens {
		f.add(token)
	}
	return strings.TrimRight(f.output.String(), "\n") + "\n", nil
}

// formatter writes tokens one after the other.
type formatter struct {
	symbols map[string]lexer.TokenType
	output  strings.Builder
	depth   int // open brackets

	hasToken   bool // previous is set
	previous   lexer.Token
	afterMinus bool // previous is the sign of a value
	lineBreaks int  // since previous
}

func (f *formatter) add(token lexer.Token) {
	if token.EOF() {
		return
	}
	if token.Type == f.symbols[tokenSpace] {
		f.lineBreaks += strings.Count(token.Value, "\n")
		return
	}
	text := strings.TrimRight(token.Value, " \t\r")
	if f.isSign(token) && isClosingBracket(text) {
		f.depth = max(0, f.depth-1)
	}
	f.separate(token, text)
	f.output.WriteString(text)
	if f.isSign(token) && isOpeningBracket(text) {
		f.depth++
	}
	f.afterMinus = text == "-" && f.valueMayFollow()
	f.previous = token
	f.hasToken = true
	f.lineBreaks = 0
}

// separate writes what stands between the previous token and this one.
func (f *formatter) separate(token lexer.Token, text string) {
	switch {
	case !f.hasToken:
	case f.lineBreaks > 0:
		f.output.WriteString(strings.Repeat("\n", min(f.lineBreaks, maxLineBreaks)))
		f.output.WriteString(strings.Repeat("\t", f.depth))
	case f.needsBlank(token, text):
		f.output.WriteByte(' ')
	}
}

func (f *formatter) isSign(token lexer.Token) bool { return token.Type == f.symbols[tokenSign] }

// valueMayFollow reports whether a value may begin after the previous token, so that a minus there
// is a value's sign.
func (f *formatter) valueMayFollow() bool {
	if !f.hasToken {
		return true
	}
	if f.isSign(f.previous) {
		return !isClosingBracket(f.previous.Value)
	}
	return f.afterKeyword() && f.previous.Value != "true" && f.previous.Value != "false"
}

func (f *formatter) afterKeyword() bool {
	return f.previous.Type == f.symbols[tokenName] && keywords[f.previous.Value]
}

// needsBlank reports whether a blank stands before a token on the same line.
func (f *formatter) needsBlank(token lexer.Token, text string) bool {
	switch {
	case token.Type == f.symbols[tokenComment]:
		return true
	case f.afterMinus || f.isSign(f.previous) && bindsRight(f.previous.Value):
		return false
	case !f.isSign(token):
		return true
	case bindsLeft(text):
		return false
	case text == "(" || text == "[":
		return !f.bracketBinds()
	case text == "}":
		return f.previous.Value != "{"
	default:
		return true
	}
}

// bindsRight reports whether no blank stands after a sign.
func bindsRight(sign string) bool {
	switch sign {
	case "(", "[", ".", "..":
		return true
	default:
		return false
	}
}

// bindsLeft reports whether no blank stands before a sign.
func bindsLeft(sign string) bool {
	switch sign {
	case ")", "]", ",", ".", "..", ":":
		return true
	default:
		return false
	}
}

// bracketBinds reports whether an opening bracket belongs to the previous token: a call or an index.
func (f *formatter) bracketBinds() bool {
	switch f.previous.Value {
	case "]", ")", "list", "map":
		return true
	default:
		return f.previous.Type == f.symbols[tokenName] && !keywords[f.previous.Value]
	}
}
