package operator

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	Line, Column int    // from 1; the column in characters
	Key          string // key with the problem, such as listener[1].address; empty: a problem of the syntax
	Text         string // message that states the problem and the rule
	source       string // the line of the file, without its line break
}

// FileError is the error for a file with problems. It lists all of them, in the order of lines.
type FileError struct {
	File     string
	Problems []Problem
}

// maxSourceRunes bounds how much of a line a message shows, in characters.
const maxSourceRunes = 160

// Error returns each problem with its position, its line and a caret below the line.
func (e *FileError) Error() string {
	texts := make([]string, len(e.Problems))
	for i := range e.Problems {
		texts[i] = e.Problems[i].format(e.File)
	}
	return strings.Join(texts, "\n")
}

// format returns the message for the problem in a file. Of a long line it shows the part
// around the column.
func (p *Problem) format(file string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", file, p.Line, p.Column)
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	if p.source == "" {
		return b.String()
	}
	shown, caret := []rune(p.source), p.Column-1
	if len(shown) > maxSourceRunes {
		start := min(max(0, caret-maxSourceRunes/2), len(shown)-maxSourceRunes)
		shown, caret = shown[start:start+maxSourceRunes], caret-start
	}
	b.WriteString("\n    ")
	for _, r := range shown {
		b.WriteRune(printable(r))
	}
	b.WriteString("\n    " + strings.Repeat(" ", caret) + "^")
	return b.String()
}

// printable returns a space for a character that could control the terminal, and any other
// character unchanged.
func printable(r rune) rune {
	if r < ' ' || r == 0x7f || r == utf8.RuneError {
		return ' '
	}
	return r
}

// problemList collects the problems of a text by their offsets.
type problemList struct {
	text       []byte
	lineStarts []int // offset of each line
	entries    []offsetProblem
}

// offsetProblem is a problem with its offset in bytes. Line, Column and source are not set.
type offsetProblem struct {
	offset int
	Problem
}

func newProblemList(text []byte) *problemList {
	l := &problemList{text: text, lineStarts: []int{0}}
	for i, c := range text {
		if c == '\n' {
			l.lineStarts = append(l.lineStarts, i+1)
		}
	}
	return l
}

// report adds a problem.
func (l *problemList) report(offset int, key, format string, args ...any) {
	l.entries = append(l.entries, offsetProblem{offset, Problem{Key: key, Text: fmt.Sprintf(format, args...)}})
}

// reported reports whether a problem of the key has been added.
func (l *problemList) reported(key string) bool {
	for i := range l.entries {
		if l.entries[i].Key == key {
			return true
		}
	}
	return false
}

// line returns the number of the line at an offset, from 1.
func (l *problemList) line(offset int) int {
	n, exact := slices.BinarySearch(l.lineStarts, offset)
	if exact {
		n++
	}
	return n
}

// lineEnd returns the offset at which a line ends, without its line break.
func (l *problemList) lineEnd(line int) int {
	if line < len(l.lineStarts) {
		return l.lineStarts[line] - 1
	}
	return len(l.text)
}

// err returns the problems as a *FileError, or nil if there are none.
func (l *problemList) err(file string) error {
	if len(l.entries) == 0 {
		return nil
	}
	slices.SortStableFunc(l.entries, func(a, b offsetProblem) int { return a.offset - b.offset })
	e := &FileError{File: file}
	for _, p := range l.entries {
		p.Line = l.line(p.offset)
		start := l.lineStarts[p.Line-1]
		p.source = strings.TrimRight(string(l.text[start:l.lineEnd(p.Line)]), "\r")
		p.Column = 1 + utf8.RuneCount(l.text[start:min(p.offset, len(l.text))])
		e.Problems = append(e.Problems, p.Problem)
	}
	return e
}
