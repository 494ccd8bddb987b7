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
	Key          string // what it is about, such as listener[1].address; empty: the text itself
	Text         string // what is wrong, and what would be right
	source       string // the line
}

// FileError is all that is wrong with a file, in the order of its lines.
type FileError struct {
	File     string
	Problems []Problem
}

// maxSourceRunes bounds how much of a line is shown, in characters.
const maxSourceRunes = 160

// Error shows each problem with its position, its line and a caret below.
func (e *FileError) Error() string {
	texts := make([]string, len(e.Problems))
	for i := range e.Problems {
		texts[i] = e.Problems[i].show(e.File)
	}
	return strings.Join(texts, "\n")
}

func (p *Problem) show(file string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", file, p.Line, p.Column)
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	if p.source == "" {
		return b.String()
	}
	shown, before := []rune(p.source), p.Column-1
	if len(shown) > maxSourceRunes {
		from := min(max(0, before-maxSourceRunes/2), len(shown)-maxSourceRunes)
		shown, before = shown[from:from+maxSourceRunes], before-from
	}
	b.WriteString("\n    ")
	for _, r := range shown {
		b.WriteRune(printable(r))
	}
	b.WriteString("\n    " + strings.Repeat(" ", before) + "^")
	return b.String()
}

// printable replaces a character that could control the terminal.
func printable(r rune) rune {
	if r < ' ' || r == 0x7f || r == utf8.RuneError {
		return ' '
	}
	return r
}

// problemList collects problems by their offset in a text.
type problemList struct {
	text       []byte
	lineStarts []int // offset of each line
	all        []positioned
}

// positioned is a problem with its offset in bytes.
type positioned struct {
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
	l.all = append(l.all, positioned{offset, Problem{Key: key, Text: fmt.Sprintf(format, args...)}})
}

// reported says whether anything is wrong with a key already.
func (l *problemList) reported(key string) bool {
	for i := range l.all {
		if l.all[i].Key == key {
			return true
		}
	}
	return false
}

// line returns the line of an offset, from 1.
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

// err returns the problems as a *FileError; nil where there is none.
func (l *problemList) err(file string) error {
	if len(l.all) == 0 {
		return nil
	}
	slices.SortStableFunc(l.all, func(a, b positioned) int { return a.offset - b.offset })
	e := &FileError{File: file}
	for _, p := range l.all {
		p.Line = l.line(p.offset)
		start := l.lineStarts[p.Line-1]
		p.source = strings.TrimRight(string(l.text[start:l.lineEnd(p.Line)]), "\r")
		p.Column = 1 + utf8.RuneCount(l.text[start:min(p.offset, len(l.text))])
		e.Problems = append(e.Problems, p.Problem)
	}
	return e
}
