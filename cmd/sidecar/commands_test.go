package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

var deployFolder = filepath.Join("..", "..", "deploy")

func TestCheck(t *testing.T) {
	good := filepath.Join(deployFolder, "examples", "msgpack-rpc.toml")
	output, errorOutput, exitCode := runProgram(t, "", "check", good)
	if exitCode != 0 || errorOutput != "" ||
		!strings.Contains(output, "is good") || !strings.Contains(output, "64 slots") {
		t.Errorf("a good file: exit %d, %q, %q", exitCode, output, errorOutput)
	}
	bad := writeFile(t, "bad.toml", "[limits]\nsolts = 3\n")
	output, errorOutput, exitCode = runProgram(t, "", "check", bad)
	want := fmt.Sprintf("%s:2:1: limits.solts: it is not known: \"slots\" is meant?\n    solts = 3\n    ^\n", bad)
	if exitCode != 1 || output != "" || errorOutput != want {
		t.Errorf("a bad file: exit %d, %q, %q; want %q", exitCode, output, errorOutput, want)
	}
}

// isOneErrorLine is whether the text is one line of the program's own.
func isOneErrorLine(text string) bool {
	return strings.Count(text, "\n") == 1 && strings.HasPrefix(text, "mothridge: ")
}

func TestWrongCommandLine(t *testing.T) {
	for name, arguments := range map[string][]string{
		"unknown command":                {"chekc"},
		"check without a file":           {"check"},
		"rate 0":                         {"try", "--rate", "0"},
		"duration too short":             {"try", "--duration", "1s"},
		"unknown protocol":               {"try", "--protocol", "grpc"},
		"missing file":                   {"run", "--operator", "/nonexistent"},
		"share above 100":                {"standin", "node", "--hang", "101"},
		"address that is no loopback":    {"standin", "node", "--address", "0.0.0.0:0"},
		"file that needs the platform's": {"run", "--operator", filepath.Join(deployFolder, "mothridge.toml")},
	} {
		output, errorOutput, exitCode := runProgram(t, "", arguments...)
		if exitCode != 1 || output != "" || !isOneErrorLine(errorOutput) {
			t.Errorf("%s: %v: exit %d, %q, %q; want exit 1 and one line", name, arguments, exitCode, output, errorOutput)
		}
	}
}

func TestStandinIsForLoopback(t *testing.T) {
	_, errorOutput, exitCode := runProgram(t, "", "standin", "eureka", "--address", "0.0.0.0:0")
	if exitCode != 1 || !strings.Contains(errorOutput, "loopback") {
		t.Errorf("exit %d, %q", exitCode, errorOutput)
	}
	loopback := []string{"standin", "eureka", "--address", "127.0.0.1:0", "--duration", "50ms"}
	output, errorOutput, exitCode := runProgram(t, "", loopback...)
	if exitCode != 0 || !strings.Contains(output, "/eureka/v2/apps") || errorOutput != "" {
		t.Errorf("exit %d, %q, %q", exitCode, output, errorOutput)
	}
}
