package hook

import (
	"errors"
	"testing"
)

// limitCases are programs that fail at run time, and why.
var limitCases = []struct {
	name, source string
	limits       Limits
	want         error
}{
	{"an endless loop", `on request { while true { } }`, Limits{Fuel: 10_000, Memory: 1 << 20}, ErrFuel},
	{"texts that double", `on request { var s = "x"  while true { s = s + s } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"a list that grows", `on request { let l = [0]  while true { push(l, 1) } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"a million keys", `on request { let m = map[int]()  for i in 0..1000000 { m[text(i)] = i } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"a split into many", `on request { var s = ","  for i in 0..14 { s = s + s } while true { let l = split(s, ",") } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"a join of itself", `on request { let l = ["xxxxxxxxxxxxxxxx"]  while true { push(l, join(l, ",")) } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"recursion", `fn f(n: int) -> int { return f(n + 1) } on request { tag(text(f(0))) }`, generous, ErrDepth},
	{"comparisons of long texts", `on request { var s = "x"  for i in 0..12 { s = s + s } let l = [s + "a"]  while true { let b = s + "b" in l } }`, Limits{Fuel: 100_000, Memory: 1 << 40}, ErrFuel},
	{"effects without end", `on request { while true { count("x") } }`, generous, ErrEffects},
	{"a division by zero", `on request { let z = 0  tag(text(1 / z)) }`, generous, ErrValue},
	{"the least number", `on request { let a = -9223372036854775807 - 1  tag(text(a / -1)) }`, generous, ErrValue},
	{"a sum too large", `on request { let a = 9223372036854775807  tag(text(a + 1)) }`, generous, ErrValue},
	{"a product too large", `on request { let a = 4611686018427387904  tag(text(a * 2)) }`, generous, ErrValue},
	{"a place outside", `on request { tag(text([1][1])) }`, generous, ErrValue},
	{"a key that is not there", `on request { let m = map[int]()  tag(text(m["x"])) }`, generous, ErrValue},
	{"a slice outside", `on request { tag(slice("abc", 2, 1)) }`, generous, ErrValue},
	{"a date that is none", `on request { tag(text(date(2026, 13, 1, "UTC"))) }`, generous, ErrValue},
	{"a key too long", `state m: map 10 1h on request { var s = "xxxxxxxxxxxxxxxxx"  for i in 0..3 { s = s + s } add(m, s, 1) }`, generous, ErrValue},
	{"a split by nothing", `on request { let l = split("abc", "") }`, generous, ErrValue},
}

// What ends a run, where, and that it costs the same each time.
func TestLimits(t *testing.T) {
	for _, x := range limitCases {
		first, err := runProgram(t, x.source, x.limits)
		var f *RuntimeError
		if !errors.Is(err, x.want) || !errors.As(err, &f) || f.Line != 1 || len(first.Effects) > 0 {
			t.Errorf("%s: %v, %+v", x.name, err, first)
		}
		if x.want == ErrFuel && first.Fuel != x.limits.Fuel {
			t.Errorf("%s: stopped at %d of %d", x.name, first.Fuel, x.limits.Fuel)
		}
		if again, _ := runProgram(t, x.source, x.limits); again.Fuel != first.Fuel || again.Memory != first.Memory {
			t.Errorf("%s: %+v and then %+v", x.name, first, again)
		}
		// One unit less than a run takes ends it, and what it takes does not.
		if x.want == ErrValue {
			if _, err := runProgram(t, x.source, Limits{first.Fuel, first.Memory}); !errors.Is(err, ErrValue) {
				t.Errorf("%s: with just what it takes: %v", x.name, err)
			}
			if _, err := runProgram(t, x.source, Limits{first.Fuel - 1, first.Memory}); !errors.Is(err, ErrFuel) {
				t.Errorf("%s: with one less: %v", x.name, err)
			}
		}
	}
}

// A machine holds on to nothing of what it ran, and a typical call allocates nothing.
func TestNoAllocation(t *testing.T) {
	p, err := Load("../../deploy/plugins/apiary-tags.hook")
	if err != nil {
		t.Fatal(err)
	}
	e := &Event{Kind: "request", Headers: headerMap{"Apiary": "ridge-7"}}
	e.Text[RequestClass] = "weight-reading"
	var m Machine
	if n := testing.AllocsPerRun(100, func() {
		if r, err := m.Run(p, e, nil, generous); err != nil || len(r.Effects) != 3 {
			t.Fatal(r, err)
		}
	}); n > 0 {
		t.Errorf("%v allocations a call", n)
	}
}
