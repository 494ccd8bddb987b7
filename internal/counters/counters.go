// Package counters derives the names of the counters in a struct. The names are used as label
// values of metrics and as log attributes.
package counters

import (
	"reflect"
	"strings"
	"unicode"
)

// nameTag is the key of the struct tag that sets a counter's name, as in `metric:"retry_after"`.
const nameTag = "metric"

// Each calls yield with the name and value of each uint64 field of the struct counts, in field
// order, and ignores fields of other types. The name is the value of the field's metric tag, or
// without a tag the field's name in snake case (RetryAfter: retry_after). Each panics if counts
// is not a struct.
func Each(counts any, yield func(name string, value uint64)) {
	values := reflect.ValueOf(counts)
	for i := range values.NumField() {
		field := values.Type().Field(i)
		if field.Type.Kind() == reflect.Uint64 {
			yield(counterName(field), values.Field(i).Uint())
		}
	}
}

func counterName(field reflect.StructField) string {
	if name, tagged := field.Tag.Lookup(nameTag); tagged {
		return name
	}
	return snakeCase(field.Name)
}

// snakeCase converts a name in camel case to snake case. Each capital letter starts a word, so
// names with abbreviations in capitals are not supported.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
