package hook

import (
	"math"
	"strconv"
	"time"
)

// value is a value of the virtual machine. The compiler knows its type, which determines the field that
// contains the value. The other fields are not read.
type value struct {
	number int64 // a bool, an int, the bits of a float, a duration or a time
	text   string
	list   *listValue
	dict   *mapValue
}

// listValue is a mutable list. A change is visible through all values that refer to the list.
type listValue struct{ items []value }

// mapValue is a mutable map whose keys are texts. It keeps the keys in the order in which they were added,
// so that iteration is deterministic.
type mapValue struct {
	indexes map[string]int // indexes in keys and values, by key
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

// formatValue returns the text of a scalar value.
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
