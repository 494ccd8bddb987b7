package hook

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// programWriter writes random programs. They terminate, because all loops are for loops.
type programWriter struct {
	*rand.Rand
	output        strings.Builder
	variables     map[string][]string // names of the variables in scope, by type
	readOnly      map[string]bool     // by name; true for let and loop variables
	variableCount int                 // number of variables so far; part of the next variable's name
	depth         int                 // nesting depth of statements
}

// generate returns a random program with a request hook.
func generate(rng *rand.Rand) string {
	w := &programWriter{Rand: rng, variables: make(map[string][]string), readOnly: make(map[string]bool)}
	w.output.WriteString("const three = 3\nstate seen: map 100 1h\nfn twice(n: int) -> int {\n\tif n > 1000 { return 0 }\n\treturn n * 2\n}\nfn glue(a: text, b: text) -> text { return a + \"/\" + b }\non request {\n")
	w.block(6)
	w.output.WriteString("}\n")
	return w.output.String()
}

// block writes 1 to maxStatements statements. Variables that they declare go out of scope at the end.
func (w *programWriter) block(maxStatements int) {
	saved := make(map[string][]string)
	for t, names := range w.variables {
		saved[t] = names[:len(names):len(names)]
	}
	for range 1 + w.IntN(maxStatements) {
		w.statement()
	}
	w.variables = saved
}

// statement writes a statement, or nothing if no variable is suitable.
func (w *programWriter) statement() {
	types := []string{"int", "text", "bool", "float", "list[int]", "map[text]"}
	t := types[w.IntN(len(types))]
	w.depth++
	defer func() { w.depth-- }()
	kind := w.IntN(10)
	if w.depth > 3 {
		kind %= 5
	}
	switch kind {
	case 0, 1:
		name := fmt.Sprintf("v%d", w.variableCount)
		w.variableCount++
		w.readOnly[name] = w.IntN(3) == 0
		fmt.Fprintf(&w.output, "%s %s = %s\n", map[bool]string{true: "let", false: "var"}[w.readOnly[name]], name, w.expression(t, 3))
		w.variables[t] = append(w.variables[t], name)
	case 2:
		if v := w.variable(t); v != "" && !w.readOnly[v] {
			fmt.Fprintf(&w.output, "%s = %s\n", v, w.expression(t, 3))
		}
	case 3:
		fmt.Fprintf(&w.output, "tag(text(%s))\n", w.expression([]string{"int", "text", "bool", "float"}[w.IntN(4)], 3))
	case 4:
		if l := w.variable("list[int]"); l != "" && w.IntN(2) == 0 {
			fmt.Fprintf(&w.output, "push(%s, %s)\n", l, w.expression("int", 2))
		} else if m := w.variable("map[text]"); m != "" {
			fmt.Fprintf(&w.output, "%s[%s] = %s\n", m, w.expression("text", 1), w.expression("text", 2))
		} else {
			fmt.Fprintf(&w.output, "add(seen, %s, %s)\n", w.expression("text", 1), w.expression("int", 1))
		}
	case 5, 6:
		fmt.Fprintf(&w.output, "if %s {\n", w.expression("bool", 2))
		w.block(3)
		if w.IntN(2) == 0 {
			w.output.WriteString("} else {\n")
			w.block(3)
		}
		w.output.WriteString("}\n")
	default:
		name := fmt.Sprintf("v%d", w.variableCount)
		w.variableCount++
		w.readOnly[name] = true
		if l := w.variable("list[int]"); l != "" && w.IntN(2) == 0 {
			fmt.Fprintf(&w.output, "for %s in [%s, %s] {\n", name, w.expression("int", 1), w.expression("int", 1))
		} else {
			fmt.Fprintf(&w.output, "for %s in %d..%d {\n", name, w.IntN(3), w.IntN(6))
		}
		w.variables["int"] = append(w.variables["int"], name)
		w.block(3)
		if w.IntN(3) == 0 {
			fmt.Fprintf(&w.output, "if %s { %s }\n", w.expression("bool", 1), []string{"break", "continue"}[w.IntN(2)])
		}
		w.output.WriteString("}\n")
		w.variables["int"] = w.variables["int"][:len(w.variables["int"])-1]
	}
}

