package main

import (
	"bufio"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// createLog creates a file for the log of a program.
func createLog(t *testing.T) *os.File {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// TestOverlappingSignals checks that repeated signals, and a reload that is requested during shutdown, do
// not change how the program ends: it responds to requests during shutdown, ends with exit status 0 and
// logs its end.
func TestOverlappingSignals(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":                  {syscall.SIGTERM, syscall.SIGTERM},
		"reload during shutdown":         {syscall.SIGTERM, syscall.SIGHUP},
		"several reloads, then shutdown": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			log := createLog(t)
			command, address := startLogging(t, log)
			awaitService(t, address)
			for _, signal := range signals {
				command.Process.Signal(signal)
				time.Sleep(20 * time.Millisecond) // keeps the order of the signals
			}
			if _, err := postRequest(address); err != nil { // within the 0.4 s in which new connections still arrive
				t.Errorf("request during shutdown: got error %v, want a response", err)
			}
			if err := command.Wait(); err != nil {
				t.Errorf("after SIGTERM: got %v, want exit status 0", err)
			}
			text, err := os.ReadFile(log.Name())
			if err != nil || !strings.Contains(string(text), `msg="connections drained; exiting"`) {
				t.Errorf("log: got %q, error %v; want the message \"connections drained; exiting\"", text, err)
			}
		})
	}
}

// TestReloadDuringStart checks that SIGHUP during the start, before the listener is open, does not end the
// program. The reload is carried out once the listener is open; the program becomes ready and ends with
// exit status 0.
func TestReloadDuringStart(t *testing.T) {
	command, address := startLogging(t, createLog(t))
	time.Sleep(30 * time.Millisecond) // SIGHUP ends a process that has not installed its handler yet
	for range 50 {
		command.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	peertest.WaitUntil(t, "the program to be ready", func() bool {
		response, err := http.Get("http://" + address + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	command.Process.Signal(syscall.SIGTERM)
	if err := command.Wait(); err != nil {
		t.Errorf("after SIGTERM: got %v, want exit status 0", err)
	}
}

// TestSIGHUPReloadsAndSIGTERMEnds checks that the program applies a changed configuration on SIGHUP without
// a restart, and that SIGTERM, which requests a planned restart, ends it with exit status 0.
func TestSIGHUPReloadsAndSIGTERMEnds(t *testing.T) {
	config := platformConfig{listen: freeAddresses(t, 1)[0], endpoint: "127.0.0.1:1"}
	path := config.write(t)
	command := programCommand(path)
	stderr, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	startProgram(t, command)
	watchdog := time.AfterFunc(20*time.Second, func() { command.Process.Kill() })
	defer watchdog.Stop()
	lines := bufio.NewScanner(stderr)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=serving") {
	}
	config.discovery = "127.0.0.1:2"
	rewriteFile(t, path, config.text())
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	addressChanged := false
	for !addressChanged && lines.Scan() {
		addressChanged = strings.Contains(lines.Text(), `msg="discovery: address changed"`) && strings.Contains(lines.Text(), "127.0.0.1:2")
	}
	if !addressChanged {
		t.Error("the log has no message \"discovery: address changed\" with 127.0.0.1:2, the address of the new configuration")
	}
	response, err := http.Get("http://" + config.listen + "/health/ready")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("readiness after the reload: got %v, error %v; want status 200", response, err)
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // read the log to its end
	}
	if err := command.Wait(); err != nil {
		t.Errorf("after SIGTERM: got %v, want exit status 0", err)
	}
}
