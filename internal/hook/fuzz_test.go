package hook

import "testing"

// FuzzCompile checks that the compiler and the machine do not panic for any source, that a run stays within
// its limits and that a failed run has no effects, and that Format returns a program that compiles.
func FuzzCompile(f *testing.F) {
	for _, seed := range []string{
		`on request { while true { tag("x" + text(1)) } }`, `fn f(a: list[int]) -> map[text] { return map[text]() } on member { label("kind", event.name) }`,
		"state s: map 10 1h\non outcome { add(s, event.id, 1) }", `on request { let x = [[1], [2]][0][1] refuse("a", -1h) }`, "on request { # \xff\n}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, source string) {
		program, err := Compile("fuzz", source)
		if err != nil {
			_ = err.Error()
			return
		}
		for kind := range eventFields {
			limits := Limits{Fuel: 2000, Memory: 4096}
			var machine Machine
			result, err := machine.Run(program, &Event{Kind: kind}, memoryStore{}, limits)
			if result.Fuel > limits.Fuel || result.Memory > limits.Memory || err != nil && len(result.Effects) > 0 {
				t.Fatalf("got %+v and error %v, want limits kept and no effects of a failed run", result, err)
			}
		}
		if formatted, err := Format("fuzz", source); err != nil {
			t.Fatal(err)
		} else if _, err := Compile("fuzz", formatted); err != nil {
			t.Fatalf("the formatted program does not compile: %v\n%s", err, formatted)
		}
	})
}
