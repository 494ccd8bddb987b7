// Package lab plays experiments with the model of a fleet: files that say what
// to vary, runs that stop when they know enough, results that survive a crash,
// comparisons and reports. Nothing of it is part of the sidecar.
package lab

import (
	"encoding"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"

	"mothridge/internal/fleet"
)

// tree is a TOML document as it was read.
type tree = map[string]any

// readTree reads a file; the error names file and line.
func readTree(path string) (tree, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	t := make(tree)
	if err := toml.Unmarshal(b, &t); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, column := at.Position()
			return nil, fmt.Errorf("%s:%d:%d: %w\n%s", path, line, column, err, at.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// decode fills what a document says into a struct of toml tags. Every key must
// be known, and every value of the kind that is needed.
func decode(t any, into any) error {
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName: "toml", ErrorUnused: true, Result: into, MatchName: func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(exact, mapstructure.StringToTimeDurationHookFunc(), mapstructure.TextUnmarshallerHookFunc()),
	})
	if err != nil {
		return err
	}
	return d.Decode(t)
}

// exact refuses what would be read as something else than was meant: a bare
// number for a time, a fraction for a count.
func exact(from, to reflect.Type, v any) (any, error) {
	switch {
	case to == reflect.TypeFor[time.Duration]() && from.Kind() != reflect.String:
		return nil, fmt.Errorf("%v is no time: one such as \"30s\" or \"5ms\" is meant", v)
	case from.Kind() == reflect.Float64 && (to.Kind() == reflect.Int || to.Kind() == reflect.Uint64):
		return nil, fmt.Errorf("%v is no count: a whole number is meant", v)
	}
	return v, nil
}

// LoadScenario reads a scenario file, and the recorded requests that it names.
// Each of over is PATH=VALUE, a TOML value put over what the file has.
func LoadScenario(path string, over ...string) (fleet.Scenario, error) {
	t, err := readTree(path)
	if err != nil {
		return fleet.Scenario{}, err
	}
	for _, o := range over {
		at, value, ok := strings.Cut(o, "=")
		if !ok {
			return fleet.Scenario{}, fmt.Errorf("%q: PATH=VALUE is meant", o)
		}
		var v struct{ V any }
		if toml.Unmarshal([]byte("V = "+value), &v) != nil {
			v.V = value // a bare word, as a shell leaves it
		}
		if err := set(t, at, v.V); err != nil {
			return fleet.Scenario{}, err
		}
	}
	return scenario(path, t)
}

