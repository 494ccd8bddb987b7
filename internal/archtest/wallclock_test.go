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

// wallClockReaders are the files that may convert between times and Unix time, with the reason.
// All other code must use monotonic time: a wall clock that is adjusted would change deadlines,
// windows, waits and grace periods.
var wallClockReaders = map[string]string{
	"internal/core/clock.go":               "endpoint starts are reported in Unix time, which policy.StartedAt compares with this clock",
	"internal/registry/merge/merge.go":     "endpoint starts are reported in Unix time; New reads the wall clock once and uses monotonic time afterwards; the members command prints times",
	"internal/registry/eureka/register.go": "the registry requires lastDirtyTimestamp in Unix time",
	"internal/hook/builtins_event.go":      "plug-in programs can read the time of day",
	"internal/hook/value.go":               "formats times of plug-in programs",
	"internal/peers/eureka_leases.go":      "a stand-in registry",
	"internal/peers/eureka_fields.go":      "a stand-in registry",
	"internal/peers/client_http.go":        "an I/O deadline in the past, which ends reads and writes",
	"internal/try/faults.go":               "reports the start times of stand-ins",
}

// unixConversions are the names of functions and methods that convert between a time and Unix time.
var unixConversions = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true}

// A deadline or period that is computed from wall-clock time is wrong after the machine's clock is
// adjusted. This test reports each use of Unix time in a file that wallClockReaders does not list.
func TestWallClockIsReadInFewPlaces(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range []string{"cmd/sidecar", "internal", "membership", "policy", "quota", "resolver"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, _ := filepath.Rel(root, path)
			name = filepath.ToSlash(name)
			for _, excluded := range []string{"internal/lab/", "internal/load/", "internal/fleet/", "internal/peers/peertest/", "internal/soak/"} {
				if strings.HasPrefix(name, excluded) {
					return nil
				}
			}
			if _, ok := wallClockReaders[name]; ok {
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
				if selector, ok := call.Fun.(*ast.SelectorExpr); ok && unixConversions[selector.Sel.Name] {
					t.Errorf("%s uses wall-clock time: it calls %s, which only the files in wallClockReaders may", name, selector.Sel.Name)
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
