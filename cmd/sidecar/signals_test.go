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

func createLog(t *testing.T) *os.File {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Signals that come twice, early, or while the program ends change nothing of how it ends.
func TestSignalsThatCross(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":               {syscall.SIGTERM, syscall.SIGTERM},
		"a reload while it ends":      {syscall.SIGTERM, syscall.SIGHUP},
		"reloads in a row, then stop": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			log := createLog(t)
			command, address := startLogging(t, log)
			awaitService(t, address)
			for _, signal := range signals {
				command.Process.Signal(signal)
				time.Sleep(20 * time.Millisecond) // they come one after the other
			}
			if _, err := postRequest(address); err != nil { // within the 0.4 s in which new connections come
				t.Errorf("no answer while it ends: %v", err)
			}
			if err := command.Wait(); err != nil {
				t.Errorf("ended with %v, want exit 0", err)
			}
			text, err := os.ReadFile(log.Name())
			if err != nil || !strings.Contains(string(text), "msg=ended") {
				t.Errorf("the log ends without its end: %q, error %v", text, err)
			}
		})
	}
}

// A reload that comes before the listener is open is carried out once it is.
func TestReloadBeforeTheListenerIsOpen(t *testing.T) {
	command, address := startLogging(t, createLog(t))
	time.Sleep(30 * time.Millisecond) // a signal to a process that is not the program yet ends it
	for range 50 {
		command.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	peertest.Until(t, "the program", func() bool {
		response, err := http.Get("http://" + address + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	command.Process.Signal(syscall.SIGTERM)
	if err := command.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}

// A new configuration is no reason to end. A planned restart is: SIGTERM, and
// the program ends by itself with 0.
func TestSIGHUPReloadsAndSIGTERMEndsWithZero(t *testing.T) {
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
	moved := false
	for !moved && lines.Scan() {
		moved = strings.Contains(lines.Text(), "moved") && strings.Contains(lines.Text(), "127.0.0.1:2")
	}
	if !moved {
		t.Error("the program did not go on with the new configuration")
	}
	response, err := http.Get("http://" + config.listen + "/health/ready")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("ready: %v, error %v", response, err)
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of its log
	}
	if err := command.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}
