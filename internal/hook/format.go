package hook

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Format sets a program in the one form: a tab for each bracket that is open, one
// blank between words and signs, no more than one empty line. Comments and the
// breaks of lines stay. The error is the parser's.
func Format(file, source string) (string, error) {
	if _, err := parse(file, source); err != nil {
		return "", err
	}
	l, err := tokens().LexString(file, source)
	if err != nil {
		return "", err
	}
	all, err := lexer.ConsumeAll(l)
	if err != nil {
		return "", err
	}
	f := &formatter{symbols: tokens().Symbols()}
	for _, t := range all {
		f.token(t)
	}
	return strings.TrimRight(f.out.String(), "\n") + "\n", nil
}

type formatter struct {
	symbols map[string]lexer.TokenType
	out     strings.Builder
	depth   int
	breaks  int // line breaks since the last token
	last    lexer.Token
	any     bool // a token came
	unary   bool // the last one is the sign of a value
}

func (f *formatter) token(t lexer.Token) {
	switch {
	case t.EOF():
		return
	case t.Type == f.symbols["Space"]:
		f.breaks += strings.Count(t.Value, "\n")
		return
	}
	text := strings.TrimRight(t.Value, " \t\r")
	closes := strings.Contains(")]}", text) && t.Type == f.symbols["Sign"]
	if closes {
		f.depth = max(0, f.depth-1)
	}
	switch {
	case !f.any:
	case f.breaks > 0:
		f.out.WriteString(strings.Repeat("\n", min(f.breaks, 2)))
		f.out.WriteString(strings.Repeat("\t", f.depth))
	case f.spaced(t, text):
		f.out.WriteByte(' ')
	}
	f.out.WriteString(text)
	if strings.Contains("([{", text) && t.Type == f.symbols["Sign"] {
		f.depth++
	}
	f.unary = text == "-" && (!f.any || f.begins())
	f.last, f.any, f.breaks = t, true, 0
}

// begins says whether a value may begin after the last token.
func (f *formatter) begins() bool {
	if f.last.Type == f.symbols["Sign"] {
		return !strings.Contains(")]}", f.last.Value)
	}
	return f.isKeyword() && f.last.Value != "true" && f.last.Value != "false"
}

func (f *formatter) isKeyword() bool {
	return f.last.Type == f.symbols["Name"] && keywords[f.last.Value]
}

// spaced says whether a blank stands before a token.
func (f *formatter) spaced(t lexer.Token, text string) bool {
	last := f.last.Value
	sign := f.last.Type == f.symbols["Sign"]
	switch {
	case t.Type == f.symbols["Comment"]:
		return true
	case f.unary, sign && (last == "(" || last == "[" || last == "." || last == ".."):
		return false
	case t.Type != f.symbols["Sign"]:
		return true
	case text == ")" || text == "]" || text == "," || text == "." || text == ".." || text == ":":
		return false
	case text == "(" || text == "[":
		named := f.last.Type == f.symbols["Name"] && (!f.isKeyword() || last == "list" || last == "map")
		return !(named || last == "]" || last == ")")
	case text == "}" && last == "{":
		return false
	}
	return true
}
