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
	keyOffset int    // offset of its key, in bytes
	text      string // text of a scalar

	elements     []*value          // elements of an array, or the tables of a table array
	keys         []string          // keys of a table, in the order of the file
	members      map[string]*value // values of a table, by key
	isTableArray bool              // elements are tables in double brackets
	implicit     bool              // a table that exists only because a longer key names it
	inline       bool              // a table in braces, to which later lines must not add keys
}

func newTable(offset int) *value {
	return &value{kind: unstable.Table, offset: offset, keyOffset: offset, members: make(map[string]*value)}
}

// put adds a key and its value to a table.
func (v *value) put(key string, member *value) {
	v.keys = append(v.keys, key)
	v.members[key] = member
}

// maxParses bounds how often a text is parsed again after an invalid line was blanked out.
const maxParses = 1000

// parse returns the syntax tree of a text. It reports a line that is not valid TOML, blanks it
// out and parses again, so that the rest of the file is checked too. If such a line opens a
// table, the keys below would be assigned to the wrong table, and complete is false. It is also
// false if the text cannot be parsed to its end.
func parse(text []byte, problems *problemList) (root *value, complete bool) {
	text, complete = bytes.Clone(text), true
	for range maxParses {
		previousCount := len(problems.entries)
		root = newTable(0)
		err := addExpressions(root, text, problems)
		if err == nil {
			return root, complete
		}
		problems.entries = problems.entries[:previousCount] // the next parse reports the others again
		offset := errorOffset(err, text)
		lineNumber := problems.line(offset)
		line := text[problems.lineStarts[lineNumber-1]:problems.lineEnd(lineNumber)]
		trimmed := bytes.TrimSpace(line)
		if len(trimmed) > 0 || previousCount == 0 {
			problems.report(offset, "", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		}
		if len(trimmed) == 0 { // an earlier line is not terminated, so the rest cannot be parsed
			return root, false
		}
		if trimmed[0] == '[' {
			complete = false
		}
		for i := range line {
			line[i] = ' '
		}
	}
	return root, false
}

// errorOffset returns the offset of a parser's error. The highlight of the error is a slice of
// the text, so its capacity gives the offset.
func errorOffset(err error, text []byte) int {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) {
		return len(text)
	}
	return min(cap(text)-cap(parserError.Highlight), len(text))
}

// addExpressions parses the text into root until the first syntax error, which it returns.
func addExpressions(root *value, text []byte, problems *problemList) error {
	var p unstable.Parser
	p.Reset(text)
	table, path := root, ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, path = openTable(root, e, problems)
		case unstable.KeyValue:
			addKeyValue(table, path, e, problems)
		default: // a comment
		}
	}
	return p.Error()
}

// keyParts returns the names of a dotted key with their offsets in bytes.
func keyParts(e *unstable.Node) (names []string, offsets []int) {
	for part := e.Key(); part.Next(); {
		names = append(names, string(part.Node().Data))
		offsets = append(offsets, int(part.Node().Raw.Offset))
	}
	return names, offsets
}

// descend returns the table at the path of all names but the last, and that path. It reports a
// name whose value is not a table, and returns a detached table, so that the keys below are
// dropped.
func descend(t *value, path string, names []string, offsets []int, problems *problemList) (*value, string) {
	for i, name := range names[:len(names)-1] {
		path = join(path, name)
		next := t.members[name]
		switch {
		case next == nil:
			next = newTable(offsets[i])
			next.implicit = true
			t.put(name, next)
		case next.isTableArray:
			next = next.elements[len(next.elements)-1]
		case next.kind != unstable.Table || next.inline:
			problems.report(offsets[i], path, "already has a value on line %d, so it cannot also be a table",
				problems.line(next.keyOffset))
			return newTable(offsets[i]), path
		}
		t = next
	}
	return t, path
}

// openTable returns the table that a header opens, and its path. After a problem the table is
// detached, so that its keys are dropped.
func openTable(root *value, e *unstable.Node, problems *problemList) (*value, string) {
	names, offsets := keyParts(e)
	t, path := descend(root, "", names, offsets, problems)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	path = join(path, last)
	created := newTable(offset)
	existing := t.members[last]
	if e.Kind == unstable.ArrayTable {
		switch {
		case existing == nil:
			existing = &value{kind: unstable.Array, offset: offset, keyOffset: offset, isTableArray: true}
			t.put(last, existing)
		case !existing.isTableArray:
			problems.report(offset, path, "already defined on line %d without double brackets",
				problems.line(existing.keyOffset))
			return created, path
		}
		existing.elements = append(existing.elements, created)
		return created, path
	}
	switch {
	case existing == nil:
		t.put(last, created)
		return created, path
	case existing.implicit:
		existing.implicit, existing.offset, existing.keyOffset = false, offset, offset
		return existing, path
	}
	problems.report(offset, path, "already defined on line %d: remove one of the two definitions",
		problems.line(existing.keyOffset))
	return created, path
}

// addKeyValue adds a key and its value to a table, or reports a key that the table has already.
func addKeyValue(t *value, path string, e *unstable.Node, problems *problemList) {
	names, offsets := keyParts(e)
	t, path = descend(t, path, names, offsets, problems)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	if existing := t.members[last]; existing != nil {
		problems.report(offset, join(path, last), "already defined on line %d: remove one of the two definitions",
			problems.line(existing.keyOffset))
		return
	}
	v := newValue(e.Value(), offset, join(path, last), problems)
	v.keyOffset = offset
	t.put(last, v)
}

// newValue returns the value of a syntax node. A node without an offset of its own gets
// precedingOffset, the last known offset before the node.
func newValue(n *unstable.Node, precedingOffset int, path string, problems *problemList) *value {
	v := &value{kind: n.Kind, offset: precedingOffset, text: string(n.Data)}
	if n.Raw.Length > 0 {
		v.offset = int(n.Raw.Offset)
	}
	switch n.Kind {
	case unstable.Array:
		for children := n.Children(); children.Next(); {
			if children.Node().Kind != unstable.Comment {
				v.elements = append(v.elements, newValue(children.Node(), precedingOffset, path, problems))
			}
		}
		if len(v.elements) > 0 { // the parser does not give the offset at which an array begins
			v.offset = max(precedingOffset, bytes.LastIndexByte(problems.text[:v.elements[0].offset], '['))
		}
	case unstable.InlineTable:
		t := newTable(v.offset)
		for children := n.Children(); children.Next(); {
			if children.Node().Kind == unstable.KeyValue {
				addKeyValue(t, path, children.Node(), problems)
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
