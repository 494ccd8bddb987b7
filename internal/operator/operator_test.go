package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files under deploy/ are good, and mean what they say.
func TestExamples(t *testing.T) {
	deploy := filepath.Join("..", "..", "deploy")
	empty, err := Load(filepath.Join(deploy, "mothridge.toml"))
	if err != nil || len(empty.Listeners)+len(empty.Pools) != 0 || empty.Limits.Slots != 0 {
		t.Errorf("mothridge.toml sets %+v, %v; it should set nothing", empty, err)
	}
	examples, err := filepath.Glob(filepath.Join(deploy, "examples", "*.toml"))
	if err != nil || len(examples) == 0 {
		t.Fatalf("no examples, %v", err)
	}
	for _, name := range examples {
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

// Each broken file gives one line that names the file, the line and what was meant.
func TestBrokenFiles(t *testing.T) {
	const listener = "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \"127.0.0.1:7071\"\n"
	for text, want := range map[string]string{
		"[[listner]]\nx = 1\n":                                                     `:1: listner is not known: "listener" is meant?`,
		listener + "opne = 3\n":                                                    `:4: listener.opne is not known: "open" is meant?`,
		listener + "colour = 3\n":                                                  `:4: listener.colour is not known`,
		"[limits]\nslots = \"many\"\n":                                             `:2: `,
		"[limits]\nslots = -1\n":                                                   `:2: slots is -1: a number from 0`,
		"[limits]\nslots = 1.5\n":                                                  `:2: `,
		"[limits]\n\n\nslots = 99999999999\n":                                      `:4: slots is 99999999999: a number from 0`,
		"[[listener]]\nprotocol = \"grpc\"\n":                                      `:2: protocol "grpc" is not known: "http" or "msgpack-rpc" is meant`,
		"[[listener]]\nprotocol = \"http\"\naddress = \"host:80\"\n":               `:3: address "host:80": an IP address and a port are meant`,
		"[[listener]]\naddress = \"127.0.0.1:1\"\n":                                `:1: this listener has no protocol`,
		"\n[[listener]]\nprotocol = \"http\"\n":                                    `:2: this listener has no address`,
		listener + "\n" + listener:                                                 `:7: listener 1 has the address 127.0.0.1:7071 already`,
		"[[listener]]\nprotocol = \"http\"\naddress = \"127.0.0.1:1\"\nopen = 3\n": `:4: open is for listeners of msgpack-rpc`,
		listener + "held = -3\n":                                                   `:4: held is -3`,
		"[[pool]]\nprotocol = \"http\"\n":                                          `:1: this pool has no name`,
		"[[pool]]\nname = \"a\"\n":                                                 `:1: pool "a" has no protocol`,
		"[[pool]]\nname = \"a\"\nprotocol = \"http\"\noutstanding = 3\n":           `:4: outstanding is for pools of msgpack-rpc`,
		"[[pool]]\nname = \"a\"\nprotocol = \"http\"\nhosts = [\"[\"]\n":           `:4: pattern "["`,
		"[[pool]]\nname = \"a\"\nprotocol = \"http\"\nhosts = \"x\"\n":             `:4: `,
		"[[pool]]\nname=\"a\"\nprotocol=\"http\"\nhosts=[\"x\"]\n[[pool]]\nname=\"a\"\nprotocol=\"http\"\n": `:6: pool 1 is named "a" already`,
		"[[pool]]\nname=\"a\"\nprotocol=\"http\"\n[[pool]]\nname=\"b\"\nprotocol=\"http\"\n":                `:4: pool "b" never gets a node`,
		"limits = 3\n":            `:1: `,
		"[limits\n":               `:1: `,
		"[limits]\n[limits]\n":    `:2: `,
		"a = \"unfinished\nb=1":   `:1: `,
		"\x00":                    `:1: `,
		"[[pool]]\nname = 3\n":    `:2: `,
		"[[pool]]\nhosts = [3]\n": `:2: `,
	} {
		_, err := Parse("f.toml", []byte(text))
		if err == nil {
			t.Errorf("%q: no error, want f.toml%s", text, want)
		} else if got := err.Error(); !strings.HasPrefix(got, "f.toml"+want) || strings.ContainsAny(got, "\n\r") {
			t.Errorf("%q:\n got %q\nwant f.toml%s...", text, got, want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); !os.IsNotExist(unwrap(err)) {
		t.Errorf("a missing file: %v", err)
	}
}

func unwrap(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}
		if os.IsNotExist(err) {
			return err
		}
		err = u.Unwrap()
	}
}

// Any text: no panic, and one line where it is wrong.
func FuzzParse(f *testing.F) {
	f.Add("[limits]\nslots = 3\n")
	f.Add("[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \"127.0.0.1:7071\"\n")
	f.Add("[[pool]]\nname = \"a\"\nprotocol = \"http\"\nhosts = [\"a*\", \"[\"]\n")
	f.Add("a.b.c = {d = [1, {e = 2}]}\n[x.y]\n[[x.z]]")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse("f", []byte(text)); err != nil && (strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f:")) {
			t.Errorf("%q: %q is not one line that names its place", text, err)
		}
	})
}

func ExampleParse() {
	_, err := Parse("deploy/mothridge.toml", []byte("[[listener]]\nprotocol = \"msgpack\"\n"))
	fmt.Println(err)
	// Output: deploy/mothridge.toml:2: protocol "msgpack" is not known: "http" or "msgpack-rpc" is meant
}
