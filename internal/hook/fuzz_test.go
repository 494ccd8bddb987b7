package hook

import "testing"

func FuzzCompile(f *testing.F) {
	for _, s := range []string{
		`on request { while true { tag("x" + text(1)) } }`, `fn f(a: list[int]) -> map[text] { return map[text]() } on member { label("kind", event.name) }`,
		"state s: map 10 1h\non outcome { add(s, event.id, 1) }", `on request { let x = [[1], [2]][0][1] refuse("a", -1h) }`, "on request { # \xff\n}",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, source string) {
		p, err := Compile("fuzz", source)
		if err != nil {
			_ = err.Error()
			return
		}
		for kind := range eventFields {
			l := Limits{Fuel: 2000, Memory: 4096}
			var m Machine
			r, err := m.Run(p, &Event{Kind: kind}, memoryStore{}, l)
			if r.Fuel > l.Fuel || r.Memory > l.Memory || err != nil && len(r.Effects) > 0 {
				t.Fatalf("%+v %v", r, err)
			}
		}
		if once, err := Format("fuzz", source); err != nil {
			t.Fatal(err)
		} else if _, err := Compile("fuzz", once); err != nil {
			t.Fatalf("formatted it is wrong: %v\n%s", err, once)
		}
	})
}
