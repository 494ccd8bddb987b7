package main

import (
	"fmt"
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

const (
	startIn = 10 * time.Second // a busy machine may need some of it
	endIn   = 6 * time.Second  // a planned restart ends before the platform kills
)

// fullPipe returns a pipe that takes no further byte.
func fullPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		t.Fatal(err)
	}
	block := make([]byte, 4096)
	for {
		if _, err := syscall.Write(fds[1], block); err != nil {
			break
		}
	}
	if _, err := syscall.Write(fds[1], block[:1]); err != syscall.EAGAIN {
		t.Fatalf("the pipe is not full: %v", err)
	}
	syscall.SetNonblock(fds[1], false)
	r, w = os.NewFile(uintptr(fds[0]), "r"), os.NewFile(uintptr(fds[1]), "w")
	t.Cleanup(func() { r.Close() })
	return r, w
}

// startLogging starts the program with a log of its own and returns its address.
func startLogging(t *testing.T, log *os.File) (*exec.Cmd, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"ff",
		"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"up","share":1}]},
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`, addr)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log.Close()
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, addr
}

// postRequest sends a request to which any final answer will do.
func postRequest(addr string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	req.Header = http.Header{"Request-Id": {"x"}, "Request-Class": {"a"}, "Request-Timeout": {"1"}}
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// Whatever becomes of standard error, the program serves and ends on a signal.
func TestLogDoesNotStopService(t *testing.T) {
	for name, open := range map[string]func(*testing.T) *os.File{
		"nobody reads": func(t *testing.T) *os.File { _, w := fullPipe(t); return w },
		"reader gone": func(t *testing.T) *os.File {
			r, w := fullPipe(t)
			r.Close()
			return w
		},
		"no space": func(t *testing.T) *os.File {
			f, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			return f
		},
		"read only": func(t *testing.T) *os.File {
			f, err := os.Open(os.DevNull)
			if err != nil {
				t.Fatal(err)
			}
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			cmd, addr := startLogging(t, open(t))
			var status int
			var err error
			for end := time.Now().Add(startIn); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if status, err = postRequest(addr); err == nil {
					break
				}
			}
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			for range 20 { // each is a line about a file that is of no use
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(5 * time.Millisecond)
			}
			if status, err = postRequest(addr); err != nil {
				t.Fatalf("no answer after log lines: status %d, %v", status, err)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("ended with %v, want exit 0", err)
				}
			case <-time.After(endIn):
				t.Error("SIGTERM was not heeded")
			}
		})
	}
}
