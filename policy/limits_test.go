package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// interfaceFiles contain types, configuration and documentation. All other source files contain decisions.
var interfaceFiles = []string{"config.go", "doc.go", "events.go", "host.go", "reason.go", "stats.go"}

// sourceFiles returns the names of the Go files of the package, except test files.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Each file must stay easy to read: it is short, its lines are not too long, and its purpose is stated in a
// comment at its top and in doc.go.
func TestFilesStayReadable(t *testing.T) {
	const maxLines, maxColumns = 400, 110
	overview := readFile(t, "doc.go")
	for _, name := range sourceFiles(t) {
		text := readFile(t, name)
		lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
		if len(lines) > maxLines {
			t.Errorf("%s: got %d lines, want at most %d", name, len(lines), maxLines)
		}
		for n, line := range lines {
			if utf8.RuneCountInString(line) > maxColumns {
				t.Errorf("%s:%d: want at most %d characters in a line", name, n+1, maxColumns)
			}
		}
		if !strings.HasPrefix(text, "// ") {
			t.Errorf("%s: got no comment at the top of the file, want one that states its purpose", name)
		}
		if name != "doc.go" && !strings.Contains(overview, "//\t"+name+" ") {
			t.Errorf("doc.go does not list %s", name)
		}
	}
}

// deploy/balancer.toml must list exactly the files with decisions, because the operators read the files
// in that list.
func TestBalancerTomlListsDecisionFiles(t *testing.T) {
	var want []string
	for _, name := range sourceFiles(t) {
		if slices.Contains(interfaceFiles, name) {
			continue
		}
		want = append(want, "policy/"+name)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindStringSubmatch(readFile(t, "../deploy/balancer.toml"))
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of policy files")
	}
	got := strings.Split(strings.ReplaceAll(list[1], `"`, ""), ", ")
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("deploy/balancer.toml: got files %v, want %v", got, want)
	}
}
