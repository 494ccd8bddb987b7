package operator

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// places knows on which line each table and value of a file stands, by its
// path, such as 'listener[0].address'. The library tells lines only of what it
// rejects itself.
type places map[string]int

// newPlaces reads the lines off a text. An error means that it is no TOML.
func newPlaces(text []byte) (places, error) {
	at := make(places)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var names []string
		line := 0
		for k := e.Key(); k.Next(); {
			if line == 0 {
				line = p.Shape(k.Node().Raw).Start.Line
			}
			names = append(names, string(k.Node().Data))
		}
		path := strings.Join(names, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			at[table] = line
		case unstable.Table:
			table = path
			at[table] = line
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			at[path] = line
		}
	}
	return at, p.Error()
}

// line is where a value stands, or else the table round it.
func (at places) line(path string) int {
	for path != "" {
		if n, ok := at[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// explain makes one line of the library's error.
func explain(name string, text []byte, at places, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		e := &unknown.Errors[0]
		line, _ := e.Position()
		key := e.Key()
		hint := ""
		if near := nearest(key); near != "" {
			hint = fmt.Sprintf(": %q is meant?", near)
		}
		return fmt.Errorf("%s:%d: %s is not known%s", name, line, strings.Join(key, "."), hint)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return fmt.Errorf("%s:%d: %s", name, line, strings.ReplaceAll(strings.TrimPrefix(wrong.Error(), "toml: "), "\n", " "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

// nearest is the known key that an unknown one is nearest to, or "".
func nearest(key []string) string {
	t := reflect.TypeFor[File]()
	for _, k := range key[:len(key)-1] {
		next, ok := field(t, k)
		if !ok {
			return ""
		}
		t = next
	}
	last, best, least := key[len(key)-1], "", 3
	for i := range t.NumField() {
		known := t.Field(i).Tag.Get("toml")
		if d := distance(last, known); d < least {
			best, least = known, d
		}
	}
	return best
}

func field(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("toml") == key {
			next := f.Type
			if next.Kind() == reflect.Slice {
				next = next.Elem()
			}
			return next, next.Kind() == reflect.Struct
		}
	}
	return nil, false
}

// distance is how many signs must be put in, left out or changed (Levenshtein, 1966).
func distance(a, b string) int {
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
