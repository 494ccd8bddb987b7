// Package lab runs experiments with the model of a fleet: it reads files that specify which settings to vary, repeats
// runs until the results are precise enough, stores results so that they survive a crash, compares them and writes
// reports. The sidecar links none of this package.
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

// tree is a decoded TOML document or table.
type tree = map[string]any

// readTree reads a TOML file. A syntax error names the file, the line and the column.
func readTree(path string) (tree, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	t := make(tree)
	if err := toml.Unmarshal(b, &t); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, column := decodeErr.Position()
			return nil, fmt.Errorf("%s:%d:%d: %w\n%s", path, line, column, err, decodeErr.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// decode stores a document's values in a struct with toml tags (result). It returns an error if a key is unknown or a value has
// the wrong type.
func decode(t any, result any) error {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName: "toml", ErrorUnused: true, Result: result, MatchName: func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(rejectInexact, mapstructure.StringToTimeDurationHookFunc(), mapstructure.TextUnmarshallerHookFunc()),
	})
	if err != nil {
		return err
	}
	return decoder.Decode(t)
}

// rejectInexact is a decode hook that rejects values which would otherwise be converted to an unintended value: a number
// without a unit for a duration, and a fraction for a count.
func rejectInexact(from, to reflect.Type, v any) (any, error) {
	switch {
	case to == reflect.TypeFor[time.Duration]() && from.Kind() != reflect.String:
		return nil, fmt.Errorf("must be a duration such as \"30s\" or \"5ms\", got %v", v)
	case from.Kind() == reflect.Float64 && (to.Kind() == reflect.Int || to.Kind() == reflect.Uint64):
		return nil, fmt.Errorf("must be a whole number, got %v", v)
	}
	return v, nil
}

// LoadScenario reads a scenario file, and the file of recorded requests that it names. Each override has the form
// PATH=VALUE and replaces the file's value at that path with a TOML value.
func LoadScenario(path string, overrides ...string) (fleet.Scenario, error) {
	t, err := readTree(path)
	if err != nil {
		return fleet.Scenario{}, err
	}
	for _, override := range overrides {
		setting, value, ok := strings.Cut(override, "=")
		if !ok {
			return fleet.Scenario{}, fmt.Errorf("override must have the form PATH=VALUE, got %q", override)
		}
		var parsed struct{ V any }
		if toml.Unmarshal([]byte("V = "+value), &parsed) != nil {
			parsed.V = value // a string without quotes, because the shell removed them
		}
		if err := setValue(t, setting, parsed.V); err != nil {
			return fleet.Scenario{}, err
		}
	}
	return decodeScenario(path, t)
}

