package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runCommandLine runs a command line and returns its output, its log and its error.
func runCommandLine(t *testing.T, args ...string) (out, log string, err error) {
	t.Helper()
	var outBuffer, logBuffer strings.Builder
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err = run(ctx, args, &outBuffer, &logBuffer)
	return outBuffer.String(), logBuffer.String(), err
}

// TestCommands runs the commands one after the other on a short version of lab/site.toml. It guards against a command
// that fails, or that cannot read what an earlier command wrote.
func TestCommands(t *testing.T) {
	site, dir := "../../lab/site.toml", t.TempDir()
	experiment := filepath.Join(dir, "e.toml")
	path, err := filepath.Abs(site)
	if err != nil {
		t.Fatal(err)
	}
	basePath, err := filepath.Rel(dir, path)
	if err != nil {
		t.Fatal(err)
	}
	text := "name = \"e\"\nbase = \"" + basePath + "\"\n[set]\nduration = \"3s\"\n[[factor]]\npath = \"policy\"\nlevels = [\"mothridge\", \"random\"]\n[seeds]\nleast = 2\nmost = 2\n"
	if err := os.WriteFile(experiment, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	results, page, cell := filepath.Join(dir, "e.results"), filepath.Join(dir, "e.html"), filepath.Join(dir, "cell.toml")
	for _, test := range []struct {
		args []string
		want string // a part of the output
	}{
		{[]string{"sim", site, "--set", "duration=3s", "--seeds", "2", "--set", `trouble=[{kind="hang",at="1s",for="1s",of=0.5}]`}, "--request"},
		{[]string{"run", experiment}, "mothridge  2 "},
		{[]string{"run", experiment}, "mothridge  2 "}, // the results file already contains all runs
		{[]string{"compare", results + ":policy=random", results + ":policy=mothridge", "--measure", "good,p99"}, "pairs"},
		{[]string{"report", experiment, "--html", page, "--csv", filepath.Join(dir, "e.csv")}, "mothridge"},
		{[]string{"cell", experiment}, `["random"]`},
		{[]string{"cell", experiment, "random"}, "policy = 'random'"},
		{[]string{"explain", site, "--set", "duration=3s", "--request", "1"}, "try 1 (request 1): asked of sidecar"},
		{[]string{"farm", "--seeds", "3"}, "3 scenarios"},
		{[]string{"shrink", site, "--set", "duration=4s", "--set", "load=3", "--fault", "good<0.9", "--plays", "40", "--out", cell}, ""},
		{[]string{"sim", cell, "--seeds", "1"}, "asked"},
	} {
		out, log, err := runCommandLine(t, test.args...)
		if err != nil || !strings.Contains(out, test.want) {
			t.Errorf("%q: got error %v, want none and an output that contains %q; output:\n%s\nlog:\n%s",
				test.args, err, test.want, out, log)
		}
	}
	if b, err := os.ReadFile(page); err != nil || !strings.Contains(string(b), "<svg") {
		t.Errorf("the HTML page: got error %v, want none and a page that contains an <svg> element", err)
	}
}

// TestInvalidCommands guards against command lines that are accepted although they are invalid, and errors that do not
// name the cause.
func TestInvalidCommands(t *testing.T) {
	site := "../../lab/site.toml"
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"sim", "none.toml"}, "none.toml"},
		{[]string{"sim", site, "--set", "nodse=1"}, `unknown scenario setting "nodse"`},
		{[]string{"sim", site, "--set", "nodes"}, "PATH=VALUE"},
		{[]string{"sim", site, "--seeds", "0"}, "--seeds must be at least 1, got 0"},
		{[]string{"explain", site, "--set", "duration=1s", "--request", "999999"}, "there is no request 999999"},
		{[]string{"shrink", site, "--set", "duration=1s", "--fault", "rule 1"}, "does not show the fault"},
		{[]string{"load", site, "--target", "192.0.2.1:80"}, "loopback"},
		{[]string{"node", site, "--address", "0.0.0.0:80"}, "loopback"},
		{[]string{"validate", site}, "only in the model"},
		{[]string{"compare", "a:b", "c"}, "factor=level"},
	} {
		if _, _, err := runCommandLine(t, test.args...); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: got error %v, want one that contains %q", test.args, err, test.want)
		}
	}
}
