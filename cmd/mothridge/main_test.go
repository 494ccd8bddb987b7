package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("MOTHRIDGE_RUN_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestStartUpErrorIsOnePlainLine(t *testing.T) {
	for name, config := range map[string]string{"none": "", "missing file": "/nonexistent/config.json", "no JSON": os.Args[0]} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		line := stderr.String()
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(line, "\n") != 1 || !strings.HasPrefix(line, "mothridge: ") {
			t.Errorf("%s: %v, %q; want exit 1 and one line", name, err, line)
		}
	}
}
