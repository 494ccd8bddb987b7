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

// rule says whether a request is tagged.
type rule func(class, apiary string) bool

// rules are one rule in each language.
var rules = []struct {
	name string
	make func(testing.TB) rule
}{
	{"Go", inGo}, {"Hook", inHook}, {"Starlark", inStarlark}, {"CEL", inCEL},
	{"WebAssembly", func(t testing.TB) rule { return inWebAssembly(t, false) }},
	{"WebAssembly-stops", func(t testing.TB) rule { return inWebAssembly(t, true) }},
}

// Each is the same rule.
func TestSameRule(t *testing.T) {
	for _, x := range rules {
		r := x.make(t)
		if !r(class, apiary) || r(class, "flat-1") || r("harvest-entry", apiary) {
			t.Errorf("%s: the rule is not the same", x.name)
		}
	}
}

func BenchmarkRule(b *testing.B) {
	for _, x := range rules {
		b.Run(x.name, func(b *testing.B) {
			r := x.make(b)
			b.ReportAllocs()
			for b.Loop() {
				if !r(class, apiary) {
					b.Fatal("not tagged")
				}
			}
		})
	}
}

func inGo(b testing.TB) rule {
	return func(class, apiary string) bool {
		return class == "weight-reading" && strings.HasPrefix(apiary, "ridge-")
	}
}

type heads map[string]string

func (h heads) Header(name string) string { return h[name] }

func inHook(b testing.TB) rule {
	p, err := hook.Compile("rule.hook", `on request {
	if event.class == "weight-reading" and has_prefix(header("Apiary"), "ridge-") { tag("ridge") }
}`)
	if err != nil {
		b.Fatal(err)
	}
	var m hook.Machine
	e := &hook.Event{Kind: "request", Now: time.Unix(0, 0)}
	h := heads{}
	e.Headers = h
	return func(class, apiary string) bool {
		e.Text[hook.RequestClass], h["Apiary"] = class, apiary
		r, err := m.Run(p, e, nil, hook.Limits{Fuel: hook.DefaultFuel, Memory: hook.DefaultMemory})
		return err == nil && len(r.Effects) == 1
	}
}

func inStarlark(b testing.TB) rule {
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, &starlark.Thread{}, "rule.star", `
def rule(klass, apiary):
    return klass == "weight-reading" and apiary.startswith("ridge-")
`, nil)
	if err != nil {
		b.Fatal(err)
	}
	rule := globals["rule"]
	return func(class, apiary string) bool {
		thread := &starlark.Thread{}
		thread.SetMaxExecutionSteps(10_000)
		v, err := starlark.Call(thread, rule, starlark.Tuple{starlark.String(class), starlark.String(apiary)}, nil)
		return err == nil && v == starlark.True
	}
}

func inCEL(b testing.TB) rule {
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
	return func(class, apiary string) bool {
		v, _, err := p.Eval(map[string]any{"klass": class, "apiary": apiary})
		return err == nil && v.Value() == true
	}
}

// inWebAssembly has the rule compiled by the Go toolchain, for the runtime's
// compiler. With stops each function's entry looks whether its time is over, which
// is how that runtime ends an endless loop.
func inWebAssembly(b testing.TB, stops bool) rule {
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
	ctx, cancel := context.WithCancel(context.Background())
	r := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(stops))
	b.Cleanup(func() {
		r.Close(ctx)
		cancel()
	})
	wasi_snapshot_preview1.MustInstantiate(ctx, r)
	began := time.Now()
	mod, err := r.InstantiateWithConfig(ctx, code, wazero.NewModuleConfig().WithStartFunctions("_initialize"))
	if err != nil {
		b.Fatal(err)
	}
	at, err := mod.ExportedFunction("buffer").Call(ctx)
	if err != nil {
		b.Fatal(err)
	}
	rule, memory := mod.ExportedFunction("rule"), mod.Memory()
	b.Logf("loaded in %v, %d KiB", time.Since(began), memory.Size()/1024)
	return func(class, apiary string) bool {
		memory.WriteString(uint32(at[0]), class)
		memory.WriteString(uint32(at[0])+uint32(len(class)), apiary)
		v, err := rule.Call(ctx, uint64(len(class)), uint64(len(apiary)))
		return err == nil && v[0] == 1
	}
}