// variable returns the name of a random variable of a type, "" if there is none.
func (w *programWriter) variable(t string) string {
	if names := w.variables[t]; len(names) > 0 {
		return names[w.IntN(len(names))]
	}
	return ""
}

// expression returns a random expression of a type. depth is the maximum depth of its subexpressions.
func (w *programWriter) expression(t string, depth int) string {
	if v := w.variable(t); v != "" && (depth == 0 || w.IntN(3) == 0) {
		return v
	}
	sub := func(t string) string { return w.expression(t, depth-1) }
	choose := func(s ...func() string) string { return s[w.IntN(len(s))]() }
	leaf := func(s string) func() string { return func() string { return s } }
	switch t {
	case "int":
		if depth <= 0 {
			return choose(leaf("three"), leaf(fmt.Sprint(w.IntN(100))), leaf("9223372036854775807"), leaf("event.size"))
		}
		op := []string{"+", "-", "*", "/", "%"}[w.IntN(5)]
		return choose(func() string { return "(" + sub(t) + " " + op + " " + sub(t) + ")" }, func() string { return "-" + sub("int") }, func() string { return "twice(" + sub(t) + ")" },
			func() string { return "len(" + sub("text") + ")" }, func() string { return "min(" + sub(t) + ", " + sub(t) + ")" }, func() string { return sub("list[int]") + "[" + sub(t) + "]" },
			func() string { return "value(seen, " + sub("text") + ")" }, func() string { return "parse_int(" + sub("text") + ", " + sub(t) + ")" }, func() string { return "add(seen, " + sub("text") + ", " + sub("int") + ")" })
	case "text":
		if depth <= 0 {
			return choose(leaf(`"a"`), leaf(`"ridge-7"`), leaf("event.class"), leaf(`header("Apiary")`), leaf(`""`))
		}
		return choose(func() string { return "(" + sub(t) + " + " + sub(t) + ")" }, func() string { return "glue(" + sub(t) + ", " + sub(t) + ")" }, func() string { return "text(" + sub("int") + ")" },
			func() string { return "upper(" + sub(t) + ")" }, func() string { return "join(split(" + sub(t) + `, "a"), "b")` }, func() string { return "get(" + sub("map[text]") + ", " + sub(t) + ", " + sub(t) + ")" },
			func() string { return "slice(" + sub(t) + ", 0, " + sub("int") + ")" })
	case "bool":
		if depth <= 0 {
			return choose(leaf("true"), leaf("false"), leaf("event.retry"))
		}
		cmp := []string{"==", "!=", "<", "<=", ">", ">="}[w.IntN(6)]
		return choose(func() string { return "(" + sub("int") + " " + cmp + " " + sub("int") + ")" }, func() string { return "(" + sub("float") + " " + cmp + " " + sub("float") + ")" },
			func() string { return "(" + sub("text") + " " + cmp + " " + sub("text") + ")" }, func() string { return "(" + sub(t) + " and " + sub(t) + ")" },
			func() string { return "(" + sub(t) + " or " + sub(t) + ")" }, func() string { return "(not " + sub(t) + ")" }, func() string { return "(" + sub("int") + " in " + sub("list[int]") + ")" },
			func() string { return "(" + sub("text") + " in " + sub("map[text]") + ")" }, func() string { return "has_prefix(" + sub("text") + ", " + sub("text") + ")" })
	case "float":
		if depth <= 0 {
			return choose(leaf("0.5"), leaf("2.0"), leaf("0.0"))
		}
		op := []string{"+", "-", "*", "/"}[w.IntN(4)]
		return choose(func() string { return "(" + sub(t) + " " + op + " " + sub(t) + ")" }, func() string { return "float(" + sub("int") + ")" }, func() string { return "-" + sub(t) })
	case "list[int]":
		return choose(leaf("list[int]()"), func() string { return "[" + w.expression("int", depth-1) + ", " + w.expression("int", depth-1) + "]" })
	}
	return "map[text]()"
}
