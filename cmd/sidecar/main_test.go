package main

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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

// A new configuration is no reason to end. A planned restart is: SIGTERM, and
// the program ends by itself with 0.
func TestHangUpIsSurvivedAndTermEndsWithZero(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"` + addr + `","discovery":"127.0.0.1:1","seed":"ff",
		"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"up","share":1}]},
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	lines := bufio.NewScanner(stderr)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=serving") {
	}
	if err := os.WriteFile(config, []byte(strings.Replace(text, `"127.0.0.1:1","seed"`, `"127.0.0.1:2","seed"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	moved := false
	for !moved && lines.Scan() {
		moved = strings.Contains(lines.Text(), "moved") && strings.Contains(lines.Text(), "127.0.0.1:2")
	}
	if !moved {
		t.Error("the program did not go on with the new configuration")
	}
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("ready: %v, error %v", resp, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of its log
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}
