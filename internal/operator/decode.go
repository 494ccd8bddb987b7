package operator

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// decoder fills a File from a syntax tree and reports each key or value that does not match
// its field. The key of a field is its toml tag.
type decoder struct {
	*problemList
	offsets map[string]int // offset of each value, by its path
}

// checker is a type that validates a value without regard to other values.
type checker interface{ check() error }

// table fills a struct.
func (d *decoder) table(v *value, dst reflect.Value, path string) {
	d.offsets[path] = v.keyOffset
	for _, key := range v.keys {
		member, memberPath := v.members[key], join(path, key)
		field := fieldByKey(dst.Type(), key)
		if field < 0 {
			d.report(member.keyOffset, memberPath, "unknown key%s", suggestion(dst.Type(), key))
			continue
		}
		d.offsets[memberPath] = member.offset
		d.value(member, dst.Field(field), memberPath)
	}
}

// fieldByKey returns the index of the field for a key, or -1 if no field has the key.
func fieldByKey(t reflect.Type, key string) int {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == key && key != "" {
			return i
		}
	}
	return -1
}

// value fills a field or an element of any type.
func (d *decoder) value(v *value, dst reflect.Value, path string) {
	if v.isTableArray && !takesTables(dst) {
		d.reportTables(v, dst, path)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		d.pointer(v, dst, path)
	case reflect.Struct:
		if v.kind != unstable.Table {
			d.reportKind(v, dst, path)
			return
		}
		d.table(v, dst, path)
	case reflect.Slice:
		d.slice(v, dst, path)
	case reflect.Map:
		d.mapping(v, dst, path)
	default:
		d.scalar(v, dst, path)
	}
}

// takesTables reports whether a destination accepts tables in double brackets. A pointer does
// here: the check is repeated for the value that it points to.
func takesTables(dst reflect.Value) bool {
	switch dst.Kind() {
	case reflect.Pointer:
		return true
	case reflect.Slice:
		return dst.Type().Elem().Kind() == reflect.Struct
	default:
		return false
	}
}

// reportTables reports tables in double brackets whose destination does not accept them.
func (d *decoder) reportTables(v *value, dst reflect.Value, path string) {
	if dst.Kind() == reflect.Struct {
		d.report(v.keyOffset, path, "must be a single table, written as [%s] in single brackets", path)
		return
	}
	d.report(v.keyOffset, path, "must be %s, got a table", expected(dst.Type()))
}

func (d *decoder) reportKind(v *value, dst reflect.Value, path string) {
	d.report(v.offset, path, "must be %s, got %s", expected(dst.Type()), describe(v))
}

// pointer fills a pointer, which stays nil if its value is invalid.
func (d *decoder) pointer(v *value, dst reflect.Value, path string) {
	target := reflect.New(dst.Type().Elem())
	d.value(v, target.Elem(), path)
	if !d.reported(path) {
		dst.Set(target)
	}
}

func (d *decoder) slice(v *value, dst reflect.Value, path string) {
	ofStructs := dst.Type().Elem().Kind() == reflect.Struct
	singleTable := !v.isTableArray && v.kind == unstable.Table && !v.inline
	switch {
	case ofStructs && singleTable:
		d.report(v.keyOffset, path, "must be a list of tables, each written as [[%s]] in double brackets", path)
		return
	case v.kind != unstable.Array:
		d.reportKind(v, dst, path)
		return
	}
	for i, element := range v.elements {
		member, memberPath := reflect.New(dst.Type().Elem()).Elem(), fmt.Sprintf("%s[%d]", path, i)
		d.offsets[memberPath] = element.offset
		d.value(element, member, memberPath)
		dst.Set(reflect.Append(dst, member))
	}
}

func (d *decoder) mapping(v *value, dst reflect.Value, path string) {
	if v.kind != unstable.Table {
		d.reportKind(v, dst, path)
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	for _, key := range v.keys {
		member, memberPath := reflect.New(dst.Type().Elem()).Elem(), join(path, key)
		d.offsets[memberPath] = v.members[key].offset
		d.value(v.members[key], member, memberPath)
		dst.SetMapIndex(reflect.ValueOf(key), member)
	}
}

// scalar fills a string, a number or a boolean, and checks its value alone. An invalid value is
// left at zero, so that checks which depend on it report no further problems.
func (d *decoder) scalar(v *value, dst reflect.Value, path string) {
	if !setScalar(v, dst) {
		d.reportKind(v, dst, path)
		return
	}
	c, ok := dst.Interface().(checker)
	if !ok {
		return
	}
	if err := c.check(); err != nil {
		d.report(v.offset, path, "%v", err)
		dst.SetZero()
	}
}

// setScalar sets a string, a number or a boolean, and reports whether the value has the kind
// of the destination.
func setScalar(v *value, dst reflect.Value) bool {
	digits := strings.ReplaceAll(v.text, "_", "")
	switch dst.Kind() {
	case reflect.String:
		if v.kind != unstable.String {
			return false
		}
		dst.SetString(v.text)
	case reflect.Bool:
		if v.kind != unstable.Bool {
			return false
		}
		dst.SetBool(v.text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(digits, 0, 64)
		if v.kind != unstable.Integer || err != nil {
			return false
		}
		dst.SetInt(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(digits, 64)
		isNumber := v.kind == unstable.Float || v.kind == unstable.Integer
		if !isNumber || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
		dst.SetFloat(x)
	default: // no table has a field of another kind
	}
	return true
}
