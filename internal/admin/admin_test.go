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
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve() }()
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket: got mode %v, error %v; want permissions 0600", info.Mode(), err)
	}
	var got []string
	if err := Query(t.Context(), path, "members", &got); err != nil || len(got) != 2 {
		t.Errorf("members: got %v, error %v; want two entries", got, err)
	}
	if err := Query(t.Context(), path, "broken", &got); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Errorf("broken: got error %v, want the text of the handler's error", err)
	}
	if err := Query(t.Context(), path, "unknown", &got); err == nil || !strings.Contains(err.Error(), "not turned on") {
		t.Errorf("unknown: got error %v, want one that says not turned on", err)
	}
	if _, err := Listen(path, nil, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second Listen: got error %v, want one that says another process", err)
	}
	s.Close()
	if err := <-serveErr; err != nil {
		t.Errorf("Serve: got error %v, want nil", err)
	}
	if err := Query(t.Context(), path, "members", &got); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("query after Close: got error %v, want an error of one line", err)
	}
}

// A killed process leaves its socket file behind, which must not prevent a restart. Any other file
// at the path must be kept.
func TestListen_StaleSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.ln.Listener.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	s.ln.Close()
	second, err := Listen(path, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	second.ln.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, nil, nil); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("Listen on a regular file: got error %v, want one that says not a socket", err)
	}
}
