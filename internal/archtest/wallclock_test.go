package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallClock are the places of the sidecar that may read the wall clock, and why: all
// deadlines, windows, waits and graces are spans of monotonic time.
var wallClock = map[string]string{
	"internal/core/clock.go":               "starts are told in Unix time: policy.StartedAt weighs it",
	"internal/registry/merge/merge.go":     "a frame for starts, monotonic from then on; the members command shows times",
	"internal/registry/eureka/register.go": "the registry's lastDirtyTimestamp",
	"internal/hook/builtins_event.go":      "the language of plug-ins has a time of day",
	"internal/hook/value.go":               "the same",
	"internal/peers/eureka_leases.go":      "a stand-in",
	"internal/peers/eureka_fields.go":      "a stand-in",
	"internal/peers/client_http.go":        "a deadline that is past",
	"internal/try/faults.go":               "a stand-in's starts",
}

// unixCalls are what turns a time into the wall clock's figures, or back.
var unixCalls = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true}

func TestWallClockIsReadInFewPlaces(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range []string{"cmd/sidecar", "internal", "membership", "policy", "quota", "resolver"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, _ := filepath.Rel(root, path)
			name = filepath.ToSlash(name)
			for _, laboratory := range []string{"internal/lab/", "internal/load/", "internal/fleet/", "internal/peers/peertest/", "internal/soak/"} {
				if strings.HasPrefix(name, laboratory) {
					return nil
				}
			}
			if _, ok := wallClock[name]; ok {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				if s, ok := call.Fun.(*ast.SelectorExpr); ok && unixCalls[s.Sel.Name] {
					t.Errorf("%s reads the wall clock: %s", name, s.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
