package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// Signals that come twice, early, or while the program ends change nothing of how it ends.
func TestSignalsThatCross(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":               {syscall.SIGTERM, syscall.SIGTERM},
		"a reload while it ends":      {syscall.SIGTERM, syscall.SIGHUP},
		"reloads in a row, then stop": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			if err != nil {
				t.Fatal(err)
			}
			path := log.Name()
			cmd, addr := startLogging(t, log)
			peertest.Until(t, "the program", func() bool {
				_, err := postRequest(addr)
				return err == nil
			})
			for _, s := range signals {
				cmd.Process.Signal(s)
				time.Sleep(20 * time.Millisecond) // they come one after the other
			}
			if _, err := postRequest(addr); err != nil { // within the 0.4 s in which new connections come
				t.Errorf("no answer while it ends: %v", err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v, want exit 0", err)
			}
			text, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(text), "msg=ended") {
				t.Errorf("the log ends without its end: %q, error %v", text, err)
			}
		})
	}
}

// A reload that comes before the listener is open is taken once it is.
func TestReloadBeforeTheListenerIsOpen(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd, addr := startLogging(t, log)
	time.Sleep(30 * time.Millisecond) // a signal to a process that is not the program yet ends it
	for range 50 {
		cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	peertest.Until(t, "the program", func() bool {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}
