package operator

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write what broken files give as what they should give")

// The files under deploy/ are good, and mean what they say.
func TestExamples(t *testing.T) {
	deploy := filepath.Join("..", "..", "deploy")
	empty, err := Load(filepath.Join(deploy, "mothridge.toml"))
	if err != nil || len(empty.Listeners)+len(empty.Pools) != 0 || empty.Limits.Slots != 0 {
		t.Errorf("mothridge.toml sets %+v, %v; it should set nothing", empty, err)
	}
	examples, _ := filepath.Glob(filepath.Join(deploy, "examples", "*.toml"))
	more, _ := filepath.Glob(filepath.Join(deploy, "examples", "*", "*.toml"))
	if len(examples) == 0 || len(more) == 0 {
		t.Fatalf("%d and %d examples", len(examples), len(more))
	}
	for _, name := range append(examples, more...) {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	f, err := Load(filepath.Join(deploy, "examples", "msgpack-rpc.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if f.Limits.Slots != 64 || len(f.Listeners) != 1 || f.Listeners[0].Protocol != RPC || f.Listeners[0].Address != "127.0.0.1:7071" ||
		!f.Uses(RPC) || !f.Pools[0].Matches("records-07", "a", "m") || f.Pools[0].Matches("r-7", "a", "m") || !f.Pools[1].Matches("r-7", "", "") {
		t.Errorf("the example sets %+v", f)
	}
}

// For each broken file all that is wrong with it is reported, as its .want file has it.
func TestBrokenFiles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "broken", "*.toml"))
	if err != nil || len(files) < 60 {
		t.Fatalf("%d broken files, %v", len(files), err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(filepath.Base(name), text)
		var m *FileError
		if !errors.As(err, &m) {
			t.Errorf("%s: %v; want mistakes", name, err)
			continue
		}
		got, wanted := m.Error()+"\n", strings.TrimSuffix(name, ".toml")+".want"
		if *update {
			if err := os.WriteFile(wanted, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(wanted)
		if err != nil || got != string(want) {
			t.Errorf("%s: %v\n got %swant %s", name, err, got, want)
		}
		sane(t, text, m)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
	if _, err := Parse("f", bytes.Repeat([]byte("#"), maxFileBytes+1)); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("a huge file: %v", err)
	}
}

// sane checks what holds for any mistakes: each has its place in the text, in
// order, is one line, and speaks of nothing that only this program's authors know.
func sane(t *testing.T, text []byte, m *FileError) {
	t.Helper()
	lines, last := bytes.Split(text, []byte("\n")), 1
	for _, x := range m.Problems {
		if x.Line < last || x.Line > len(lines) || x.Column < 1 || x.Column > len(lines[x.Line-1])+1 || x.Text == "" {
			t.Errorf("%q: %+v", text, x)
		}
		last = x.Line
		for _, word := range []string{"\n", "struct", "operator.", "int64", "float64", "reflect"} {
			if strings.Contains(x.Text, word) && !bytes.Contains(text, []byte(word)) {
				t.Errorf("%q: %q says %q", text, x.Text, word)
			}
		}
	}
	if len(m.Problems) == 0 {
		t.Errorf("%q: mistakes without one", text)
	}
}

// A thousand mistakes are a thousand messages; a thousand lines that are no TOML too.
func TestAThousandMistakes(t *testing.T) {
	for _, line := range []string{"x%d = 1\n", "[[pool]]\nnaem = %d\nname = \"n%[1]d\"\nprotocol = \"http\"\nhosts=[\"x\"]\n", "%d d\n"} {
		var text strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&text, line, i)
		}
		_, err := Parse("f", []byte(text.String()))
		var m *FileError
		if !errors.As(err, &m) || len(m.Problems) != 1000 {
			t.Errorf("%q: %d mistakes, %.300v", line, len(m.Problems), err)
		}
	}
}

// Any text: no panic, and mistakes that have their place.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob(filepath.Join("testdata", "broken", "*.toml"))
	examples, _ := filepath.Glob(filepath.Join("..", "..", "deploy", "examples", "*.toml"))
	for _, name := range append(files, examples...) {
		if text, err := os.ReadFile(name); err == nil {
			f.Add(text)
		}
	}
	f.Add([]byte("a.b.c = {d = [1, {e = 2}]}\n[x.y]\n[[x.z]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse("f", text)
		var m *FileError
		if errors.As(err, &m) {
			sane(t, text, m)
		} else if err != nil {
			t.Errorf("%q: %v", text, err)
		}
	})
}

func ExampleParse() {
	_, err := Parse("deploy/mothridge.toml", []byte("[[listener]]\nprotocol = \"msgpack\"\nadress = \"127.0.0.1:7071\"\n"))
	fmt.Println(err)
	// Output:
	// deploy/mothridge.toml:1:3: listener[0]: address is missing: an IP address with its port, such as "127.0.0.1:7071" is meant
	//     [[listener]]
	//       ^
	// deploy/mothridge.toml:2:12: listener[0].protocol: "msgpack" is not known: "http" or "msgpack-rpc" is meant
	//     protocol = "msgpack"
	//                ^
	// deploy/mothridge.toml:3:1: listener[0].adress: it is not known: "address" is meant?
	//     adress = "127.0.0.1:7071"
	//     ^
}
