// Package admin serves the operators' commands from a running sidecar, on a Unix socket
// that only its own user may open. It is off unless the operators' file names the socket.
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

// QueryHandler answers one path with a value that is encoded as JSON, or with an error,
// which the client gets as status 503. It is called on a goroutine of its own; ctx ends
// after queryTimeout.
type QueryHandler func(ctx context.Context, query url.Values) (any, error)

const (
	// queryTimeout bounds the time of one query.
	queryTimeout      = 5 * time.Second
	dialTimeout       = time.Second // of the check for another process on the socket
	readHeaderTimeout = time.Second
	maxHeaderBytes    = 8 << 10
)

// Server serves queries and pages until Close.
type Server struct {
	ln     *sockets.RetryingListener
	server *http.Server
}

// Listen opens the socket for queries, by their path, and for pages that are not JSON. A
// socket that an earlier process left is replaced; any other file is an error.
func Listen(path string, queries map[string]QueryHandler, pages map[string]http.Handler) (*Server, error) {
	if err := removeStale(path); err != nil {
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

// removeStale removes a socket that has no listener any more.
func removeStale(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // Listen says what is wrong, if anything but its absence is
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("admin socket %s: there is a file that is no socket", path)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c, err := dialer.DialContext(context.Background(), "unix", path); err == nil {
		c.Close()
		return fmt.Errorf("admin socket %s: another process listens there", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	return nil
}

// ServeHTTP answers one query.
func (q QueryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	answer, err := q(ctx, r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		slog.Debug("admin: response not written", "path", r.URL.Path, "err", err)
	}
}

// Serve serves until Close; it blocks.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin socket: %w", err)
	}
	return nil
}

// Close ends Serve, closes all connections and removes the socket.
func (s *Server) Close() { s.server.Close() }
