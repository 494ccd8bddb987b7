package hook

import "strings"

// signature is the type of a built-in function.
type signature struct {
	parameters []*valueType // one for each parameter; the entries are nil if the function is generic
	result     *valueType   // nil if infer determines the result; typeNone: the function returns nothing
	// infer is set for a generic function. It returns the result type for the types of the arguments, nil
	// if the function does not accept them. The caller has checked the number of arguments.
	infer         func(arguments []*valueType) *valueType
	parameterText string // the parameters of a generic function, for diagnostics
}

// fixed returns the signature of a function that is not generic.
func fixed(result *valueType, parameters ...*valueType) signature {
	return signature{parameters: parameters, result: result}
}

// generic returns the signature of a generic function, which accepts arguments of several types.
func generic(count int, parameterText string, infer func(arguments []*valueType) *valueType) signature {
	return signature{parameters: make([]*valueType, count), parameterText: parameterText, infer: infer}
}

// genericProcedure returns the signature of a generic function that returns nothing.
func genericProcedure(count int, parameterText string, infer func(arguments []*valueType) *valueType) signature {
	s := generic(count, parameterText, infer)
	s.result = typeNone
	return s
}

// results returns the number of values that a call leaves on the stack: 0 or 1.
func (s *signature) results() int {
	if s.result == typeNone {
		return 0
	}
	return 1
}

// operands returns the number of stack values that a call uses: the number of arguments, but at least
// 1 for the result.
func (s *signature) operands() int { return max(1, len(s.parameters)) }

// resultFor returns the result type for arguments of these types, nil if the function does not accept them.
func (s *signature) resultFor(arguments []*valueType) *valueType {
	if len(arguments) != len(s.parameters) {
		return nil
	}
	if s.infer != nil {
		return s.infer(arguments)
	}
	if !areSameTypes(arguments, s.parameters) {
		return nil
	}
	return s.result
}

// description returns a description of the parameters for diagnostics.
func (s *signature) description() string {
	if s.infer != nil {
		return s.parameterText
	}
	names := make([]string, len(s.parameters))
	for i, parameter := range s.parameters {
		names[i] = parameter.String()
	}
	return "(" + strings.Join(names, ", ") + ")"
}

// The signatures of the generic functions.
var (
	signatureLen    = generic(1, "(a text, list or map)", inferLen)
	signatureText   = generic(1, "(a bool, number, text, duration or time)", inferText)
	signatureMinMax = generic(2, "(two values of one type: int, float, text, duration or time)", inferMinMax)
	signaturePush   = genericProcedure(2, "(a list, a value of the type of its entries)", inferPush)
	signatureKeys   = generic(1, "(a map)", inferKeys)
	signatureGet    = generic(3, "(a map, a text key, a default value of the type of the map's values)", inferGet)
	signatureDelete = genericProcedure(2, "(a map, a text key)", inferDelete)
)

func inferLen(arguments []*valueType) *valueType {
	switch arguments[0].kind {
	case kindText, kindList, kindMap:
		return typeInt
	default:
		return nil
	}
}

func inferText(arguments []*valueType) *valueType {
	if !arguments[0].isScalar() {
		return nil
	}
	return typeText
}

func inferMinMax(arguments []*valueType) *valueType {
	if !arguments[0].isSame(arguments[1]) || !arguments[0].isOrdered() {
		return nil
	}
	return arguments[0]
}

func inferPush(arguments []*valueType) *valueType {
	list, item := arguments[0], arguments[1]
	if list.kind != kindList || !list.element.isSame(item) {
		return nil
	}
	return typeNone
}

func inferKeys(arguments []*valueType) *valueType {
	if arguments[0].kind != kindMap {
		return nil
	}
	return typeTextList
}

func inferGet(arguments []*valueType) *valueType {
	if inferDelete(arguments[:2]) == nil || !arguments[0].element.isSame(arguments[2]) {
		return nil
	}
	return arguments[2]
}

func inferDelete(arguments []*valueType) *valueType {
	if arguments[0].kind != kindMap || arguments[1] != typeText {
		return nil
	}
	return typeNone
}
