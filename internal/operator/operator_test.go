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

var update = flag.Bool("update", false, "write the errors for the broken files to their .want files")

// TestExampleFiles checks that the files under deploy/ are valid, that mothridge.toml sets nothing
// and that msgpack-rpc.toml is decoded to the values that it contains.
func TestExampleFiles(t *testing.T) {
	deployFolder := filepath.Join("..", "..", "deploy")
	empty, err := Load(filepath.Join(deployFolder, "mothridge.toml"))
	if err != nil || len(empty.Listeners)+len(empty.Pools) != 0 || empty.Limits.Slots != 0 {
		t.Errorf("mothridge.toml: got %+v, error %v; want no listeners, no pools and 0 slots", empty, err)
	}
	examples, _ := filepath.Glob(filepath.Join(deployFolder, "examples", "*.toml"))
	nested, _ := filepath.Glob(filepath.Join(deployFolder, "examples", "*", "*.toml"))
	if len(examples) == 0 || len(nested) == 0 {
		t.Fatalf("got %d examples and %d in folders of their own, want at least 1 each", len(examples), len(nested))
	}
	for _, name := range append(examples, nested...) {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	f, err := Load(filepath.Join(deployFolder, "examples", "msgpack-rpc.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if f.Limits.Slots != 64 || len(f.Listeners) != 1 || f.Listeners[0].Protocol != RPC || f.Listeners[0].Address != "127.0.0.1:7071" ||
		!f.Uses(RPC) || !f.Pools[0].Matches("records-07", "a", "m") || f.Pools[0].Matches("r-7", "a", "m") || !f.Pools[1].Matches("r-7", "", "") {
		t.Errorf("msgpack-rpc.toml: got %+v, want 64 slots, its msgpack-rpc listener, and records-07 and r-7 in pools 0 and 1", f)
	}
}

// TestBrokenFiles checks that all problems of each broken file are reported, exactly as in its
// .want file.
func TestBrokenFiles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "broken", "*.toml"))
	if err != nil || len(files) < 60 {
		t.Fatalf("got %d broken files, error %v; want at least 60", len(files), err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(filepath.Base(name), text)
		var fileError *FileError
		if !errors.As(err, &fileError) {
			t.Errorf("%s: got error %v, want a *FileError", name, err)
			continue
		}
		got, wantFile := fileError.Error()+"\n", strings.TrimSuffix(name, ".toml")+".want"
		if *update {
			if err := os.WriteFile(wantFile, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(wantFile)
		if err != nil || got != string(want) {
			t.Errorf("%s: error %v\n got %swant %s", name, err, got, want)
		}
		checkProblems(t, text, fileError)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got error %v, want os.ErrNotExist", err)
	}
	if _, err := Parse("f", bytes.Repeat([]byte("#"), maxFileBytes+1)); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("file above the size limit: got error %v, want one that contains \"at most\"", err)
	}
}

// checkProblems checks what holds for the problems of any text: there is at least one, they are
// in the order of lines, each has a position within the text and a message of one line, and no
// message contains a term of the implementation.
func checkProblems(t *testing.T, text []byte, fileError *FileError) {
	t.Helper()
	lines, previousLine := bytes.Split(text, []byte("\n")), 1
	for _, problem := range fileError.Problems {
		if problem.Line < previousLine || problem.Line > len(lines) || problem.Column < 1 ||
			problem.Column > len(lines[problem.Line-1])+1 || problem.Text == "" {
			t.Errorf("%q: got %+v, want a position within the text and a message", text, problem)
		}
		previousLine = problem.Line
		for _, term := range []string{"\n", "struct", "operator.", "int64", "float64", "reflect"} {
			if strings.Contains(problem.Text, term) && !bytes.Contains(text, []byte(term)) {
				t.Errorf("%q: message %q contains %q", text, problem.Text, term)
			}
		}
	}
	if len(fileError.Problems) == 0 {
		t.Errorf("%q: got a *FileError without problems, want at least 1", text)
	}
}

// TestThousandProblems checks that a file with a thousand unknown or misspelt keys, or a thousand
// lines that are not valid TOML, gives a thousand problems: the checker stops at none of them.
func TestThousandProblems(t *testing.T) {
	for _, line := range []string{"x%d = 1\n", "[[pool]]\nnaem = %d\nname = \"n%[1]d\"\nprotocol = \"http\"\nhosts=[\"x\"]\n", "%d d\n"} {
		var text strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&text, line, i)
		}
		_, err := Parse("f", []byte(text.String()))
		var fileError *FileError
		if !errors.As(err, &fileError) || len(fileError.Problems) != 1000 {
			t.Errorf("%q: got %d problems, want 1000; error %.300v", line, len(fileError.Problems), err)
		}
	}
}

// FuzzParse checks that no text causes a panic, and that every problem of a text has its position.
func FuzzParse(f *testing.F) {
	brokenFiles, _ := filepath.Glob(filepath.Join("testdata", "broken", "*.toml"))
	examples, _ := filepath.Glob(filepath.Join("..", "..", "deploy", "examples", "*.toml"))
	for _, name := range append(brokenFiles, examples...) {
		if text, err := os.ReadFile(name); err == nil {
			f.Add(text)
		}
	}
	f.Add([]byte("a.b.c = {d = [1, {e = 2}]}\n[x.y]\n[[x.z]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse("f", text)
		var fileError *FileError
		if errors.As(err, &fileError) {
			checkProblems(t, text, fileError)
		} else if err != nil {
			t.Errorf("%q: got error %v, want nil or a *FileError", text, err)
		}
	})
}

func ExampleParse() {
	_, err := Parse("deploy/mothridge.toml", []byte("[[listener]]\nprotocol = \"msgpack\"\nadress = \"127.0.0.1:7071\"\n"))
	fmt.Println(err)
	// Output:
	// deploy/mothridge.toml:1:3: listener[0]: address is missing: must be an IP address with a port, such as "127.0.0.1:7071"
	//     [[listener]]
	//       ^
	// deploy/mothridge.toml:2:12: listener[0].protocol: must be "http" or "msgpack-rpc", got "msgpack"
	//     protocol = "msgpack"
	//                ^
	// deploy/mothridge.toml:3:1: listener[0].adress: unknown key; did you mean "address"?
	//     adress = "127.0.0.1:7071"
	//     ^
}
