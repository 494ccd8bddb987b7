// Package counters names the counts of a struct, for logs and metrics.
package counters

import (
	"reflect"
	"strings"
	"unicode"
)

// Each gives the uint64 fields of a struct in their order, each by the name in its tag
// `metric:"retry_after"`, or else by its own name in lower case with underscores
// (RetryAfter: retry_after).
func Each(counts any, yield func(name string, n uint64)) {
	v := reflect.ValueOf(counts)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Type.Kind() != reflect.Uint64 {
			continue
		}
		name, tagged := field.Tag.Lookup("metric")
		if !tagged {
			name = snakeCase(field.Name)
		}
		yield(name, v.Field(i).Uint())
	}
}

func snakeCase(field string) string {
	var b strings.Builder
	for i, r := range field {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
