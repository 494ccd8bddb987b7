package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// The real program with an operators' file: a MessagePack-RPC listener and pool.
func TestRunWithOperatorsFile(t *testing.T) {
	node, err := peers.StartUpstream(peers.RPC, "records-01", peers.NewLedger(false), peers.ServeAll)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	discovery, err := peers.StartDiscovery(peers.Endpoint{Name: node.Name, Addr: node.Addr(), Health: "up", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	addresses := freeAddresses(t, 2)
	config := platformConfig{listen: addresses[0], discovery: discovery.Addr(), semantics: "single_shot"}.write(t)
	operators := writeFile(t, "mothridge.toml", "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \""+addresses[1]+
		"\"\n[[pool]]\nname = \"records\"\nprotocol = \"msgpack-rpc\"\nhosts = [\"records-*\"]\n")
	end := startWithJSONLog(t, config, operators)
	for i, protocol := range []peers.Protocol{peers.HTTP, peers.RPC} {
		call := peers.Call{Class: "a", NotIdempotent: true, Timeout: time.Second}
		if got := requestUntilServed(t, protocol, addresses[i], call); got.Outcome != peers.Served {
			t.Errorf("over %s: %+v", protocol, got)
		}
	}
	end()
}

// The examples that are complete run as they stand, but for their addresses: the
// operators' file alone, and the platform's JSON with one.
func TestCompleteExamples(t *testing.T) {
	for name, files := range map[string]struct{ config, operators string }{
		"operators' file alone": {"", "standalone.toml"},
		"the platform's":        {"platform/config.json", "platform/mothridge.toml"},
	} {
		t.Run(name, func(t *testing.T) { testExample(t, files.config, files.operators) })
	}
}

func testExample(t *testing.T, config, operators string) {
	address := freeAddresses(t, 1)[0]
	replacements := []string{"127.0.0.1:7070", address, "/tmp/mothridge-example", filepath.Join(t.TempDir(), "s")}
	for _, example := range []string{"127.0.0.1:7081", "127.0.0.1:7082"} {
		node, err := peers.StartUpstream(peers.HTTP, example, peers.NewLedger(false), peers.ServeAll)
		if err != nil {
			t.Fatal(err)
		}
		defer node.Close()
		replacements = append(replacements, example, node.Addr())
	}
	replacer := strings.NewReplacer(replacements...)
	end := startWithJSONLog(t, copyExample(t, config, replacer), copyExample(t, operators, replacer))
	for _, call := range []peers.Call{{Class: "weight-reading", IdempotencyKey: "k"}, {Class: "harvest-entry", NotIdempotent: true}} {
		call.Tenant, call.Timeout = "lockyer-keepers", time.Second
		if got := requestUntilServed(t, peers.HTTP, address, call); got.Outcome != peers.Served {
			t.Errorf("%s: %+v", call.Class, got)
		}
	}
	end()
}

// copyExample copies a file of the examples with other addresses and paths, and returns its path; no file, no path.
func copyExample(t *testing.T, file string, replacer *strings.Replacer) string {
	t.Helper()
	if file == "" {
		return ""
	}
	text, err := os.ReadFile(filepath.Join(deployFolder, "examples", file))
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, filepath.Base(file), replacer.Replace(string(text)))
}

// startWithJSONLog starts the real program; end stops it and checks its exit status and its log.
func startWithJSONLog(t *testing.T, config, operators string) (end func()) {
	t.Helper()
	command := programCommand(config, "run", "--operator", operators, "--log-format", "json")
	var log bytes.Buffer
	command.Stderr = &log
	startProgram(t, command)
	return func() {
		t.Helper()
		command.Process.Signal(os.Interrupt)
		if err := command.Wait(); err != nil {
			t.Errorf("ended with %v\n%s", err, log.String())
		}
		checkCounters(t, log.String())
	}
}

// checkCounters checks that each line of the log is JSON and that one has counters as numbers.
func checkCounters(t *testing.T, log string) {
	t.Helper()
	counted := false
	for line := range strings.Lines(log) {
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
		t.Errorf("the log has no counters as numbers:\n%s", log)
	}
}

// requestUntilServed sends requests until the program is up and serves.
func requestUntilServed(t *testing.T, protocol peers.Protocol, address string, call peers.Call) (got peers.Result) {
	t.Helper()
	client := peers.NewClient(protocol, address)
	defer client.Close()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		call.ID = fmt.Sprint(protocol, time.Now().UnixNano())
		got = client.Do(ctx, call)
		cancel()
		if got.Outcome == peers.Served {
			break
		}
	}
	return got
}
