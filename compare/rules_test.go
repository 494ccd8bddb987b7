// Package compare measures the time of one plug-in rule in the project's plug-in language and in the
// alternatives to that language. The rule tags the weight readings of apiaries whose names begin with
// "ridge-". Package compare is a separate module so that the program depends on none of the alternatives.
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

// The class and the apiary of a request that the rule tags.
const taggedClass, taggedApiary = "weight-reading", "ridge-07"

// rule reports whether a request is tagged.
type rule func(class, apiary string) bool

// implementations are the same rule in each language. WebAssembly-stops is the module with checks
// for cancellation compiled in.
var implementations = []struct {
	name    string
	newRule func(testing.TB) rule
}{
	{"Go", newGoRule}, {"Hook", newHookRule}, {"Starlark", newStarlarkRule}, {"CEL", newCELRule},
	{"WebAssembly", func(tb testing.TB) rule { return newWebAssemblyRule(tb, false) }},
	{"WebAssembly-stops", func(tb testing.TB) rule { return newWebAssemblyRule(tb, true) }},
}

// The measured times are comparable only if all implementations decide the same: they tag a request
// that has both the class and an apiary with the prefix, and no request that has only one of them.
func TestImplementationsAgree(t *testing.T) {
	for _, implementation := range implementations {
		isTagged := implementation.newRule(t)
		if !isTagged(taggedClass, taggedApiary) || isTagged(taggedClass, "flat-1") || isTagged("harvest-entry", taggedApiary) {
			t.Errorf("%s: does not tag exactly the requests with both the class and an apiary with the prefix", implementation.name)
		}
	}
}

func BenchmarkRule(b *testing.B) {
	for _, implementation := range implementations {
		b.Run(implementation.name, func(b *testing.B) {
			isTagged := implementation.newRule(b)
			b.ReportAllocs()
			for b.Loop() {
				if !isTagged(taggedClass, taggedApiary) {
					b.Fatal("the request was not tagged, want it tagged")
				}
			}
		})
	}
}

func newGoRule(tb testing.TB) rule {
	return func(class, apiary string) bool {
		return class == "weight-reading" && strings.HasPrefix(apiary, "ridge-")
	}
}

type headerMap map[string]string

// Header implements the interface of hook.Event's headers.
func (h headerMap) Header(name string) string { return h[name] }

func newHookRule(tb testing.TB) rule {
	program, err := hook.Compile("rule.hook", `on request {
	if event.class == "weight-reading" and has_prefix(header("Apiary"), "ridge-") { tag("ridge") }
}`)
	if err != nil {
		tb.Fatal(err)
	}
	var machine hook.Machine
	event := &hook.Event{Kind: "request", Now: time.Unix(0, 0)}
	headers := headerMap{}
	event.Headers = headers
	return func(class, apiary string) bool {
		event.Text[hook.RequestClass], headers["Apiary"] = class, apiary
		result, err := machine.Run(program, event, nil, hook.Limits{Fuel: hook.DefaultFuel, Memory: hook.DefaultMemory})
		return err == nil && len(result.Effects) == 1
	}
}

func newStarlarkRule(tb testing.TB) rule {
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, &starlark.Thread{}, "rule.star", `
def rule(klass, apiary):
    return klass == "weight-reading" and apiary.startswith("ridge-")
`, nil)
	if err != nil {
		tb.Fatal(err)
	}
	function := globals["rule"]
	return func(class, apiary string) bool {
		thread := &starlark.Thread{}
		thread.SetMaxExecutionSteps(10_000)
		tagged, err := starlark.Call(thread, function, starlark.Tuple{starlark.String(class), starlark.String(apiary)}, nil)
		return err == nil && tagged == starlark.True
	}
}

func newCELRule(tb testing.TB) rule {
	env, err := cel.NewEnv(cel.Variable("klass", cel.StringType), cel.Variable("apiary", cel.StringType))
	if err != nil {
		tb.Fatal(err)
	}
	ast, issues := env.Compile(`klass == "weight-reading" && apiary.startsWith("ridge-")`)
	if issues.Err() != nil {
		tb.Fatal(issues.Err())
	}
	program, err := env.Program(ast, cel.CostLimit(10_000))
	if err != nil {
		tb.Fatal(err)
	}
	return func(class, apiary string) bool {
		tagged, _, err := program.Eval(map[string]any{"klass": class, "apiary": apiary})
		return err == nil && tagged.Value() == true
	}
}

// newWebAssemblyRule compiles ./guest to WebAssembly with the Go toolchain and loads the module into
// wazero, which compiles it to machine code. With stopOnCancel each function's entry checks whether
// the context has ended, which is how wazero stops an endless loop.
func newWebAssemblyRule(tb testing.TB, stopOnCancel bool) rule {
	path := filepath.Join(tb.TempDir(), "rule.wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "./guest")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("build the guest: %v\n%s", err, out)
	}
	code, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runtime := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(stopOnCancel))
	tb.Cleanup(func() {
		runtime.Close(ctx)
		cancel()
	})
	wasi_snapshot_preview1.MustInstantiate(ctx, runtime)
	startedAt := time.Now()
	module, err := runtime.InstantiateWithConfig(ctx, code, wazero.NewModuleConfig().WithStartFunctions("_initialize"))
	if err != nil {
		tb.Fatal(err)
	}
	bufferAddress, err := module.ExportedFunction("buffer").Call(ctx)
	if err != nil {
		tb.Fatal(err)
	}
	function, memory := module.ExportedFunction("rule"), module.Memory()
	tb.Logf("loaded in %v, %d KiB", time.Since(startedAt), memory.Size()/1024)
	return func(class, apiary string) bool {
		memory.WriteString(uint32(bufferAddress[0]), class)
		memory.WriteString(uint32(bufferAddress[0])+uint32(len(class)), apiary)
		tagged, err := function.Call(ctx, uint64(len(class)), uint64(len(apiary)))
		return err == nil && tagged[0] == 1
	}
}
