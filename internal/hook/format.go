package hook

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// maxLineBreaks is how many line breaks in a row the formatter keeps: one empty line.
const maxLineBreaks = 2

// Format returns a program in the canonical form: lines are indented by one tab for each open bracket,
// one space separates words and operators, and there is at most one empty line in a row. Comments and line
// breaks are kept. If the source cannot be parsed, the error is an *Error.
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

// formatter writes the tokens of a program in the canonical form.
type formatter struct {
	symbols map[string]lexer.TokenType
	output  strings.Builder
	depth   int // number of open brackets

	hasToken   bool // whether previous is set
	previous   lexer.Token
	afterMinus bool // whether previous is the minus sign of a value
	lineBreaks int  // number of line breaks since previous
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

// separate writes the white space between the previous token and this token.
func (f *formatter) separate(token lexer.Token, text string) {
	switch {
	case !f.hasToken:
	case f.lineBreaks > 0:
		f.output.WriteString(strings.Repeat("\n", min(f.lineBreaks, maxLineBreaks)))
		f.output.WriteString(strings.Repeat("\t", f.depth))
	case f.needsSpace(token, text):
		f.output.WriteByte(' ')
	}
}

func (f *formatter) isSign(token lexer.Token) bool { return token.Type == f.symbols[tokenSign] }

// valueMayFollow reports whether a value may begin after the previous token. A minus at this place is
// the sign of a value.
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

// needsSpace reports whether a space separates a token from the previous token on the same line.
func (f *formatter) needsSpace(token lexer.Token, text string) bool {
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

// bindsRight reports whether an operator or punctuation token is written without a space after it.
func bindsRight(text string) bool {
	switch text {
	case "(", "[", ".", "..":
		return true
	default:
		return false
	}
}

// bindsLeft reports whether an operator or punctuation token is written without a space before it.
func bindsLeft(text string) bool {
	switch text {
	case ")", "]", ",", ".", "..", ":":
		return true
	default:
		return false
	}
}

// bracketBinds reports whether an opening bracket follows the previous token without a space, as in a
// call or an index.
func (f *formatter) bracketBinds() bool {
	switch f.previous.Value {
	case "]", ")", "list", "map":
		return true
	default:
		return f.previous.Type == f.symbols[tokenName] && !keywords[f.previous.Value]
	}
}
