package hook

import (
	"testing"
	"time"
)

// expressionCases are expressions with their values, as formatted by the function text. The value "" marks an
// expression with a type error.
var expressionCases = map[string]string{
	`1 + 2 * 3`:                              "7",
	`(1 + 2) * 3`:                            "9",
	`7 / 2`:                                  "3",
	`-7 / 2`:                                 "-3",
	`7 % 3`:                                  "1",
	`-(3 - 5)`:                               "2",
	`2 - 3 - 4`:                              "-5",
	`1.5 + 0.25`:                             "1.75",
	`1.0 / 0.0`:                              "+Inf",
	`float(3) / 2.0`:                         "1.5",
	`int(2.9)`:                               "2",
	`int(-2.9)`:                              "-2",
	`"a" + "b" == "ab"`:                      "true",
	`"a" < "b" and not (2 > 3)`:              "true",
	`1 == 2 or 3 != 3`:                       "false",
	`not true or true`:                       "true",
	`2s + 500ms`:                             "2.5s",
	`3 * 2s`:                                 "6s",
	`1m / 4`:                                 "15s",
	`1m / 1s`:                                "60",
	`seconds(1500ms)`:                        "1.5",
	`-1h < 0s`:                               "true",
	`2d`:                                     "48h0m0s",
	`now() + 1h - now()`:                     "1h0m0s",
	`now()`:                                  "2026-06-01T00:30:00Z",
	`hour(now(), "Australia/Brisbane")`:      "10",
	`day(now(), "America/New_York")`:         "31",
	`month(now() - 1h, "UTC")`:               "5",
	`weekday(now(), "UTC")`:                  "0",
	`minute(now(), "Asia/Kolkata")`:          "0",
	`year(now(), "UTC")`:                     "2026",
	`date(2026, 9, 1, "Australia/Brisbane")`: "2026-08-31T14:00:00Z",
	`len("häll")`:                            "5",
	`upper("abc") + lower("DEF")`:            "ABCdef",
	`trim("  x ")`:                           "x",
	`has_prefix("ridge-7", "ridge")`:         "true",
	`has_suffix("x", "xx")`:                  "false",
	`find("abcabc", "ca")`:                   "2",
	`slice("abcdef", 1, 3)`:                  "bc",
	`join(split("a,b,,c", ","), "|")`:        "a|b||c",
	`parse_int("42", 0) + parse_int("x", -1)`: "41",
	`min(3, 2) + max(1.0, 2.0) * 0.0`:         "",
	`min("b", "a")`:                           "a",
	`max(1s, 2s)`:                             "2s",
	`max(1.5, -2.0)`:                          "1.5",
	`"x" in ["a", "x"]`:                       "true",
	`3 in [1, 2]`:                             "false",
	`"ell" in "hello"`:                        "true",
	`len([1, 2, 3])`:                          "3",
	`[4, 5, 6][1]`:                            "5",
	`[[1], [2, 3]][1][1]`:                     "3",
	`0.0 in [-0.0]`:                           "true",
	`header("Apiary")`:                        "ridge-7",
	`header("None") == ""`:                    "true",
	`event.class`:                             "weight-reading",
	`event.size`:                              "42",
	`event.left`:                              "1s",
	`event.retry`:                             "true",
	`9223372036854775807 - 1`:                 "9223372036854775806",
	`"tab\t\"quoted\""`:                       "tab\t\"quoted\"",
}

// TestExpressions checks the values of expressions. Each program passes the formatted value to tag.
func TestExpressions(t *testing.T) {
	for source, want := range expressionCases {
		if want == "" {
			continue // operands of two types are a compile-time error; TestDiagnostics checks these errors
		}
		result, err := runProgram(t, "on request {\n\ttag(text("+source+"))\n}", ampleLimits)
		if err != nil || len(result.Effects) != 1 || result.Effects[0].Text != want {
			t.Errorf("%s: got %+v and error %v, want a tag with the text %s", source, result.Effects, err, want)
		}
	}
}

// programCases are programs, each with the text of its first effect.
var programCases = []struct{ source, want string }{
	{`on request { var s = 0  for i in 0..5 { if i == 3 { continue } s = s + i } tag(text(s)) }`, "7"},
	{`on request { var s = ""  for x in ["a", "b", "c"] { if x == "c" { break } s = s + x } tag(s) }`, "ab"},
	{`on request { var n = 10  while true { n = n - 3  if n < 0 { break } } tag(text(n)) }`, "-2"},
	{`fn fib(n: int) -> int { if n < 2 { return n } else { return fib(n - 1) + fib(n - 2) } } on request { tag(text(fib(12))) }`, "144"},
	{`fn even(n: int) -> bool { if n == 0 { return true } return odd(n - 1) } fn odd(n: int) -> bool { if n == 0 { return false } return even(n - 1) } on request { tag(text(even(10))) }`, "true"},
	{`on request { let l = list[int]()  for i in 0..4 { push(l, i * i) } l[0] = 9  var s = 0  for x in l { s = s + x } tag(text(s)) }`, "23"},
	{`on request { let m = map[int]()  m["b"] = 2  m["a"] = 1  m["b"] = 3  delete(m, "x")  tag(join(keys(m), "") + text(m["b"] + get(m, "z", 40)) + text("a" in m)) }`, "ba43true"},
	{`on request { let m = map[int]()  for i in 0..9 { m[text(i)] = i } delete(m, "4")  delete(m, "0")  var s = ""  for k in keys(m) { s = s + text(m[k]) } tag(s) }`, "1235678"},
	{`on request { let a = [1]  let b = a  push(b, 2)  tag(text(len(a))) }`, "2"},
	{`state n: counter state m: map 10 1h on request { add(n, 2)  add(m, "x", 5)  add(m, "y", 1)  forget(m, "y")  tag(text(add(n, 1)) + text(value(m, "x")) + text(value(m, "y"))) }`, "350"},
	{`const limit = 3 const name = "x" on request { if limit > 2 { tag(name) } else { tag("no") } }`, "x"},
	{`fn note(s: text) { tag(s) return } on request { note(event.tenant) }`, "downs"},
	{`on request { for i in 0..3 { for j in 0..3 { if j == 1 { break } if i == 1 { continue } tag(text(i * 10 + j)) } } }`, "0"},
	{`on request { let f = false  if f { tag("a") } else if not f { tag("b") } else { tag("c") } }`, "b"},
	{"# only a comment\non request { # here\n\ttag(\"x\") # and there\n}", "x"},
	{`on request { tag("kept")  refuse("go away", 2s)  tag("never") }`, "kept"},
}

// TestPrograms checks statements, functions, lists, maps and state by the first effect of a program, and the
// effect of refuse.
func TestPrograms(t *testing.T) {
	for _, test := range programCases {
		result, err := runProgram(t, test.source, ampleLimits)
		if err != nil || len(result.Effects) == 0 || result.Effects[0].Text != test.want {
			t.Errorf("%s: got %+v and error %v, want a first effect with the text %s", test.source, result.Effects, err, test.want)
		}
	}
	if result, _ := runProgram(t, `on request { refuse("go away", 2s) tag("never") }`, ampleLimits); len(result.Effects) != 1 || result.Effects[0] != (Effect{Kind: Refuse, Text: "go away", RetryAfter: 2 * time.Second}) {
		t.Errorf("got effects %+v, want one refusal with the text go away and a pause of 2s", result.Effects)
	}
}
