package hook

import (
	"errors"
	"testing"
)

// runtimeErrorCases are programs whose runs fail, each with its limits and the reason of the failure.
var runtimeErrorCases = []struct {
	name, source string
	limits       Limits
	want         error
}{
	{"endless loop", `on request { while true { } }`, Limits{Fuel: 10_000, Memory: 1 << 20}, ErrFuel},
	{"doubling texts", `on request { var s = "x"  while true { s = s + s } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"growing list", `on request { let l = [0]  while true { push(l, 1) } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"a million keys", `on request { let m = map[int]()  for i in 0..1000000 { m[text(i)] = i } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"split into many parts", `on request { var s = ","  for i in 0..14 { s = s + s } while true { let l = split(s, ",") } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"list that grows by joins of itself", `on request { let l = ["xxxxxxxxxxxxxxxx"]  while true { push(l, join(l, ",")) } }`, Limits{Fuel: 1 << 40, Memory: 1 << 20}, ErrMemory},
	{"recursion", `fn f(n: int) -> int { return f(n + 1) } on request { tag(text(f(0))) }`, ampleLimits, ErrDepth},
	{"comparisons of long texts", `on request { var s = "x"  for i in 0..12 { s = s + s } let l = [s + "a"]  while true { let b = s + "b" in l } }`, Limits{Fuel: 100_000, Memory: 1 << 40}, ErrFuel},
	{"endless effects", `on request { while true { count("x") } }`, ampleLimits, ErrEffects},
	{"division by zero", `on request { let z = 0  tag(text(1 / z)) }`, ampleLimits, ErrValue},
	{"least int divided by -1", `on request { let a = -9223372036854775807 - 1  tag(text(a / -1)) }`, ampleLimits, ErrValue},
	{"sum overflow", `on request { let a = 9223372036854775807  tag(text(a + 1)) }`, ampleLimits, ErrValue},
	{"product overflow", `on request { let a = 4611686018427387904  tag(text(a * 2)) }`, ampleLimits, ErrValue},
	{"list index out of range", `on request { tag(text([1][1])) }`, ampleLimits, ErrValue},
	{"missing map key", `on request { let m = map[int]()  tag(text(m["x"])) }`, ampleLimits, ErrValue},
	{"slice out of range", `on request { tag(slice("abc", 2, 1)) }`, ampleLimits, ErrValue},
	{"invalid date", `on request { tag(text(date(2026, 13, 1, "UTC"))) }`, ampleLimits, ErrValue},
	{"state key too long", `state m: map 10 1h on request { var s = "xxxxxxxxxxxxxxxxx"  for i in 0..3 { s = s + s } add(m, s, 1) }`, ampleLimits, ErrValue},
	{"split by an empty separator", `on request { let l = split("abc", "") }`, ampleLimits, ErrValue},
}

// TestLimits checks with which error a run fails and in which line, that a failed run has no effects, and that
// a repeated run spends the same fuel and memory. It guards against programs that exceed the limits of a run.
func TestLimits(t *testing.T) {
	for _, test := range runtimeErrorCases {
		first, err := runProgram(t, test.source, test.limits)
		var failure *RuntimeError
		if !errors.Is(err, test.want) || !errors.As(err, &failure) || failure.Line != 1 || len(first.Effects) > 0 {
			t.Errorf("%s: got error %v and result %+v, want the error of the case in line 1 and no effects", test.name, err, first)
		}
		if test.want == ErrFuel && first.Fuel != test.limits.Fuel {
			t.Errorf("%s: got %d units of fuel spent, want %d", test.name, first.Fuel, test.limits.Fuel)
		}
		if again, _ := runProgram(t, test.source, test.limits); again.Fuel != first.Fuel || again.Memory != first.Memory {
			t.Errorf("%s: got %+v in the first run and %+v in the second, want the same fuel and memory", test.name, first, again)
		}
		// The fuel that a run spends is sufficient for the same run; one unit less is not.
		if test.want == ErrValue {
			if _, err := runProgram(t, test.source, Limits{first.Fuel, first.Memory}); !errors.Is(err, ErrValue) {
				t.Errorf("%s: with the fuel and memory of the first run: got %v, want ErrValue", test.name, err)
			}
			if _, err := runProgram(t, test.source, Limits{first.Fuel - 1, first.Memory}); !errors.Is(err, ErrFuel) {
				t.Errorf("%s: with one unit of fuel less: got %v, want ErrFuel", test.name, err)
			}
		}
	}
}

// TestNoAllocation checks that a typical run allocates no memory, because a hook runs for every request.
func TestNoAllocation(t *testing.T) {
	program, err := Load("../../deploy/plugins/apiary-tags.hook")
	if err != nil {
		t.Fatal(err)
	}
	event := &Event{Kind: "request", Headers: headerMap{"Apiary": "ridge-7"}}
	event.Text[RequestClass] = "weight-reading"
	var machine Machine
	if allocations := testing.AllocsPerRun(100, func() {
		if result, err := machine.Run(program, event, nil, ampleLimits); err != nil || len(result.Effects) != 3 {
			t.Fatal(result, err)
		}
	}); allocations > 0 {
		t.Errorf("got %v allocations per run, want 0", allocations)
	}
}
