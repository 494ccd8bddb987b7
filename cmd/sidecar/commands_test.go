package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

var deployFolder = filepath.Join("..", "..", "deploy")

// TestCheckCommand checks that the check command summarises a valid file, and prints nothing but
// the problems of an invalid one.
func TestCheckCommand(t *testing.T) {
	validFile := filepath.Join(deployFolder, "examples", "msgpack-rpc.toml")
	output, errorOutput, exitCode := runProgram(t, "", "check", validFile)
	if exitCode != 0 || errorOutput != "" ||
		!strings.Contains(output, "is valid") || !strings.Contains(output, "64 slots") {
		t.Errorf("valid file: got exit status %d, output %q, errors %q; want 0, \"is valid\" with \"64 slots\", no errors",
			exitCode, output, errorOutput)
	}
	invalidFile := writeFile(t, "bad.toml", "[limits]\nsolts = 3\n")
	output, errorOutput, exitCode = runProgram(t, "", "check", invalidFile)
	want := fmt.Sprintf("%s:2:1: limits.solts: unknown key; did you mean \"slots\"?\n    solts = 3\n    ^\n", invalidFile)
	if exitCode != 1 || output != "" || errorOutput != want {
		t.Errorf("invalid file: got exit status %d, output %q, errors %q; want 1, no output, errors %q",
			exitCode, output, errorOutput, want)
	}
}

// isOneErrorLine reports whether the text is a single line with the prefix of the program's errors.
func isOneErrorLine(text string) bool {
	return strings.Count(text, "\n") == 1 && strings.HasPrefix(text, "mothridge: ")
}

// TestInvalidCommandLine checks that an unusable command line ends the program with exit status 1
// and one line of error, instead of a stack trace or a start with wrong settings.
func TestInvalidCommandLine(t *testing.T) {
	for name, arguments := range map[string][]string{
		"unknown command":                  {"chekc"},
		"check without a file":             {"check"},
		"rate of 0":                        {"try", "--rate", "0"},
		"duration too short":               {"try", "--duration", "1s"},
		"unknown protocol":                 {"try", "--protocol", "grpc"},
		"missing file":                     {"run", "--operator", "/nonexistent"},
		"share above 100":                  {"standin", "node", "--hang", "101"},
		"address that is not loopback":     {"standin", "node", "--address", "0.0.0.0:0"},
		"file that requires ROUTER_CONFIG": {"run", "--operator", filepath.Join(deployFolder, "mothridge.toml")},
	} {
		output, errorOutput, exitCode := runProgram(t, "", arguments...)
		if exitCode != 1 || output != "" || !isOneErrorLine(errorOutput) {
			t.Errorf("%s: %v: got exit status %d, output %q, errors %q; want 1, no output, one line of error",
				name, arguments, exitCode, output, errorOutput)
		}
	}
}

// TestStandinRequiresLoopbackAddress checks that a stand-in, which has no authentication, does not
// listen on an address that other machines can reach.
func TestStandinRequiresLoopbackAddress(t *testing.T) {
	_, errorOutput, exitCode := runProgram(t, "", "standin", "eureka", "--address", "0.0.0.0:0")
	if exitCode != 1 || !strings.Contains(errorOutput, "loopback") {
		t.Errorf("address 0.0.0.0: got exit status %d, errors %q; want 1 and \"loopback\"", exitCode, errorOutput)
	}
	loopbackArguments := []string{"standin", "eureka", "--address", "127.0.0.1:0", "--duration", "50ms"}
	output, errorOutput, exitCode := runProgram(t, "", loopbackArguments...)
	if exitCode != 0 || !strings.Contains(output, "/eureka/v2/apps") || errorOutput != "" {
		t.Errorf("address 127.0.0.1: got exit status %d, output %q, errors %q; want 0, \"/eureka/v2/apps\", no errors",
			exitCode, output, errorOutput)
	}
}
