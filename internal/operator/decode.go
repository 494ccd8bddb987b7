package operator

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// decoder fills a File from a tree and notes what does not fit. Keys are those
// of the fields' toml tags.
type decoder struct {
	*faults
	places map[string]int // where each value stands, by its path
}

// meaner is a type that says what is meant by it.
type meaner interface{ meant() string }

// checker is a type whose values can be wrong by themselves.
type checker interface{ check() error }

// table fills a struct.
func (d *decoder) table(v *value, into reflect.Value, path string) {
	d.places[path] = v.keyAt
	t := into.Type()
	for _, key := range v.keys {
		member, at := v.members[key], join(path, key)
		field := -1
		for i := range t.NumField() {
			if t.Field(i).Tag.Get("toml") == key && key != "" {
				field = i
			}
		}
		if field < 0 {
			hint := ""
			if near := nearest(t, key); near != "" {
				hint = fmt.Sprintf(": %q is meant?", near)
			} else {
				hint = ": known here are " + strings.Join(known(t), ", ")
			}
			d.at(member.keyAt, at, "it is not known%s", hint)
			continue
		}
		d.places[at] = member.offset
		d.value(member, into.Field(field), at)
	}
}

// value fills anything.
func (d *decoder) value(v *value, into reflect.Value, path string) {
	if into.Kind() == reflect.Pointer {
		held := reflect.New(into.Type().Elem())
		if d.value(v, held.Elem(), path); !d.noted(path) {
			into.Set(held)
		}
		return
	}
	if v.tables && (into.Kind() != reflect.Slice || into.Type().Elem().Kind() != reflect.Struct) {
		if into.Kind() == reflect.Struct {
			d.at(v.keyAt, path, "there is one such table at the most: [%s] is meant, in single brackets", path)
		} else {
			d.at(v.keyAt, path, "%s is meant, not a table", meant(into.Type()))
		}
		return
	}
	wrong := func() { d.at(v.offset, path, "%s is meant, not %s", meant(into.Type()), describe(v)) }
	switch into.Kind() {
	case reflect.Struct:
		if v.kind != unstable.Table {
			wrong()
			return
		}
		d.table(v, into, path)
		return
	case reflect.Slice:
		d.slice(v, into, path, wrong)
		return
	case reflect.Map:
		if v.kind != unstable.Table {
			wrong()
			return
		}
		into.Set(reflect.MakeMap(into.Type()))
		for _, key := range v.keys {
			member := reflect.New(into.Type().Elem()).Elem()
			d.places[join(path, key)] = v.members[key].offset
			d.value(v.members[key], member, join(path, key))
			into.SetMapIndex(reflect.ValueOf(key), member)
		}
		return
	case reflect.String:
		if v.kind != unstable.String {
			wrong()
			return
		}
		into.SetString(v.text)
	case reflect.Bool:
		if v.kind != unstable.Bool {
			wrong()
			return
		}
		into.SetBool(v.text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 0, 64)
		if v.kind != unstable.Integer || err != nil {
			wrong()
			return
		}
		into.SetInt(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
		if v.kind != unstable.Float && v.kind != unstable.Integer || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			wrong()
			return
		}
		into.SetFloat(x)
	}
	if c, ok := into.Interface().(checker); ok {
		if err := c.check(); err != nil {
			d.at(v.offset, path, "%v", err)
			into.SetZero() // what depends on it is not checked on top
		}
	}
}

func (d *decoder) slice(v *value, into reflect.Value, path string, wrong func()) {
	tables := into.Type().Elem().Kind() == reflect.Struct
	switch {
	case tables && !v.tables && v.kind == unstable.Table && !v.closed:
		d.at(v.keyAt, path, "there may be several such tables: [[%s]] is meant, in double brackets", path)
		return
	case v.kind != unstable.Array:
		wrong()
		return
	}
	for i, one := range v.list {
		member, at := reflect.New(into.Type().Elem()).Elem(), fmt.Sprintf("%s[%d]", path, i)
		d.places[at] = one.offset
		d.value(one, member, at)
		into.Set(reflect.Append(into, member))
	}
}

// meant says for people what a value of a type is.
func meant(t reflect.Type) string {
	if m, ok := reflect.Zero(t).Interface().(meaner); ok {
		return m.meant()
	}
	switch t.Kind() {
	case reflect.Pointer:
		return meant(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number, such as 0.3"
	case reflect.String:
		return "a text in quotes"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "a table in double brackets"
		}
		return "a list in brackets, each of its values " + meant(t.Elem())
	}
	return "a table"
}

// describe says for people what stands there.
func describe(v *value) string {
	switch v.kind {
	case unstable.String:
		return fmt.Sprintf("the text %.60q", v.text)
	case unstable.Integer, unstable.Float:
		return fmt.Sprintf("the number %.40s", v.text)
	case unstable.Bool:
		return v.text
	case unstable.Array:
		return "a list"
	case unstable.Table:
		return "a table"
	}
	return "a date or time"
}

// known lists the keys of a table.
func known(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("toml"); key != "" { // else it is not the file's
			keys = append(keys, key)
		}
	}
	return keys
}

// nearest is the known key that an unknown one is nearest to, or "".
func nearest(t reflect.Type, key string) string {
	best, least := "", 3
	for _, name := range known(t) {
		// Of short names two signs are as good as all.
		if d := distance(key, name); d < least && d < max(2, len(name)-1) {
			best, least = name, d
		}
	}
	return best
}

// distance is how many signs must be put in, left out or changed (Levenshtein, 1966).
func distance(a, b string) int {
	if len(a) > len(b)+3 {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

// place is where a value stands, or else the table round it.
func (d *decoder) place(path string) int {
	for path != "" {
		if n, ok := d.places[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// wrong notes a mistake that one value alone does not show.
func (d *decoder) wrong(path, format string, args ...any) {
	d.at(d.place(path), path, format, args...)
}
