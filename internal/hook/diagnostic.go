package hook

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Error is a diagnostic: it describes an error in a program and its position.
type Error struct {
	File   string
	Line   int    // counted from 1; 0: the error has no position
	Column int    // in bytes, counted from 1
	Text   string // what was found, and what is allowed
	Source string // the source line
}

// Error returns the position, the text and the source line with a mark (^) under the column.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Text
	}
	before := e.Source[:min(len(e.Source), max(0, e.Column-1))]
	return fmt.Sprintf("%s:%d:%d: %s\n\t%s\n\t%s^", e.File, e.Line, e.Column, e.Text, e.Source, blankOut(before))
}

// blankOut replaces every character except tabs by a space, so that the mark is printed under its column.
func blankOut(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, text)
}

// maxDiagnostics is the maximum number of diagnostics that the checker reports.
const maxDiagnostics = 20

// Errors are the diagnostics of a program, sorted by line. There are at most maxDiagnostics.
type Errors []*Error

// Error returns the texts of all diagnostics, separated by line breaks.
func (es Errors) Error() string {
	texts := make([]string, len(es))
	for i, e := range es {
		texts[i] = e.Error()
	}
	return strings.Join(texts, "\n")
}

func newError(file, source string, at lexer.Position, format string, args ...any) *Error {
	e := &Error{File: file, Line: at.Line, Column: at.Column, Text: fmt.Sprintf(format, args...)}
	lines := strings.Split(source, "\n")
	if at.Line >= 1 && at.Line <= len(lines) {
		e.Source = strings.TrimRight(lines[at.Line-1], "\r")
	}
	return e
}
