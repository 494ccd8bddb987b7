// Package admin serves the queries of the operators' commands from a running sidecar, on a Unix
// socket that only the sidecar's user may open. It is off unless the operators' file sets the
// path of the socket.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"mothridge/internal/sockets"
)

// QueryHandler handles the queries of one path. Its result is encoded as JSON; an error is sent
// to the client with status 503. Each call runs on its own goroutine; ctx ends after queryTimeout.
type QueryHandler func(ctx context.Context, query url.Values) (any, error)

const (
	// queryTimeout limits the duration of one query.
	queryTimeout      = 5 * time.Second
	dialTimeout       = time.Second // for the check whether another process listens on the socket
	readHeaderTimeout = time.Second
	maxHeaderBytes    = 8 << 10
)

// Server serves queries and pages until Close.
type Server struct {
	ln     *sockets.RetryingListener
	server *http.Server
}

// Listen opens the socket at path for queries and for pages that are not JSON, both by their URL
// path without the leading slash. It replaces a socket that an earlier process left behind; any
// other existing file is an error.
func Listen(path string, queries map[string]QueryHandler, pages map[string]http.Handler) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	ln, err := new(net.ListenConfig).Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	mux := http.NewServeMux()
	for name, query := range queries {
		mux.Handle("GET /"+name, query)
	}
	for name, page := range pages {
		mux.Handle("GET /"+name, page)
	}
	return &Server{
		ln:     sockets.NewRetryingListener(ln),
		server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
	}, nil
}

// removeStaleSocket removes the socket at path if no process listens on it. It returns an error if
// a process does, or if path is another kind of file.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // the path is free, or else Listen returns the error
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("admin socket %s: file exists and is not a socket", path)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c, err := dialer.DialContext(context.Background(), "unix", path); err == nil {
		c.Close()
		return fmt.Errorf("admin socket %s: another process is listening", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	return nil
}

// ServeHTTP responds to one query.
func (q QueryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	result, err := q(ctx, r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(result); err != nil {
		slog.Debug("admin socket: write of the response failed", "path", r.URL.Path, "err", err)
	}
}

// Serve accepts connections and blocks until Close, after which it returns nil. An earlier end is
// an error.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin socket: %w", err)
	}
	return nil
}

// Close ends Serve, closes all connections and removes the socket.
func (s *Server) Close() { s.server.Close() }
