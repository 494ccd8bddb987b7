package hook

import (
	"testing"
	"time"
)

// benchmarkPrograms are the programs that BenchmarkRun runs, by name.
var benchmarkPrograms = []struct{ name, source string }{
	{"tags", `const apiary = "ridge-7"
		on request { if event.class == "weight-reading" and header("Apiary") == apiary {
			set_header("A", apiary) tag("x") tag(apiary) } }`},
	{"loop", `fn add3(n: int) -> int { return n + 3 }
		on request { var s = 0  for i in 0..100 { s = add3(s) - 1  if s % 7 == 0 { continue }
			s = min(s, 1000) } count("n") }`},
	{"texts", `on request { let l = split("a,b,c,d", ",") let m = map[int]()
		for x in l { m[x] = len(x) } if "c" in m { tag(join(keys(m), "")) } }`},
	{"calendar", `on request { let m = month(now(), "Australia/Brisbane")  if m >= 9 or m <= 3 { refuse("no", 1h) } }`},
}

// BenchmarkRun measures one run of each of benchmarkPrograms.
func BenchmarkRun(b *testing.B) {
	for _, program := range benchmarkPrograms {
		b.Run(program.name, func(b *testing.B) {
			compiled, err := Compile("bench.hook", program.source)
			if err != nil {
				b.Fatal(err)
			}
			event := &Event{Kind: "request", Now: time.Unix(1_800_000_000, 0), Headers: headerMap{"Apiary": "ridge-7"}}
			event.Text[RequestClass] = "weight-reading"
			var machine Machine
			store := memoryStore{}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := machine.Run(compiled, event, store, ampleLimits); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
