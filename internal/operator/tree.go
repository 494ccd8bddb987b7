package operator

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// value is a value of the file with its place.
type value struct {
	kind   unstable.Kind
	offset int    // where it stands
	keyAt  int    // where its key does
	text   string // of a scalar

	list    []*value // of an array, or of tables in double brackets
	keys    []string // of a table, in their order
	members map[string]*value
	tables  bool // list holds tables in double brackets
	implied bool // a table that only a longer name speaks of
	closed  bool // written inline: nothing is added later
}

func newTable(offset int) *value {
	return &value{kind: unstable.Table, offset: offset, keyAt: offset, members: make(map[string]*value)}
}

func (v *value) put(key string, member *value) {
	v.keys = append(v.keys, key)
	v.members[key] = member
}

// mostReads bounds how often a text is read anew past a line that cannot be read.
const mostReads = 1000

// parse makes a tree of a text. A line that is no TOML is noted and passed over,
// so that the rest of the file is looked at too; where that line opened a table
// what follows would be misunderstood, and whole is false.
func parse(text []byte, f *faults) (root *value, whole bool) {
	text, whole = bytes.Clone(text), true
	for range mostReads {
		at := len(f.all)
		root = newTable(0)
		err := grow(root, text, f)
		if err == nil {
			return root, whole
		}
		f.all = f.all[:at] // they come again, and as they stand
		var wrong *unstable.ParserError
		offset := len(text)
		if errors.As(err, &wrong) {
			offset = min(cap(text)-cap(wrong.Highlight), len(text))
		}
		n := f.line(offset)
		begin, end := f.lines[n-1], len(text)
		if n < len(f.lines) {
			end = f.lines[n] - 1
		}
		line := text[begin:end]
		rest := bytes.TrimSpace(line)
		if len(rest) > 0 || at == 0 {
			f.at(offset, "", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		}
		if len(rest) == 0 { // what began before has no end: nothing more can be read
			return root, false
		}
		if rest[0] == '[' {
			whole = false
		}
		for i := range line {
			line[i] = ' '
		}
	}
	return root, false
}

// grow reads the text into root.
func grow(root *value, text []byte, f *faults) error {
	var p unstable.Parser
	p.Reset(text)
	table, path := root, ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, path = open(root, e, f)
		case unstable.KeyValue:
			enter(table, path, e, f)
		}
	}
	return p.Error()
}

// parts are the names of a key with their places.
func parts(e *unstable.Node) (names []string, offsets []int) {
	for k := e.Key(); k.Next(); {
		names = append(names, string(k.Node().Data))
		offsets = append(offsets, int(k.Node().Raw.Offset))
	}
	return names, offsets
}

// descend goes into the tables that all names but the last speak of. What cannot
// be gone into is noted; the keys that come then go nowhere.
func descend(t *value, path string, names []string, offsets []int, f *faults) (*value, string) {
	for i, name := range names[:len(names)-1] {
		path = join(path, name)
		next := t.members[name]
		switch {
		case next == nil:
			next = newTable(offsets[i])
			next.implied = true
			t.put(name, next)
		case next.tables:
			next = next.list[len(next.list)-1]
		case next.kind != unstable.Table || next.closed:
			f.at(offsets[i], path, "it has a value already, on line %d: that cannot be a table too", f.line(next.keyAt))
			return newTable(offsets[i]), path
		}
		t = next
	}
	return t, path
}

// open opens a table by its header.
func open(root *value, e *unstable.Node, f *faults) (*value, string) {
	names, offsets := parts(e)
	t, path := descend(root, "", names, offsets, f)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	path = join(path, last)
	fresh := newTable(offset)
	old := t.members[last]
	if e.Kind == unstable.ArrayTable {
		switch {
		case old == nil:
			old = &value{kind: unstable.Array, offset: offset, keyAt: offset, tables: true}
			t.put(last, old)
		case !old.tables:
			f.at(offset, path, "it stands on line %d already, and not in double brackets", f.line(old.keyAt))
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
		old.implied, old.offset, old.keyAt = false, offset, offset
		return old, path
	}
	f.at(offset, path, "it stands twice, first on line %d: one of the two is meant", f.line(old.keyAt))
	return fresh, path
}

// enter takes a key and its value into a table.
func enter(t *value, path string, e *unstable.Node, f *faults) {
	names, offsets := parts(e)
	t, path = descend(t, path, names, offsets, f)
	last, offset := names[len(names)-1], offsets[len(offsets)-1]
	if old := t.members[last]; old != nil {
		f.at(offset, join(path, last), "it stands twice, first on line %d: one of the two is meant", f.line(old.keyAt))
		return
	}
	v := read(e.Value(), offset, join(path, last), f)
	v.keyAt = offset
	t.put(last, v)
}

// read takes a value over; near is where it stands at the latest known place.
func read(n *unstable.Node, near int, path string, f *faults) *value {
	v := &value{kind: n.Kind, offset: near, text: string(n.Data)}
	if n.Raw.Length > 0 {
		v.offset = int(n.Raw.Offset)
	}
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				v.list = append(v.list, read(it.Node(), near, path, f))
			}
		}
		if len(v.list) > 0 { // the parser does not say where a list begins
			v.offset = max(near, bytes.LastIndexByte(f.text[:v.list[0].offset], '['))
		}
	case unstable.InlineTable:
		t := newTable(v.offset)
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				enter(t, path, it.Node(), f)
			}
		}
		t.closed = true
		return t
	}
	return v
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
