// Package archtest checks what the packages may touch.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// decisions are the packages that decide, and the model of a fleet that they are
// tried in: the same events give the same results, whatever the machine, the time
// and the network. Each has what it may import beside pure packages.
var decisions = map[string][]string{
	"policy": nil, "membership": nil, "quota": nil, "internal/plugin/breaker": nil, "resolver": nil, "internal/fleet": {"mothridge/resolver", "mothridge/policy", "mothridge/membership", "mothridge/quota", "github.com/HdrHistogram/hdrhistogram-go", "gonum.org/v1/gonum/stat/distuv"},
}

// pure are the imports a decision package may have. None of them does I/O.
var pure = map[string]bool{
	"cmp": true, "container/heap": true, "errors": true, "fmt": true, "hash/fnv": true, "maps": true, "math": true, "math/big": true,
	"math/bits": true, "math/rand/v2": true, "slices": true, "sort": true, "strconv": true, "strings": true,
	"time": true, "unicode/utf8": true,
}

// banned are the calls into pure packages that read a clock, wait or write.
var banned = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker", "Sleep"},
	"fmt":  {"Print", "Printf", "Println", "Fprint", "Fprintf", "Fprintln", "Scan", "Scanf", "Scanln", "Fscan", "Fscanf", "Fscanln"},
	// The package's own source is shared and seeded by the system.
	"rand": {"Float64", "Float32", "Int", "IntN", "Int64", "Int64N", "Uint64", "Uint64N", "N", "Perm", "Shuffle", "NormFloat64", "ExpFloat64"},
}

// findings names what a file does that a decision package must not.
func findings(file *ast.File, allowed map[string]bool) []string {
	var found []string
	for _, imp := range file.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		if !pure[path] && !allowed[path] {
			found = append(found, "imports "+path)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.ChanType:
			found = append(found, "uses a channel")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if !ok || pkg.Obj != nil {
				break
			}
			for _, name := range banned[pkg.Name] {
				if n.Sel.Name == name {
					found = append(found, "calls "+pkg.Name+"."+name)
				}
			}
		}
		return true
	})
	return found
}

func TestDecisionPackagesArePure(t *testing.T) {
	for dir, more := range decisions {
		allowed := make(map[string]bool)
		for _, path := range more {
			allowed[path] = true
		}
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, error %v", dir, err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range findings(file, allowed) {
				t.Errorf("%s %s", path, f)
			}
		}
	}
}

// The check itself must see what it is there for.
func TestFindingsSeeWhatIsForbidden(t *testing.T) {
	for text, want := range map[string]string{
		`import "net"`:                                "imports net",
		"import \"time\"\nvar now = time.Now()":       "calls time.Now",
		"func f() { go f() }":                         "starts a goroutine",
		"var c chan int":                              "uses a channel",
		"import \"fmt\"\nfunc f() { fmt.Println(1) }": "calls fmt.Println",
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+text, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := findings(file, nil); len(got) != 1 || got[0] != want {
			t.Errorf("%q: findings %q, want %q", text, got, want)
		}
	}
}

// The core must know no protocol: a third one needs no line of it.
func TestCoreKnowsNoProtocol(t *testing.T) {
	err := filepath.WalkDir(filepath.Join("..", "core"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imp := range file.Imports {
			for _, word := range []string{"net/http", "msgp", "/front/", "/transport/", "/registry/"} {
				if strings.Contains(imp.Path.Value, word) {
					t.Errorf("%s imports %s", path, imp.Path.Value)
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
