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

// TestRunWithOperatorsFile checks that the program with an operators' file serves clients over HTTP and
// over the MessagePack-RPC listener of the file, from an upstream of its MessagePack-RPC pool.
func TestRunWithOperatorsFile(t *testing.T) {
	upstream, err := peers.StartUpstream(peers.RPC, "records-01", peers.NewLedger(false), peers.ServeAll)
	if err != nil {
		t.Fatal(err)
	}
	defer upstream.Close()
	discovery, err := peers.StartDiscovery(peers.Endpoint{Name: upstream.Name, Addr: upstream.Addr(), Health: "up", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	addresses := freeAddresses(t, 2)
	config := platformConfig{listen: addresses[0], discovery: discovery.Addr(), semantics: "single_shot"}.write(t)
	operatorFile := writeFile(t, "mothridge.toml", "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \""+addresses[1]+
		"\"\n[[pool]]\nname = \"records\"\nprotocol = \"msgpack-rpc\"\nhosts = [\"records-*\"]\n")
	stop := startWithJSONLog(t, config, operatorFile)
	for i, protocol := range []peers.Protocol{peers.HTTP, peers.RPC} {
		call := peers.Call{Class: "a", NotIdempotent: true, Timeout: time.Second}
		if got := requestUntilServed(t, protocol, addresses[i], call); got.Outcome != peers.Served {
			t.Errorf("over %s: got %+v, want the outcome Served", protocol, got)
		}
	}
	stop()
}

// TestCompleteExamples checks that the complete examples under deploy/examples run with no change but
// to addresses and paths: an operators' file alone, and a platform's configuration with one.
func TestCompleteExamples(t *testing.T) {
	for name, files := range map[string]struct{ config, operatorFile string }{
		"operators' file alone":  {"", "standalone.toml"},
		"platform configuration": {"platform/config.json", "platform/mothridge.toml"},
	} {
		t.Run(name, func(t *testing.T) { testExample(t, files.config, files.operatorFile) })
	}
}

// testExample runs the files of an example with stand-in upstreams, and sends a request of each class.
func testExample(t *testing.T, config, operatorFile string) {
	address := freeAddresses(t, 1)[0]
	replacements := []string{"127.0.0.1:7070", address, "/tmp/mothridge-example", filepath.Join(t.TempDir(), "s")}
	for _, exampleAddress := range []string{"127.0.0.1:7081", "127.0.0.1:7082"} {
		upstream, err := peers.StartUpstream(peers.HTTP, exampleAddress, peers.NewLedger(false), peers.ServeAll)
		if err != nil {
			t.Fatal(err)
		}
		defer upstream.Close()
		replacements = append(replacements, exampleAddress, upstream.Addr())
	}
	replacer := strings.NewReplacer(replacements...)
	stop := startWithJSONLog(t, copyExample(t, config, replacer), copyExample(t, operatorFile, replacer))
	for _, call := range []peers.Call{{Class: "weight-reading", IdempotencyKey: "k"}, {Class: "harvest-entry", NotIdempotent: true}} {
		call.Tenant, call.Timeout = "lockyer-keepers", time.Second
		if got := requestUntilServed(t, peers.HTTP, address, call); got.Outcome != peers.Served {
			t.Errorf("%s: got %+v, want the outcome Served", call.Class, got)
		}
	}
	stop()
}

// copyExample copies a file of the examples with the replacements applied, and returns the path of the
// copy. Without a file it returns an empty path.
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

// startWithJSONLog starts the program with a log in JSON. The returned function stops the program and
// checks its exit status and its log.
func startWithJSONLog(t *testing.T, config, operatorFile string) (stop func()) {
	t.Helper()
	command := programCommand(config, "run", "--operator", operatorFile, "--log-format", "json")
	var log bytes.Buffer
	command.Stderr = &log
	startProgram(t, command)
	return func() {
		t.Helper()
		command.Process.Signal(os.Interrupt)
		if err := command.Wait(); err != nil {
			t.Errorf("after the interrupt: got %v, want exit status 0\n%s", err, log.String())
		}
		checkCounters(t, log.String())
	}
}

// checkCounters checks that each line of the log is JSON and that one of them has counters as numbers.
func checkCounters(t *testing.T, log string) {
	t.Helper()
	hasCounters := false
	for line := range strings.Lines(log) {
		var entry struct {
			Msg      string
			Ordinary *int
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Errorf("log line %q: got error %v, want JSON", line, err)
		}
		hasCounters = hasCounters || entry.Msg == "counters" && entry.Ordinary != nil && *entry.Ordinary > 0
	}
	if !hasCounters {
		t.Errorf("the log has no line with counters as numbers:\n%s", log)
	}
}

// requestUntilServed sends requests until one is served, for at most 10 s, and returns the last result.
// It covers the start of the program.
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
