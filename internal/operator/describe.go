package operator

import (
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2/unstable"
)

// valueDescriber is a type that describes its valid values.
type valueDescriber interface{ expected() string }

// expected describes the valid values of a type, as the object of "must be".
func expected(t reflect.Type) string {
	if describer, ok := reflect.Zero(t).Interface().(valueDescriber); ok {
		return describer.expected()
	}
	switch t.Kind() {
	case reflect.Pointer:
		return expected(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number, such as 0.3"
	case reflect.String:
		return "a string in quotes"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "a table in double brackets"
		}
		return "a list in brackets, each element " + expected(t.Elem())
	default:
		return "a table"
	}
}

// describe describes a value of the file.
func describe(v *value) string {
	switch v.kind {
	case unstable.String:
		return fmt.Sprintf("the string %.60q", v.text)
	case unstable.Integer, unstable.Float:
		return fmt.Sprintf("the number %.40s", v.text)
	case unstable.Bool:
		return v.text
	case unstable.Array:
		return "a list"
	case unstable.Table:
		return "a table"
	default:
		return "a date or time"
	}
}
