package main

import (
	"os"
	"testing"
)

// TestStartUpErrorIsOneLine checks that a missing or invalid configuration file ends the program
// with exit status 1 and one line of error, instead of a stack trace.
func TestStartUpErrorIsOneLine(t *testing.T) {
	for name, config := range map[string]string{
		"none":         "",
		"missing file": "/nonexistent/config.json",
		"not JSON":     os.Args[0],
	} {
		_, errorOutput, exitCode := runProgram(t, config)
		if exitCode != 1 || !isOneErrorLine(errorOutput) {
			t.Errorf("%s: got exit status %d, errors %q; want 1, one line of error", name, exitCode, errorOutput)
		}
	}
}
