package main

import (
	"os"
	"testing"
)

func TestStartUpErrorIsOnePlainLine(t *testing.T) {
	for name, config := range map[string]string{
		"none":         "",
		"missing file": "/nonexistent/config.json",
		"no JSON":      os.Args[0],
	} {
		_, line, exitCode := runProgram(t, config)
		if exitCode != 1 || !isOneErrorLine(line) {
			t.Errorf("%s: exit %d, %q; want exit 1 and one line", name, exitCode, line)
		}
	}
}
