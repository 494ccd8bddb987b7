package hook

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// programWriter writes random programs that end: all loops are for loops.
type programWriter struct {
	*rand.Rand
	b     strings.Builder
	vars  map[string][]string // by type
	fixed map[string]bool
	next  int
	depth int
}

func generate(rng *rand.Rand) string {
	w := &programWriter{Rand: rng, vars: make(map[string][]string), fixed: make(map[string]bool)}
	w.b.WriteString("const three = 3\nstate seen: map 100 1h\nfn twice(n: int) -> int {\n\tif n > 1000 { return 0 }\n\treturn n * 2\n}\nfn glue(a: text, b: text) -> text { return a + \"/\" + b }\non request {\n")
	w.block(6)
	w.b.WriteString("}\n")
	return w.b.String()
}

func (w *programWriter) block(n int) {
	saved := make(map[string][]string)
	for t, names := range w.vars {
		saved[t] = names[:len(names):len(names)]
	}
	for range 1 + w.IntN(n) {
		w.stmt()
	}
	w.vars = saved
}

func (w *programWriter) stmt() {
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
		name := fmt.Sprintf("v%d", w.next)
		w.next++
		w.fixed[name] = w.IntN(3) == 0
		fmt.Fprintf(&w.b, "%s %s = %s\n", map[bool]string{true: "let", false: "var"}[w.fixed[name]], name, w.expr(t, 3))
		w.vars[t] = append(w.vars[t], name)
	case 2:
		if v := w.variable(t); v != "" && !w.fixed[v] {
			fmt.Fprintf(&w.b, "%s = %s\n", v, w.expr(t, 3))
		}
	case 3:
		fmt.Fprintf(&w.b, "tag(text(%s))\n", w.expr([]string{"int", "text", "bool", "float"}[w.IntN(4)], 3))
	case 4:
		if l := w.variable("list[int]"); l != "" && w.IntN(2) == 0 {
			fmt.Fprintf(&w.b, "push(%s, %s)\n", l, w.expr("int", 2))
		} else if m := w.variable("map[text]"); m != "" {
			fmt.Fprintf(&w.b, "%s[%s] = %s\n", m, w.expr("text", 1), w.expr("text", 2))
		} else {
			fmt.Fprintf(&w.b, "add(seen, %s, %s)\n", w.expr("text", 1), w.expr("int", 1))
		}
	case 5, 6:
		fmt.Fprintf(&w.b, "if %s {\n", w.expr("bool", 2))
		w.block(3)
		if w.IntN(2) == 0 {
			w.b.WriteString("} else {\n")
			w.block(3)
		}
		w.b.WriteString("}\n")
	default:
		name := fmt.Sprintf("v%d", w.next)
		w.next++
		w.fixed[name] = true
		if l := w.variable("list[int]"); l != "" && w.IntN(2) == 0 {
			fmt.Fprintf(&w.b, "for %s in [%s, %s] {\n", name, w.expr("int", 1), w.expr("int", 1))
		} else {
			fmt.Fprintf(&w.b, "for %s in %d..%d {\n", name, w.IntN(3), w.IntN(6))
		}
		w.vars["int"] = append(w.vars["int"], name)
		w.block(3)
		if w.IntN(3) == 0 {
			fmt.Fprintf(&w.b, "if %s { %s }\n", w.expr("bool", 1), []string{"break", "continue"}[w.IntN(2)])
		}
		w.b.WriteString("}\n")
		w.vars["int"] = w.vars["int"][:len(w.vars["int"])-1]
	}
}

func (w *programWriter) variable(t string) string {
	if names := w.vars[t]; len(names) > 0 {
		return names[w.IntN(len(names))]
	}
	return ""
}

// expr writes an expression of a type.
func (w *programWriter) expr(t string, depth int) string {
	if v := w.variable(t); v != "" && (depth == 0 || w.IntN(3) == 0) {
		return v
	}
	of := func(t string) string { return w.expr(t, depth-1) }
	pick := func(s ...func() string) string { return s[w.IntN(len(s))]() }
	leaf := func(s string) func() string { return func() string { return s } }
	switch t {
	case "int":
		if depth <= 0 {
			return pick(leaf("three"), leaf(fmt.Sprint(w.IntN(100))), leaf("9223372036854775807"), leaf("event.size"))
		}
		op := []string{"+", "-", "*", "/", "%"}[w.IntN(5)]
		return pick(func() string { return "(" + of(t) + " " + op + " " + of(t) + ")" }, func() string { return "-" + of("int") }, func() string { return "twice(" + of(t) + ")" },
			func() string { return "len(" + of("text") + ")" }, func() string { return "min(" + of(t) + ", " + of(t) + ")" }, func() string { return of("list[int]") + "[" + of(t) + "]" },
			func() string { return "value(seen, " + of("text") + ")" }, func() string { return "parse_int(" + of("text") + ", " + of(t) + ")" }, func() string { return "add(seen, " + of("text") + ", " + of("int") + ")" })
	case "text":
		if depth <= 0 {
			return pick(leaf(`"a"`), leaf(`"ridge-7"`), leaf("event.class"), leaf(`header("Apiary")`), leaf(`""`))
		}
		return pick(func() string { return "(" + of(t) + " + " + of(t) + ")" }, func() string { return "glue(" + of(t) + ", " + of(t) + ")" }, func() string { return "text(" + of("int") + ")" },
			func() string { return "upper(" + of(t) + ")" }, func() string { return "join(split(" + of(t) + `, "a"), "b")` }, func() string { return "get(" + of("map[text]") + ", " + of(t) + ", " + of(t) + ")" },
			func() string { return "slice(" + of(t) + ", 0, " + of("int") + ")" })
	case "bool":
		if depth <= 0 {
			return pick(leaf("true"), leaf("false"), leaf("event.retry"))
		}
		cmp := []string{"==", "!=", "<", "<=", ">", ">="}[w.IntN(6)]
		return pick(func() string { return "(" + of("int") + " " + cmp + " " + of("int") + ")" }, func() string { return "(" + of("float") + " " + cmp + " " + of("float") + ")" },
			func() string { return "(" + of("text") + " " + cmp + " " + of("text") + ")" }, func() string { return "(" + of(t) + " and " + of(t) + ")" },
			func() string { return "(" + of(t) + " or " + of(t) + ")" }, func() string { return "(not " + of(t) + ")" }, func() string { return "(" + of("int") + " in " + of("list[int]") + ")" },
			func() string { return "(" + of("text") + " in " + of("map[text]") + ")" }, func() string { return "has_prefix(" + of("text") + ", " + of("text") + ")" })
	case "float":
		if depth <= 0 {
			return pick(leaf("0.5"), leaf("2.0"), leaf("0.0"))
		}
		op := []string{"+", "-", "*", "/"}[w.IntN(4)]
		return pick(func() string { return "(" + of(t) + " " + op + " " + of(t) + ")" }, func() string { return "float(" + of("int") + ")" }, func() string { return "-" + of(t) })
	case "list[int]":
		return pick(leaf("list[int]()"), func() string { return "[" + w.expr("int", depth-1) + ", " + w.expr("int", depth-1) + "]" })
	}
	return "map[text]()"
}
