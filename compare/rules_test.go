// Package compare times one rule of a plug-in, tagging the readings of one
// apiary, in the project's own language and in what it might have used in its
// place. It is a module of its own: the program depends on none of them.
package compare

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/cel-go/cel"
	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"mothridge/internal/hook"
)

const class, apiary = "weight-reading", "ridge-07"

// rule is what each does: whether a request is tagged.
func check(b *testing.B, rule func(class, apiary string) bool) {
	b.Helper()
	if !rule(class, apiary) || rule(class, "flat-1") || rule("harvest-entry", apiary) {
		b.Fatal("the rule is not the same")
	}
	b.ReportAllocs()
	for b.Loop() {
		if !rule(class, apiary) {
			b.Fatal("not tagged")
		}
	}
}

func BenchmarkGo(b *testing.B) {
	check(b, func(class, apiary string) bool { return class == "weight-reading" && strings.HasPrefix(apiary, "ridge-") })
}

type heads map[string]string

func (h heads) Header(name string) string { return h[name] }

func BenchmarkHook(b *testing.B) {
	p, err := hook.Compile("rule.hook", `on request {
	if event.class == "weight-reading" and has_prefix(header("Apiary"), "ridge-") { tag("ridge") }
}`)
	if err != nil {
		b.Fatal(err)
	}
	var m hook.Machine
	e := &hook.Event{Kind: "request", Now: time.Unix(0, 0)}
	h := heads{}
	e.Heads = h
	check(b, func(class, apiary string) bool {
		e.Text[hook.RequestClass], h["Apiary"] = class, apiary
		r, err := m.Run(p, e, nil, hook.Limits{Fuel: hook.DefaultFuel, Memory: hook.DefaultMemory})
		return err == nil && len(r.Effects) == 1
	})
}

func BenchmarkStarlark(b *testing.B) {
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, &starlark.Thread{}, "rule.star", `
def rule(klass, apiary):
    return klass == "weight-reading" and apiary.startswith("ridge-")
`, nil)
	if err != nil {
		b.Fatal(err)
	}
	rule := globals["rule"]
	check(b, func(class, apiary string) bool {
		thread := &starlark.Thread{}
		thread.SetMaxExecutionSteps(10_000)
		v, err := starlark.Call(thread, rule, starlark.Tuple{starlark.String(class), starlark.String(apiary)}, nil)
		return err == nil && v == starlark.True
	})
}

func BenchmarkCEL(b *testing.B) {
	env, err := cel.NewEnv(cel.Variable("klass", cel.StringType), cel.Variable("apiary", cel.StringType))
	if err != nil {
		b.Fatal(err)
	}
	ast, issues := env.Compile(`klass == "weight-reading" && apiary.startsWith("ridge-")`)
	if issues.Err() != nil {
		b.Fatal(issues.Err())
	}
	p, err := env.Program(ast, cel.CostLimit(10_000))
	if err != nil {
		b.Fatal(err)
	}
	check(b, func(class, apiary string) bool {
		v, _, err := p.Eval(map[string]any{"klass": class, "apiary": apiary})
		return err == nil && v.Value() == true
	})
}

// BenchmarkWebAssembly has the rule compiled by the Go toolchain, for the
// runtime's compiler. The second counts each function's entry against its time
// limit, which is how that runtime stops an endless loop.
func BenchmarkWebAssembly(b *testing.B) {
	path := filepath.Join(b.TempDir(), "rule.wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "./guest")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	code, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	for name, stops := range map[string]bool{"unbounded": false, "stops": true} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(stops))
			defer r.Close(ctx)
			wasi_snapshot_preview1.MustInstantiate(ctx, r)
			began := time.Now()
			mod, err := r.InstantiateWithConfig(ctx, code, wazero.NewModuleConfig().WithStartFunctions("_initialize"))
			if err != nil {
				b.Fatal(err)
			}
			loaded := time.Since(began)
			at, err := mod.ExportedFunction("buffer").Call(ctx)
			if err != nil {
				b.Fatal(err)
			}
			rule, memory := mod.ExportedFunction("rule"), mod.Memory()
			check(b, func(class, apiary string) bool {
				memory.WriteString(uint32(at[0]), class)
				memory.WriteString(uint32(at[0])+uint32(len(class)), apiary)
				v, err := rule.Call(ctx, uint64(len(class)), uint64(len(apiary)))
				return err == nil && v[0] == 1
			})
			b.ReportMetric(loaded.Seconds()*1e3, "load-ms")
			b.ReportMetric(float64(memory.Size())/1024, "memory-KiB")
		})
	}
}
