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
	{"on request {\n\ttag(1)\n}", `test.hook:2:2: tag takes (text); these are [int]`},
	{"on request {\n\tlet a = 1 + 2.0\n}", `test.hook:2:12: int + float has no meaning; float(...) makes a float of an int`},
	{`on request { let x = 1 x = 2 }`, `"x" does not change`},
	{`on request { y = 2 }`, `there is no variable "y"`},
	{`on request { tag(z) }`, `there is no "z"`},
	{`on request { var x = 1 x = "a" }`, `the value is text; int is meant`},
	{`on request { if 1 { } }`, `the condition is int; bool is meant`},
	{`on request { let x = 1 let x = 2 }`, `"x" is declared already`},
	{`on request { let if = 1 }`, `"if"`},
	{`const tag = 1 on request { }`, `"tag" is the language's own`},
	{`fn f() -> int { } on request { }`, `f may end without a value`},
	{`fn f() -> int { if true { return 1 } } on request { }`, `f may end without a value`},
	{`fn f(a: int) { } on request { f("x") }`, `f takes [int]; these are [text]`},
	{`on request { g() }`, `there is no function "g"`},
	{`on request { break }`, `there is no loop around this`},
	{`on request { return tag("x") }`, `gives no value`},
	{`on request { return 1 }`, `gives no value`},
	{`on nothing { }`, `there is no hook "nothing": request, outcome or member is meant`},
	{`on request { } on request { }`, `two hooks "request"`},
	{`const a = 1`, `no hook`},
	{`on outcome { tag("x") }`, `tag is of no use in "on outcome"`},
	{`fn f() { refuse("x", 1s) } on member { f() }`, `refuse is of no use in "on member"`},
	{`on outcome { count(event.target) }`, `an event has no "target" here; there are class, ending, id, tenant, took`},
	{`fn f() -> text { return event.target } on outcome { count(f()) }`, `event.target is of no use`},
	{`on request { let m = map[int]() m[1] = 2 }`, `a map's key is int; text is meant`},
	{`on request { "abc"[0] = "x" }`, ``},
	{`on request { let x = "abc"[0] }`, `text has no places`},
	{`on request { let x = [1, "a"] }`, `a list's entry is text; int is meant`},
	{`on request { 1 + 2 }`, ``},
	{`on request { event.class }`, `this does nothing`},
	{`on request { let x = tag("a") }`, `this has no value`},
	{`on request { let x: text = 1 }`, `the value is int; text is meant`},
	{`fn f(a: str) { } on request { }`, `there is no type "str"`},
	{`on request { let x = year(now(), "Mars/Base") }`, `there is no time zone "Mars/Base"`},
	{`on request { let x = year(now(), event.class) }`, `known beforehand`},
	{`state s: map 0 1h on request { }`, `1 to 10000 entries`},
	{`state s: counter on request { tag(s) }`, `"s" is a state`},
	{`on request { add(q, 1) }`, `add takes a state first`},
	{`state s: counter on request { forget(s, "x") }`, `is a counter`},
	{`state s: counter on request { add(s, "x", 1) }`, `takes 1 more`},
	{`on request { let x = 99999999999999999999 }`, `this cannot be held`},
	{`on request { return tag("x") tag("y") }`, ``},
	{"on request {\n\treturn\n}\non request", `test.hook:4:11`},
	{`on request { while true { break tag("x") } }`, `this is never reached`},
	{`on request { let x = true < false }`, `bool < bool`},
	{`on request { let x = -"a" }`, `-text has no meaning`},
	{`on request { for x in 5 { } }`, `a list, or FROM..TO, is meant`},
	{`on request { tag("a` + "\n" + `") }`, `test.hook:1`},
	{`on request { ` + strings.Repeat("(", 100), `nested more than 64 deep`},
	{`on request { let x = ` + strings.Repeat("not ", 100) + `true }`, `nested more than 64 deep`},
	{strings.Repeat("#", MaxSourceBytes+1), `a program has 65536 at the most`},
	{"state s0: counter " + func() (s string) {
		for i := range MaxStates {
			s += fmt.Sprintf("state t%d: counter ", i)
		}
		return s
	}() + `on request { }`, `more than 16 states`},
	{`const a = now() on request { }`, `a constant is a plain value`},
	{`on request { tag(tag) }`, ``},
	{`on request { let l = [tag("x")] }`, `this has no value`},
}

// TestDiagnostics checks that the compiler rejects invalid programs with the expected error, and that a
// program with two mistakes gets two diagnostics, with the line and the mark under the column.
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
