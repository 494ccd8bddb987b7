package operator

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Mistake is one thing that is wrong with a file.
type Mistake struct {
	Line, Column int    // from 1; the column in signs
	Key          string // what it is about, such as listener[1].address; empty: the text itself
	Text         string // what is wrong, and what would be right
	source       string // the line
}

// Mistakes is all that is wrong with a file, in the order of its lines.
type Mistakes struct {
	File string
	List []Mistake
}

// mostSource bounds how much of a line is shown, in signs.
const mostSource = 160

// Error tells each mistake with its place, its line and a caret below.
func (m *Mistakes) Error() string {
	var b strings.Builder
	for i := range m.List {
		x := &m.List[i]
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d:%d: ", m.File, x.Line, x.Column)
		if x.Key != "" {
			b.WriteString(x.Key + ": ")
		}
		b.WriteString(x.Text)
		if x.source == "" {
			continue
		}
		shown, before := []rune(x.source), x.Column-1
		if len(shown) > mostSource {
			from := min(max(0, before-mostSource/2), len(shown)-mostSource)
			shown, before = shown[from:from+mostSource], before-from
		}
		b.WriteString("\n    ")
		for _, r := range shown {
			b.WriteRune(printable(r))
		}
		b.WriteString("\n    " + strings.Repeat(" ", before) + "^")
	}
	return b.String()
}

// printable keeps a sign from doing anything to the terminal that shows it.
func printable(r rune) rune {
	if r < ' ' || r == 0x7f || r == utf8.RuneError {
		return ' '
	}
	return r
}

// faults gathers mistakes by their place in a text.
type faults struct {
	text  []byte
	lines []int // where each begins
	all   []found
}

type found struct {
	offset int
	Mistake
}

func newFaults(text []byte) *faults {
	f := &faults{text: text, lines: []int{0}}
	for i, c := range text {
		if c == '\n' {
			f.lines = append(f.lines, i+1)
		}
	}
	return f
}

// at notes one.
func (f *faults) at(offset int, key, format string, args ...any) {
	f.all = append(f.all, found{offset, Mistake{Key: key, Text: fmt.Sprintf(format, args...)}})
}

// line says on which line of the text an offset is, from 1.
func (f *faults) line(offset int) int {
	n, exact := slices.BinarySearch(f.lines, offset)
	if exact {
		n++
	}
	return n
}

// err makes an error of what was noted; nil where nothing was.
func (f *faults) err(file string) error {
	if len(f.all) == 0 {
		return nil
	}
	slices.SortStableFunc(f.all, func(a, b found) int { return a.offset - b.offset })
	m := &Mistakes{File: file}
	for _, x := range f.all {
		x.Line = f.line(x.offset)
		begin := f.lines[x.Line-1]
		source := f.text[begin:]
		if x.Line < len(f.lines) {
			source = f.text[begin : f.lines[x.Line]-1]
		}
		x.source = strings.TrimRight(string(source), "\r")
		x.Column = 1 + utf8.RuneCount(f.text[begin:min(x.offset, len(f.text))])
		m.List = append(m.List, x.Mistake)
	}
	return m
}
