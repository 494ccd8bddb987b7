package admin

import (
	"context"
	"errors"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestQuery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, map[string]QueryHandler{
		"members": func(context.Context, url.Values) (any, error) { return []string{"a", "b"}, nil },
		"broken":  func(context.Context, url.Values) (any, error) { return nil, errors.New("not now") },
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket is %v, %v; want one for its user alone", info.Mode(), err)
	}
	var got []string
	if err := Query(t.Context(), path, "members", &got); err != nil || len(got) != 2 {
		t.Errorf("got %v, %v", got, err)
	}
	if err := Query(t.Context(), path, "broken", &got); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Errorf("broken: %v", err)
	}
	if err := Query(t.Context(), path, "unknown", &got); err == nil || !strings.Contains(err.Error(), "not turned on") {
		t.Errorf("unknown: %v", err)
	}
	if _, err := Listen(path, nil, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second one: %v", err)
	}
	s.Close()
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
	if err := Query(t.Context(), path, "members", &got); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("after the end: %v", err)
	}
}

// The socket of a process that was killed is replaced, any other file is not.
func TestListen_StaleSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.ln.Listener.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	s.ln.Close()
	again, err := Listen(path, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	again.ln.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, nil, nil); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("over a file: %v", err)
	}
}
