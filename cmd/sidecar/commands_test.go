package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// program runs the program with arguments and returns what it printed and how it ended.
func program(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG=")
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return out.String(), errs.String(), code
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheck(t *testing.T) {
	out, errs, code := program(t, "check", filepath.Join("..", "..", "deploy", "examples", "msgpack-rpc.toml"))
	if code != 0 || errs != "" || !strings.Contains(out, "is good") || !strings.Contains(out, "64 slots") {
		t.Errorf("a good file: exit %d, %q, %q", code, out, errs)
	}
	bad := write(t, "bad.toml", "[limits]\nsolts = 3\n")
	out, errs, code = program(t, "check", bad)
	if want := fmt.Sprintf("%s:2:1: limits.solts: it is not known: \"slots\" is meant?\n    solts = 3\n    ^\n", bad); code != 1 || out != "" || errs != want {
		t.Errorf("a bad file: exit %d, %q, %q; want %q", code, out, errs, want)
	}
}

func TestWrongCommandLine(t *testing.T) {
	for _, args := range [][]string{{"chekc"}, {"check"}, {"try", "--rate", "0"}, {"try", "--duration", "1s"}, {"try", "--protocol", "grpc"}, {"run", "--operator", "/nonexistent"}, {"standin", "node", "--hang", "101"}, {"standin", "node", "--address", "0.0.0.0:0"},
		{"run", "--operator", filepath.Join("..", "..", "deploy", "mothridge.toml")}} {
		out, errs, code := program(t, args...)
		if code != 1 || out != "" || strings.Count(errs, "\n") != 1 || !strings.HasPrefix(errs, "mothridge: ") {
			t.Errorf("%v: exit %d, %q, %q; want exit 1 and one line", args, code, out, errs)
		}
	}
}

// The real program with an operators' file: a MessagePack-RPC listener and pool.
func TestRunWithOperatorsFile(t *testing.T) {
	ledger := peers.NewLedger(false)
	node, err := peers.StartUpstream(peers.RPC, "records-01", ledger, peers.ServeAll)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	discovery, err := peers.StartDiscovery(peers.Endpoint{Name: node.Name, Addr: node.Addr(), Health: "up", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	addrs := freeAddrs(t, 2)
	config := write(t, "config.json", `{"name":"n0","listen":"`+addrs[0]+`","discovery":"`+discovery.Addr()+`","seed":"ff",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","semantics":"single_shot","aim_ms":500,"hard_limit_ms":1000}]}}`)
	operators := write(t, "mothridge.toml", "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \""+addrs[1]+
		"\"\n[[pool]]\nname = \"records\"\nprotocol = \"msgpack-rpc\"\nhosts = [\"records-*\"]\n")
	end := startProgram(t, config, operators)
	for i, p := range []peers.Protocol{peers.HTTP, peers.RPC} {
		if got := requestUntilServed(t, p, addrs[i], peers.Call{Class: "a", NotIdempotent: true, Timeout: time.Second}); got.Outcome != peers.Served {
			t.Errorf("over %s: %+v", p, got)
		}
	}
	end()
}

// startProgram starts the real program; end stops it and checks its exit status.
func startProgram(t *testing.T, config, operators string) (end func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "run", "--operator", operators, "--log-format", "json")
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		cmd.Process.Signal(os.Interrupt)
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v\n%s", err, log.String())
		}
		counted := false
		for line := range strings.Lines(log.String()) {
			var entry struct {
				Msg      string
				Ordinary *int
			}
			if err := json.Unmarshal([]byte(line), &entry); err != nil {
				t.Errorf("%q: %v", line, err)
			}
			counted = counted || entry.Msg == "counters" && entry.Ordinary != nil && *entry.Ordinary > 0
		}
		if !counted {
			t.Errorf("the log has no counters as numbers:\n%s", log.String())
		}
	}
}

// requestUntilServed sends requests until the program is up and serves.
func requestUntilServed(t *testing.T, p peers.Protocol, addr string, c peers.Call) (got peers.Result) {
	t.Helper()
	client := peers.NewClient(p, addr)
	defer client.Close()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		c.ID = fmt.Sprint(p, time.Now().UnixNano())
		got = client.Do(ctx, c)
		cancel()
		if got.Outcome == peers.Served {
			break
		}
	}
	return got
}

// The examples that are complete run as they stand, but for their addresses: the
// operators' file alone, and the platform's JSON with one.
func TestCompleteExamples(t *testing.T) {
	dir := filepath.Join("..", "..", "deploy", "examples")
	for name, files := range map[string][2]string{
		"operators' file alone": {"", "standalone.toml"},
		"the platform's":        {"platform/config.json", "platform/mothridge.toml"},
	} {
		t.Run(name, func(t *testing.T) {
			addrs := freeAddrs(t, 1)
			real := []string{"127.0.0.1:7070", addrs[0], "/tmp/mothridge-example", filepath.Join(t.TempDir(), "s")}
			for _, at := range []string{"127.0.0.1:7081", "127.0.0.1:7082"} {
				n, err := peers.StartUpstream(peers.HTTP, at, peers.NewLedger(false), peers.ServeAll)
				if err != nil {
					t.Fatal(err)
				}
				defer n.Close()
				real = append(real, at, n.Addr())
			}
			var paths [2]string
			for i, file := range files {
				if file == "" {
					continue
				}
				text, err := os.ReadFile(filepath.Join(dir, file))
				if err != nil {
					t.Fatal(err)
				}
				paths[i] = write(t, filepath.Base(file), strings.NewReplacer(real...).Replace(string(text)))
			}
			end := startProgram(t, paths[0], paths[1])
			for _, c := range []peers.Call{{Class: "weight-reading", IdempotencyKey: "k"}, {Class: "harvest-entry", NotIdempotent: true}} {
				c.Tenant, c.Timeout = "lockyer-keepers", time.Second
				if got := requestUntilServed(t, peers.HTTP, addrs[0], c); got.Outcome != peers.Served {
					t.Errorf("%s: %+v", c.Class, got)
				}
			}
			end()
		})
	}
}

// freeAddrs finds loopback addresses without a listener.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	addrs := make([]string, n)
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		addrs[i] = ln.Addr().String()
	}
	return addrs
}
