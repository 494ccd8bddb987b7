package operator

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// value is a value of the file with its position.
type value struct {
	kind      unstable.Kind
	offset    int    // in bytes
	keyOffset int    // of its key
	text      string // of a scalar

	list     []*value // of an array, or of tables in double brackets
	keys     []string // of a table, in their order
	members  map[string]*value
	isTables bool // list holds tables in double brackets
	implied  bool // a table that only a longer key names
	inline   bool // a table in braces: nothing is added later
}

func newTable(offset int) *value {
	return &value{kind: unstable.Table, offset: offset, keyOffset: offset, members: make(map[string]*value)}
}

func (v *value) put(key string, member *value) {
	v.keys = append(v.keys, key)
	v.members[key] = member
}

// maxParses bounds how often a text is parsed again past a line that is no TOML.
const maxParses = 1000

// parse makes a syntax tree of a text. A line that is no TOML is reported and blanked out,
// so that the rest of the file is checked too; where that line opened a table what
// follows would be misunderstood, and complete is false.
func parse(text []byte, f *problemList) (root *value, complete bool) {
	text, complete = bytes.Clone(text), true
	for range maxParses {
		reported := len(f.all)
		root = newTable(0)
		err := addExpressions(root, text, f)
		if err == nil {
			return root, complete
		}
		f.all = f.all[:reported] // the next parse reports them again
		offset := errorOffset(err, text)
		n := f.line(offset)
		line := text[f.lineStarts[n-1]:f.lineEnd(n)]
		rest := bytes.TrimSpace(line)
		if len(rest) > 0 || reported == 0 {
			f.report(offset, "", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		}
		if len(rest) == 0 { // an earlier line has no end: nothing more can be parsed
			return root, false
		}
		if rest[0] == '[' {
			complete = false
		}
		for i := range line {
			line[i] = ' '
		}
	}
	return root, false
}

// errorOffset returns where an error of the parser is; its highlight is a part of the text.
func errorOffset(err error, text []byte) int {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) {
		return len(text)
	}
	return min(cap(text)-cap(parserError.Highlight), len(text))
}

// addExpressions parses the text into root, up to its first error.
func addExpressions(root *value, text []byte, f *problemList) error {
	var p unstable.Parser
	p.Reset(text)
	table, path := root, ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, path = openTable(root, e, f)
		case unstable.KeyValue:
			addKeyValue(table, path, e, f)
		default: // a comment
		}
	}
	return p.Error()
}

// keyParts are the names of a key with their offsets.
func keyParts(e *unstable.Node) (names []string, offsets []int) {
	for k := e.Key(); k.Next(); {
		names = append(names, string(k.Node().Data))
		offsets = append(offsets, int(k.Node().Raw.Offset))
	}
	return names, offsets
}

// descend returns the table that all names but the last lead to. Where one of them is no
// table that is reported, and the keys that follow are dropped.
func descend(t *value, path string, names []string, offsets []int, f *problemList) (*value, string) {
	for i, name := range names[:len(names)-1] {
		path = join(path, name)
		next := t.members[name]
		switch {
		case next == nil:
			next = newTable(offsets[i])
			next.implied = true
			t.put(name, next)
		case next.isTables:
			next = next.list[len(next.list)-1]
		case next.kind != unstable.Table || next.inline:
			f.report(offsets[i], path, "it has a value already, on line %d: that cannot be a table too", f.line(next.keyOffset))
			return newTable(offsets[i]), path
		}
		t = next
	}
	return t, path
}

// openTable opens a table by its header.
func openTable(root *value, e *unstable.Node, f *problemList) (*value, string) {
	names, offsets := keyParts(e)
	t, path := descend(root, "", names, offsets, f)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	path = join(path, last)
	fresh := newTable(offset)
	old := t.members[last]
	if e.Kind == unstable.ArrayTable {
		switch {
		case old == nil:
			old = &value{kind: unstable.Array, offset: offset, keyOffset: offset, isTables: true}
			t.put(last, old)
		case !old.isTables:
			f.report(offset, path, "it stands on line %d already, and not in double brackets", f.line(old.keyOffset))
			return fresh, path
		}
		old.list = append(old.list, fresh)
		return fresh, path
	}
	switch {
	case old == nil:
		t.put(last, fresh)
		return fresh, path
	case old.implied:
		old.implied, old.offset, old.keyOffset = false, offset, offset
		return old, path
	}
	f.report(offset, path, "it stands twice, first on line %d: one of the two is meant", f.line(old.keyOffset))
	return fresh, path
}

// addKeyValue adds a key and its value to a table.
func addKeyValue(t *value, path string, e *unstable.Node, f *problemList) {
	names, offsets := keyParts(e)
	t, path = descend(t, path, names, offsets, f)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	if old := t.members[last]; old != nil {
		f.report(offset, join(path, last), "it stands twice, first on line %d: one of the two is meant", f.line(old.keyOffset))
		return
	}
	v := newValue(e.Value(), offset, join(path, last), f)
	v.keyOffset = offset
	t.put(last, v)
}

// newValue makes a value of a syntax node; near is the last known offset before it.
func newValue(n *unstable.Node, near int, path string, f *problemList) *value {
	v := &value{kind: n.Kind, offset: near, text: string(n.Data)}
	if n.Raw.Length > 0 {
		v.offset = int(n.Raw.Offset)
	}
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				v.list = append(v.list, newValue(it.Node(), near, path, f))
			}
		}
		if len(v.list) > 0 { // the parser does not say where a list begins
			v.offset = max(near, bytes.LastIndexByte(f.text[:v.list[0].offset], '['))
		}
	case unstable.InlineTable:
		t := newTable(v.offset)
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				addKeyValue(t, path, it.Node(), f)
			}
		}
		t.inline = true
		return t
	default: // a scalar
	}
	return v
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