// scenario makes a document a scenario that can be played. Path is for what it
// names, and for errors.
func scenario(path string, t tree) (s fleet.Scenario, err error) {
	record, recorded := t["replay"].(string)
	if recorded {
		t = copyTree(t)
		delete(t, "replay")
	}
	if err := decode(t, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if recorded {
		if s.RecordedArrivals, err = loadRecord(filepath.Join(filepath.Dir(path), record), &s); err != nil {
			return s, err
		}
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// loadRecord reads recorded requests: a CSV of seconds, class, tenant and work
// in ms (or nothing: drawn). Classes and tenants go by name or number.
func loadRecord(path string, s *fleet.Scenario) ([]fleet.Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := csv.NewReader(f)
	in.FieldsPerRecord, in.Comment, in.ReuseRecord = 4, '#', true
	number := func(what, field string, names []string) (int, error) {
		if i := slices.Index(names, field); i >= 0 && field != "" {
			return i, nil
		}
		i, err := strconv.Atoi(field)
		if err != nil || i < 0 || i >= max(1, len(names)) {
			return 0, fmt.Errorf("%s %q: one of %q, or its number from 0, is meant", what, field, names)
		}
		return i, nil
	}
	var classes, tenants []string
	for _, c := range s.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	var out []fleet.Arrival
	for {
		row, err := in.Read()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := in.FieldPos(0)
		at, err1 := strconv.ParseFloat(row[0], 64)
		class, err2 := number("class", row[1], classes)
		tenant, err3 := number("tenant", row[2], tenants)
		work, err4 := 0.0, error(nil)
		if row[3] != "" {
			work, err4 = strconv.ParseFloat(row[3], 64)
		}
		if err := errors.Join(err1, err2, err3, err4); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		out = append(out, fleet.Arrival{At: time.Duration(at * 1e9), Class: class, Tenant: tenant, Work: time.Duration(work * 1e6)})
	}
}

// WriteScenario writes a scenario as a file that LoadScenario reads.
func WriteScenario(w io.Writer, s fleet.Scenario) error {
	return toml.NewEncoder(w).Encode(encode(reflect.ValueOf(s)))
}

// encode is what decode reads back.
func encode(v reflect.Value) any {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case encoding.TextMarshaler:
		b, err := x.MarshalText()
		if err != nil {
			panic(err) // of a scenario that was checked
		}
		return string(b)
	}
	switch {
	case v.Kind() == reflect.Struct:
		return encodeStruct(v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		var list []tree
		for i := range v.Len() {
			list = append(list, encodeStruct(v.Index(i)))
		}
		return list
	}
	return v.Interface()
}

// encodeStruct encodes the fields by their toml tags.
func encodeStruct(v reflect.Value) tree {
	t := make(tree)
	for i := range v.NumField() {
		name, option, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		if name != "-" && (option != "omitempty" || !v.Field(i).IsZero()) {
			t[name] = encode(v.Field(i))
		}
	}
	return t
}

// copyTree copies a document, so that one cell's changes are not another's.
func copyTree(t tree) tree {
	return copyValue(t).(tree)
}

func copyValue(v any) any {
	switch x := v.(type) {
	case tree:
		out := make(tree, len(x))
		for k, v := range x {
			out[k] = copyValue(v)
		}
		return out
	case []any:
		out := make([]any, len(x))
		for i, v := range x {
			out[i] = copyValue(v)
		}
		return out
	}
	return v
}

// set puts a value at a path such as node.cores or class.0.work.
func set(t tree, path string, v any) error {
	steps := strings.Split(path, ".")
	if err := known(reflect.TypeFor[fleet.Scenario](), steps); err != nil {
		return fmt.Errorf("%q: %w", path, err)
	}
	var at any = t
	for i, step := range steps {
		last := i == len(steps)-1
		switch x := at.(type) {
		case tree:
			if last {
				x[step] = copyValue(v)
				return nil
			}
			if x[step] == nil {
				x[step] = make(tree)
			}
			at = x[step]
		case []any:
			n, err := strconv.Atoi(step)
			if err != nil || n < 0 || n >= len(x) {
				return fmt.Errorf("%q: %q is none of the %d there are: a number from 0 is meant", path, step, len(x))
			}
			if last {
				x[n] = copyValue(v)
				return nil
			}
			at = x[n]
		default:
			return fmt.Errorf("%q: there is nothing below %q", path, strings.Join(steps[:i], "."))
		}
	}
	return nil
}

// known says whether a path names a setting of a scenario.
func known(t reflect.Type, steps []string) error {
	for i, step := range steps {
		switch t.Kind() {
		case reflect.Slice:
			t = t.Elem()
		case reflect.Struct:
			field, names := fieldByTag(t, step)
			if field == nil {
				path := strings.Join(steps[:i+1], ".")
				return fmt.Errorf("a scenario has no setting %q; there are %s", path, strings.Join(names, ", "))
			}
			t = field
		default:
			return fmt.Errorf("there is nothing below %q", strings.Join(steps[:i], "."))
		}
	}
	return nil
}

// fieldByTag returns the type of the field with a toml tag; else nil and the names of all tags.
func fieldByTag(t reflect.Type, wanted string) (reflect.Type, []string) {
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name == wanted {
			return t.Field(i).Type, nil
		}
		if name != "-" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return nil, names
}
