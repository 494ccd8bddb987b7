package hook

import (
	"slices"
	"strings"
)

// builtin is a function that the language has.
type builtin struct {
	name string
	// types gives the result for arguments of these types; the error says what is meant.
	types func(args []*typ) (*typ, string)
	takes string // for people
	hooks []string
	place bool // its last argument is a time zone's name, known beforehand
}

func is(ts []*typ, want ...*typ) bool {
	return slices.EqualFunc(ts, want, func(a, b *typ) bool { return a.same(b) })
}

func fixed(result *typ, takes ...*typ) func([]*typ) (*typ, string) {
	return func(args []*typ) (*typ, string) {
		if is(args, takes...) {
			return result, ""
		}
		names := make([]string, len(takes))
		for i, t := range takes {
			names[i] = t.String()
		}
		return nil, "(" + strings.Join(names, ", ") + ")"
	}
}

// texts made by each: text of any plain value.
func ofPlain(result *typ) func([]*typ) (*typ, string) {
	return func(args []*typ) (*typ, string) {
		if len(args) == 1 && args[0].plain() {
			return result, ""
		}
		return nil, "(a bool, number, text, duration or time)"
	}
}

func extreme(args []*typ) (*typ, string) {
	if len(args) == 2 && args[0].same(args[1]) && args[0].ordered() {
		return args[0], ""
	}
	return nil, "(two values of one type that has an order)"
}

var (
	texts     = &typ{kind: kindList, of: typeText}
	inRequest = []string{"request"}
)

// The builtins, by number.
const (
	bLen = iota
	bLower
	bUpper
	bTrim
	bHasPrefix
	bHasSuffix
	bFind
	bSlice
	bSplit
	bJoin
	bText
	bParseInt
	bInt
	bFloat
	bSeconds
	bMin
	bMax
	bPush
	bKeys
	bGet
	bDelete
	bNow
	bHeader
	bYear
	bMonth
	bDay
	bHour
	bMinute
	bWeekday
	bDate
	bSetHeader
	bRemoveHeader
	bTag
	bSetTenant
	bRefuse
	bCount
	bLabel
)

var calendar = []*typ{typeTime, typeText}

var builtins = [...]builtin{
	bLen: {name: "len", types: func(a []*typ) (*typ, string) {
		if len(a) == 1 && (a[0].kind == kindText || a[0].kind == kindList || a[0].kind == kindMap) {
			return typeInt, ""
		}
		return nil, "(a text, list or map)"
	}},
	bLower:     {name: "lower", types: fixed(typeText, typeText)},
	bUpper:     {name: "upper", types: fixed(typeText, typeText)},
	bTrim:      {name: "trim", types: fixed(typeText, typeText)},
	bHasPrefix: {name: "has_prefix", types: fixed(typeBool, typeText, typeText)},
	bHasSuffix: {name: "has_suffix", types: fixed(typeBool, typeText, typeText)},
	bFind:      {name: "find", types: fixed(typeInt, typeText, typeText)},
	bSlice:     {name: "slice", types: fixed(typeText, typeText, typeInt, typeInt)},
	bSplit:     {name: "split", types: fixed(texts, typeText, typeText)},
	bJoin:      {name: "join", types: fixed(typeText, texts, typeText)},
	bText:      {name: "text", types: ofPlain(typeText)},
	bParseInt:  {name: "parse_int", types: fixed(typeInt, typeText, typeInt)},
	bInt:       {name: "int", types: fixed(typeInt, typeFloat)},
	bFloat:     {name: "float", types: fixed(typeFloat, typeInt)},
	bSeconds:   {name: "seconds", types: fixed(typeFloat, typeDuration)},
	bMin:       {name: "min", types: extreme},
	bMax:       {name: "max", types: extreme},
	bPush: {name: "push", types: func(a []*typ) (*typ, string) {
		if len(a) == 2 && a[0].kind == kindList && a[0].of.same(a[1]) {
			return typeNone, ""
		}
		return nil, "(a list, a value of its type)"
	}},
	bKeys: {name: "keys", types: func(a []*typ) (*typ, string) {
		if len(a) == 1 && a[0].kind == kindMap {
			return texts, ""
		}
		return nil, "(a map)"
	}},
	bGet: {name: "get", types: func(a []*typ) (*typ, string) {
		if len(a) == 3 && a[0].kind == kindMap && a[1] == typeText && a[0].of.same(a[2]) {
			return a[2], ""
		}
		return nil, "(a map, a text, a value of the map's type for where there is none)"
	}},
	bDelete: {name: "delete", types: func(a []*typ) (*typ, string) {
		if len(a) == 2 && a[0].kind == kindMap && a[1] == typeText {
			return typeNone, ""
		}
		return nil, "(a map, a text)"
	}},
	bNow:          {name: "now", types: fixed(typeTime)},
	bHeader:       {name: "header", types: fixed(typeText, typeText), hooks: inRequest},
	bYear:         {name: "year", types: fixed(typeInt, calendar...), place: true},
	bMonth:        {name: "month", types: fixed(typeInt, calendar...), place: true},
	bDay:          {name: "day", types: fixed(typeInt, calendar...), place: true},
	bHour:         {name: "hour", types: fixed(typeInt, calendar...), place: true},
	bMinute:       {name: "minute", types: fixed(typeInt, calendar...), place: true},
	bWeekday:      {name: "weekday", types: fixed(typeInt, calendar...), place: true},
	bDate:         {name: "date", types: fixed(typeTime, typeInt, typeInt, typeInt, typeText), place: true},
	bSetHeader:    {name: "set_header", types: fixed(typeNone, typeText, typeText), hooks: allowed[SetHeader]},
	bRemoveHeader: {name: "remove_header", types: fixed(typeNone, typeText), hooks: allowed[RemoveHeader]},
	bTag:          {name: "tag", types: fixed(typeNone, typeText), hooks: allowed[Tag]},
	bSetTenant:    {name: "set_tenant", types: fixed(typeNone, typeText), hooks: allowed[SetTenant]},
	bRefuse:       {name: "refuse", types: fixed(typeNone, typeText, typeDuration), hooks: allowed[Refuse]},
	bCount:        {name: "count", types: fixed(typeNone, typeText), hooks: allowed[Count]},
	bLabel:        {name: "label", types: fixed(typeNone, typeText, typeText), hooks: allowed[Label]},
}
