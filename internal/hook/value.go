package hook

import (
	"math"
	"strconv"
	"time"
)

// value is a value of the virtual machine. Its type, which the compiler knows, says which field
// holds it; the other fields are not read.
type value struct {
	number int64 // bool, int, a float's bits, duration, time
	text   string
	list   *listValue
	dict   *mapValue
}

// listValue is a mutable list; all values that refer to it see a change.
type listValue struct{ items []value }

// mapValue is a mutable map from texts. It keeps its keys in the order in which they were added, so
// that iteration is deterministic.
type mapValue struct {
	indexes map[string]int // in keys and values
	keys    []string
	values  []value
}

func intValue(n int64) value { return value{number: n} }

func textValue(text string) value { return value{text: text} }

func floatValue(f float64) value { return value{number: floatBits(f)} }

func boolValue(b bool) value { return value{number: boolNumber(b)} }

func boolNumber(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (v *value) float() float64 { return bitsFloat(v.number) }

func floatBits(f float64) int64 { return int64(math.Float64bits(f)) }

func bitsFloat(n int64) float64 { return math.Float64frombits(uint64(n)) }

// formatValue returns the text of a plain value.
func formatValue(kind kind, v value) string {
	switch kind {
	case kindBool:
		return strconv.FormatBool(v.number != 0)
	case kindInt:
		return strconv.FormatInt(v.number, 10)
	case kindFloat:
		return strconv.FormatFloat(v.float(), 'g', -1, 64)
	case kindDuration:
		return time.Duration(v.number).String()
	case kindTime:
		return time.Unix(0, v.number).UTC().Format(time.RFC3339Nano)
	default:
		return v.text
	}
}
