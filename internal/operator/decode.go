package operator

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// decoder fills a File from a syntax tree and reports what does not match. Keys are those
// of the fields' toml tags.
type decoder struct {
	*problemList
	offsets map[string]int // of each value, by its path
}

// checker is a type whose values can be wrong by themselves.
type checker interface{ check() error }

// table fills a struct.
func (d *decoder) table(v *value, into reflect.Value, path string) {
	d.offsets[path] = v.keyOffset
	for _, key := range v.keys {
		member, memberPath := v.members[key], join(path, key)
		field := fieldByKey(into.Type(), key)
		if field < 0 {
			d.report(member.keyOffset, memberPath, "it is not known%s", suggestion(into.Type(), key))
			continue
		}
		d.offsets[memberPath] = member.offset
		d.value(member, into.Field(field), memberPath)
	}
}

// fieldByKey returns the index of the field for a key; -1 where there is none.
func fieldByKey(t reflect.Type, key string) int {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == key && key != "" {
			return i
		}
	}
	return -1
}

// value fills a field or an element of any type.
func (d *decoder) value(v *value, into reflect.Value, path string) {
	if v.isTables && !takesTables(into) {
		d.reportTables(v, into, path)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		d.pointer(v, into, path)
	case reflect.Struct:
		if v.kind != unstable.Table {
			d.reportKind(v, into, path)
			return
		}
		d.table(v, into, path)
	case reflect.Slice:
		d.slice(v, into, path)
	case reflect.Map:
		d.mapping(v, into, path)
	default:
		d.scalar(v, into, path)
	}
}

// takesTables says whether tables in double brackets may fill a value. Where it is a
// pointer, that is for what it points to.
func takesTables(into reflect.Value) bool {
	switch into.Kind() {
	case reflect.Pointer:
		return true
	case reflect.Slice:
		return into.Type().Elem().Kind() == reflect.Struct
	default:
		return false
	}
}

func (d *decoder) reportTables(v *value, into reflect.Value, path string) {
	if into.Kind() == reflect.Struct {
		d.report(v.keyOffset, path, "there is one such table at the most: [%s] is meant, in single brackets", path)
		return
	}
	d.report(v.keyOffset, path, "%s is meant, not a table", meant(into.Type()))
}

func (d *decoder) reportKind(v *value, into reflect.Value, path string) {
	d.report(v.offset, path, "%s is meant, not %s", meant(into.Type()), describe(v))
}

// pointer stays nil where its value is wrong.
func (d *decoder) pointer(v *value, into reflect.Value, path string) {
	target := reflect.New(into.Type().Elem())
	d.value(v, target.Elem(), path)
	if !d.reported(path) {
		into.Set(target)
	}
}

func (d *decoder) slice(v *value, into reflect.Value, path string) {
	ofStructs := into.Type().Elem().Kind() == reflect.Struct
	singleTable := !v.isTables && v.kind == unstable.Table && !v.inline
	switch {
	case ofStructs && singleTable:
		d.report(v.keyOffset, path, "there may be several such tables: [[%s]] is meant, in double brackets", path)
		return
	case v.kind != unstable.Array:
		d.reportKind(v, into, path)
		return
	}
	for i, element := range v.list {
		member, memberPath := reflect.New(into.Type().Elem()).Elem(), fmt.Sprintf("%s[%d]", path, i)
		d.offsets[memberPath] = element.offset
		d.value(element, member, memberPath)
		into.Set(reflect.Append(into, member))
	}
}

func (d *decoder) mapping(v *value, into reflect.Value, path string) {
	if v.kind != unstable.Table {
		d.reportKind(v, into, path)
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for _, key := range v.keys {
		member, memberPath := reflect.New(into.Type().Elem()).Elem(), join(path, key)
		d.offsets[memberPath] = v.members[key].offset
		d.value(v.members[key], member, memberPath)
		into.SetMapIndex(reflect.ValueOf(key), member)
	}
}

// scalar fills a text, a number or a truth value, and checks it by itself. A wrong one is
// left at zero, so that what depends on it is not reported on top.
func (d *decoder) scalar(v *value, into reflect.Value, path string) {
	if !setScalar(v, into) {
		d.reportKind(v, into, path)
		return
	}
	c, ok := into.Interface().(checker)
	if !ok {
		return
	}
	if err := c.check(); err != nil {
		d.report(v.offset, path, "%v", err)
		into.SetZero()
	}
}

// setScalar says whether the value is of the kind that is wanted.
func setScalar(v *value, into reflect.Value) bool {
	digits := strings.ReplaceAll(v.text, "_", "")
	switch into.Kind() {
	case reflect.String:
		if v.kind != unstable.String {
			return false
		}
		into.SetString(v.text)
	case reflect.Bool:
		if v.kind != unstable.Bool {
			return false
		}
		into.SetBool(v.text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(digits, 0, 64)
		if v.kind != unstable.Integer || err != nil {
			return false
		}
		into.SetInt(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(digits, 64)
		isNumber := v.kind == unstable.Float || v.kind == unstable.Integer
		if !isNumber || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
		into.SetFloat(x)
	default: // no table has a field of another kind
	}
	return true
}