// decodeScenario converts a document to a scenario and validates the scenario. The path of the document's file appears
// in errors, and the path of recorded requests in the document is relative to the file's folder.
func decodeScenario(path string, t tree) (s fleet.Scenario, err error) {
	recordPath, isRecorded := t["replay"].(string)
	if isRecorded {
		t = copyTree(t)
		delete(t, "replay")
	}
	if err := decode(t, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if isRecorded {
		if s.RecordedArrivals, err = loadRecordedArrivals(filepath.Join(filepath.Dir(path), recordPath), &s); err != nil {
			return s, err
		}
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// loadRecordedArrivals reads recorded requests from a CSV file with the columns arrival time in seconds, class, tenant
// and work in ms (if empty, the work is drawn at random). Classes and tenants are given by name or by index from 0.
func loadRecordedArrivals(path string, s *fleet.Scenario) ([]fleet.Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	reader := csv.NewReader(f)
	reader.FieldsPerRecord, reader.Comment, reader.ReuseRecord = 4, '#', true
	parseIndex := func(column, field string, names []string) (int, error) {
		if i := slices.Index(names, field); i >= 0 && field != "" {
			return i, nil
		}
		i, err := strconv.Atoi(field)
		if err != nil || i < 0 || i >= max(1, len(names)) {
			return 0, fmt.Errorf("%s must be one of %q or an index from 0, got %q", column, names, field)
		}
		return i, nil
	}
	var classes, tenants []string
	for _, class := range s.Classes {
		classes = append(classes, class.Name)
	}
	for _, tenant := range s.Tenants {
		tenants = append(tenants, tenant.Name)
	}
	var arrivals []fleet.Arrival
	for {
		row, err := reader.Read()
		if err == io.EOF {
			return arrivals, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := reader.FieldPos(0)
		at, err1 := strconv.ParseFloat(row[0], 64)
		class, err2 := parseIndex("class", row[1], classes)
		tenant, err3 := parseIndex("tenant", row[2], tenants)
		work, err4 := 0.0, error(nil)
		if row[3] != "" {
			work, err4 = strconv.ParseFloat(row[3], 64)
		}
		if err := errors.Join(err1, err2, err3, err4); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		arrivals = append(arrivals, fleet.Arrival{
			At: time.Duration(at * 1e9), Class: class, Tenant: tenant, Work: time.Duration(work * 1e6),
		})
	}
}

// WriteScenario writes a scenario as TOML that LoadScenario reads.
func WriteScenario(w io.Writer, s fleet.Scenario) error {
	return toml.NewEncoder(w).Encode(encode(reflect.ValueOf(s)))
}

// encode converts a value of a scenario to a TOML value that decode converts back.
func encode(v reflect.Value) any {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case encoding.TextMarshaler:
		b, err := x.MarshalText()
		if err != nil {
			panic(err) // impossible, because the scenario was checked
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

// encodeStruct converts a struct to a table with a key for each field's toml tag.
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

// copyTree returns a deep copy of a document, so that a change to one cell does not affect other cells.
func copyTree(t tree) tree {
	return copyValue(t).(tree)
}

// copyValue returns a deep copy of a TOML value.
func copyValue(v any) any {
	switch x := v.(type) {
	case tree:
		copied := make(tree, len(x))
		for key, element := range x {
			copied[key] = copyValue(element)
		}
		return copied
	case []any:
		copied := make([]any, len(x))
		for i, element := range x {
			copied[i] = copyValue(element)
		}
		return copied
	}
	return v
}

// setValue stores a value at a path such as node.cores or class.0.work. It returns an error if a scenario has no such
// setting.
func setValue(t tree, path string, v any) error {
	steps := strings.Split(path, ".")
	if err := checkPath(reflect.TypeFor[fleet.Scenario](), steps); err != nil {
		return fmt.Errorf("%q: %w", path, err)
	}
	var current any = t
	for i, step := range steps {
		last := i == len(steps)-1
		switch x := current.(type) {
		case tree:
			if last {
				x[step] = copyValue(v)
				return nil
			}
			if x[step] == nil {
				x[step] = make(tree)
			}
			current = x[step]
		case []any:
			index, err := strconv.Atoi(step)
			if err != nil || index < 0 || index >= len(x) {
				return fmt.Errorf("%q: must have an index from 0 and below %d, got %q", path, len(x), step)
			}
			if last {
				x[index] = copyValue(v)
				return nil
			}
			current = x[index]
		default:
			return fmt.Errorf("%q: no setting exists below %q", path, strings.Join(steps[:i], "."))
		}
	}
	return nil
}

// checkPath returns an error unless the steps of a path lead to a setting below the given type.
func checkPath(t reflect.Type, steps []string) error {
	for i, step := range steps {
		switch t.Kind() {
		case reflect.Slice:
			t = t.Elem()
		case reflect.Struct:
			fieldType, names := fieldByTag(t, step)
			if fieldType == nil {
				path := strings.Join(steps[:i+1], ".")
				return fmt.Errorf("unknown scenario setting %q, want one of %s", path, strings.Join(names, ", "))
			}
			t = fieldType
		default:
			return fmt.Errorf("no setting exists below %q", strings.Join(steps[:i], "."))
		}
	}
	return nil
}

// fieldByTag returns the type of the field with a toml tag. If there is none, it returns nil and all tags of the struct.
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
