package hook

// kind is the kind of a value.
type kind uint8

const (
	kindNone kind = iota
	kindBool
	kindInt
	kindFloat
	kindText
	kindDuration // nanoseconds
	kindTime     // Unix time in nanoseconds
	kindList
	kindMap // keys are texts
)

// valueType is the static type of an expression. There is exactly one valueType for each kind without
// elements, so that pointers to them can be compared. The types of lists and maps are compared by isSame.
type valueType struct {
	kind    kind
	element *valueType // type of the entries of a list, or of the values of a map
}

var (
	typeNone     = &valueType{kind: kindNone}
	typeBool     = &valueType{kind: kindBool}
	typeInt      = &valueType{kind: kindInt}
	typeFloat    = &valueType{kind: kindFloat}
	typeText     = &valueType{kind: kindText}
	typeDuration = &valueType{kind: kindDuration}
	typeTime     = &valueType{kind: kindTime}

	typeTextList = listOf(typeText)
)

// namedTypes are the types whose name in a program is a single word.
var namedTypes = map[string]*valueType{
	"bool":     typeBool,
	"int":      typeInt,
	"float":    typeFloat,
	"text":     typeText,
	"duration": typeDuration,
	"time":     typeTime,
}

func listOf(element *valueType) *valueType { return &valueType{kind: kindList, element: element} }

func mapOf(element *valueType) *valueType { return &valueType{kind: kindMap, element: element} }

// isSame reports whether two types are identical.
func (t *valueType) isSame(other *valueType) bool {
	if t == other {
		return true
	}
	hasElements := t.element != nil && other.element != nil
	return t.kind == other.kind && hasElements && t.element.isSame(other.element)
}

// String returns the type as a program writes it.
func (t *valueType) String() string {
	switch t.kind {
	case kindList:
		return "list[" + t.element.String() + "]"
	case kindMap:
		return "map[" + t.element.String() + "]"
	default:
		for name, named := range namedTypes {
			if named == t {
				return name
			}
		}
		return "nothing"
	}
}

// isOrdered reports whether < and > compare values of the type.
func (t *valueType) isOrdered() bool {
	switch t.kind {
	case kindInt, kindFloat, kindText, kindDuration, kindTime:
		return true
	default:
		return false
	}
}

// isScalar reports whether values of the type are compared by content. This applies to all types except
// lists and maps.
func (t *valueType) isScalar() bool { return t.isOrdered() || t.kind == kindBool }

// isSigned reports whether values of the type can be negated.
func (t *valueType) isSigned() bool { return t == typeInt || t == typeFloat || t == typeDuration }
