package hook

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// diagnosticCases are invalid programs, each with a part of the expected error text. The part is "" if only
// the failure of the compilation is checked.
var diagnosticCases = []struct{ source, want string }{
	{"on request {\n\ttag(1)\n}", `test.hook:2:2: tag takes (text), got [int]`},
	{"on request {\n\tlet a = 1 + 2.0\n}", `test.hook:2:12: int + float is not defined; float(...) converts an int to a float`},
	{`on request { let x = 1 x = 2 }`, `"x" is read-only`},
	{`on request { y = 2 }`, `unknown variable "y"`},
	{`on request { tag(z) }`, `unknown variable or constant "z"`},
	{`on request { var x = 1 x = "a" }`, `the value must be int, got text`},
	{`on request { if 1 { } }`, `the condition must be bool, got int`},
	{`on request { let x = 1 let x = 2 }`, `"x" is already declared`},
	{`on request { let if = 1 }`, `"if"`},
	{`const tag = 1 on request { }`, `"tag" is already defined by the language`},
	{`fn f() -> int { } on request { }`, `f must return int on every path`},
	{`fn f() -> int { if true { return 1 } } on request { }`, `f must return int on every path`},
	{`fn f(a: int) { } on request { f("x") }`, `f takes [int], got [text]`},
	{`on request { g() }`, `unknown function "g"`},
	{`on request { break }`, `break and continue are only allowed in a loop`},
	{`on request { return tag("x") }`, `does not return a value`},
	{`on request { return 1 }`, `does not return a value`},
	{`on nothing { }`, `unknown hook "nothing"; must be request, outcome or member`},
	{`on request { } on request { }`, `hook "request" is declared twice`},
	{`const a = 1`, `no hook`},
	{`on outcome { tag("x") }`, `tag is not available in "on outcome"`},
	{`fn f() { refuse("x", 1s) } on member { f() }`, `refuse is not available in "on member"`},
	{`on outcome { count(event.target) }`, `the event has no field "target" here; its fields are class, ending, id, tenant, took`},
	{`fn f() -> text { return event.target } on outcome { count(f()) }`, `event.target is not available`},
	{`on request { let m = map[int]() m[1] = 2 }`, `a map key must be text, got int`},
	{`on request { "abc"[0] = "x" }`, ``},
	{`on request { let x = "abc"[0] }`, `text cannot be indexed`},
	{`on request { let x = [1, "a"] }`, `a list entry must be int, got text`},
	{`on request { 1 + 2 }`, ``},
	{`on request { event.class }`, `this statement has no effect`},
	{`on request { let x = tag("a") }`, `this expression has no value`},
	{`on request { let x: text = 1 }`, `the value must be text, got int`},
	{`fn f(a: str) { } on request { }`, `unknown type "str"`},
	{`on request { let x = year(now(), "Mars/Base") }`, `unknown time zone "Mars/Base"`},
	{`on request { let x = year(now(), event.class) }`, `the name of the time zone must be a constant`},
	{`state s: map 0 1h on request { }`, `1 to 10000 entries`},
	{`state s: counter on request { tag(s) }`, `"s" is a state`},
	{`on request { add(q, 1) }`, `the first argument of add must be a state`},
	{`state s: counter on request { forget(s, "x") }`, `is a counter`},
	{`state s: counter on request { add(s, "x", 1) }`, `takes 1 argument(s) after the state`},
	{`on request { let x = 99999999999999999999 }`, `invalid literal`},
	{`on request { return tag("x") tag("y") }`, ``},
	{"on request {\n\treturn\n}\non request", `test.hook:4:11`},
	{`on request { while true { break tag("x") } }`, `unreachable statement`},
	{`on request { let x = true < false }`, `bool < bool is not defined`},
	{`on request { let x = -"a" }`, `-text is not defined`},
	{`on request { for x in 5 { } }`, `a for loop needs a list or FROM..TO, got int`},
	{`on request { tag("a` + "\n" + `") }`, `test.hook:1`},
	{`on request { ` + strings.Repeat("(", 100), `nesting is deeper than 64 levels`},
	{`on request { let x = ` + strings.Repeat("not ", 100) + `true }`, `nesting is deeper than 64 levels`},
	{strings.Repeat("#", MaxSourceBytes+1), `the program has 65537 bytes; at most 65536 are allowed`},
	{"state s0: counter " + func() (s string) {
		for i := range MaxStates {
			s += fmt.Sprintf("state t%d: counter ", i)
		}
		return s
	}() + `on request { }`, `a program may have at most 16 states`},
	{`const a = now() on request { }`, `the value of a constant must be a plain literal`},
	{`on request { tag(tag) }`, ``},
	{`on request { let l = [tag("x")] }`, `this expression has no value`},
}

// TestDiagnostics checks that the compiler rejects invalid programs with the expected error, and that a
// program with two errors gets two diagnostics, with the line and the mark under the column.
func TestDiagnostics(t *testing.T) {
	for _, test := range diagnosticCases {
		_, err := Compile("test.hook", test.source)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "%!") {
			t.Errorf("%.80s: got %v, want %s", test.source, err, test.want)
		}
	}
	_, err := Compile("test.hook", "on request {\n\ttag(a)\n\n\ttag(b)\n}")
	var all Errors
	if !errors.As(err, &all) || len(all) != 2 || all[1].Line != 4 || !strings.HasSuffix(all[0].Error(), "\ttag(a)\n\t\t    ^") {
		t.Errorf("got %q, want two diagnostics, the first with a mark under a, the second in line 4", err)
	}
}
