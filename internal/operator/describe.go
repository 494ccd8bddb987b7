package operator

import (
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2/unstable"
)

// meaner is a type that says what a value of it looks like.
type meaner interface{ meant() string }

// meant describes what a value of a type looks like.
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
	default:
		return "a table"
	}
}

// describe describes the value that a file has.
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
	default:
		return "a date or time"
	}
}
