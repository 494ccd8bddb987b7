package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// play runs a command line and gives what it printed.
func play(t *testing.T, args ...string) (out, log string, err error) {
	t.Helper()
	var o, l strings.Builder
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	err = run(ctx, args, &o, &l)
	return o.String(), l.String(), err
}

// The whole way of the laboratory, on the site's own scenario made short.
func TestCommands(t *testing.T) {
	site, dir := "../../lab/site.toml", t.TempDir()
	experiment := filepath.Join(dir, "e.toml")
	path, err := filepath.Abs(site)
	if err != nil {
		t.Fatal(err)
	}
	rel, err := filepath.Rel(dir, path)
	if err != nil {
		t.Fatal(err)
	}
	text := "name = \"e\"\nbase = \"" + rel + "\"\n[set]\nduration = \"3s\"\n[[factor]]\npath = \"policy\"\nlevels = [\"mothridge\", \"random\"]\n[seeds]\nleast = 2\nmost = 2\n"
	if err := os.WriteFile(experiment, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	results, page, cell := filepath.Join(dir, "e.results"), filepath.Join(dir, "e.html"), filepath.Join(dir, "cell.toml")
	for _, x := range []struct {
		args []string
		want string // in what is printed
	}{
		{[]string{"sim", site, "--set", "duration=3s", "--seeds", "2", "--set", `trouble=[{kind="hang",at="1s",for="1s",of=0.5}]`}, "--request"},
		{[]string{"run", experiment}, "mothridge  2 "},
		{[]string{"run", experiment}, "mothridge  2 "}, // nothing is left to play
		{[]string{"compare", results + ":policy=random", results + ":policy=mothridge", "--measure", "good,p99"}, "pairs"},
		{[]string{"report", experiment, "--html", page, "--csv", filepath.Join(dir, "e.csv")}, "mothridge"},
		{[]string{"cell", experiment}, `["random"]`},
		{[]string{"cell", experiment, "random"}, "policy = 'random'"},
		{[]string{"explain", site, "--set", "duration=3s", "--request", "1"}, "try 1 (request 1): asked of sidecar"},
		{[]string{"farm", "--seeds", "3"}, "3 scenarios"},
		{[]string{"shrink", site, "--set", "duration=4s", "--set", "load=3", "--fault", "good<0.9", "--plays", "40", "--out", cell}, ""},
		{[]string{"sim", cell, "--seeds", "1"}, "asked"},
	} {
		out, log, err := play(t, x.args...)
		if err != nil || !strings.Contains(out, x.want) {
			t.Errorf("%q: %v, want %q\n%s\n%s", x.args, err, x.want, out, log)
		}
	}
	if b, err := os.ReadFile(page); err != nil || !strings.Contains(string(b), "<svg") {
		t.Errorf("the page: %v", err)
	}
}

func TestWrongCommands(t *testing.T) {
	site := "../../lab/site.toml"
	for _, x := range []struct {
		args []string
		want string
	}{
		{[]string{"sim", "none.toml"}, "none.toml"},
		{[]string{"sim", site, "--set", "nodse=1"}, `no setting "nodse"`},
		{[]string{"sim", site, "--set", "nodes"}, "PATH=VALUE"},
		{[]string{"sim", site, "--seeds", "0"}, "--seeds 0"},
		{[]string{"explain", site, "--set", "duration=1s", "--request", "999999"}, "there is no request 999999"},
		{[]string{"shrink", site, "--set", "duration=1s", "--fault", "rule 1"}, "does not show the fault"},
		{[]string{"load", site, "--target", "192.0.2.1:80"}, "loopback"},
		{[]string{"node", site, "--address", "0.0.0.0:80"}, "loopback"},
		{[]string{"validate", site}, "the model's alone"},
		{[]string{"compare", "a:b", "c"}, "factor=level"},
	} {
		if _, _, err := play(t, x.args...); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q: %v, want %q", x.args, err, x.want)
		}
	}
}
