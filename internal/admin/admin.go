// Package admin lets the operators' commands ask a running sidecar, over a Unix
// socket that only its own user may open. It is off unless the operators' file
// names the socket.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"mothridge/internal/sockets"
)

// Server answers questions; each has a path and an answer that becomes JSON.
type Server struct {
	ln     *sockets.RetryingListener
	server *http.Server
}

// Question answers one path; query holds what its asker wants of it.
type Question func(ctx context.Context, query url.Values) (any, error)

const (
	answerIn  = 5 * time.Second
	maxAnswer = 64 << 20
)

// Listen opens the socket, for questions and for pages that are no JSON. A socket that a process before left behind is
// replaced; any other file is an error.
func Listen(path string, questions map[string]Question, pages map[string]http.Handler) (*Server, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket %s: there is a file that is no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin socket %s: another process listens there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin socket: %w", err)
		}
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	mux := http.NewServeMux()
	for name, q := range questions {
		mux.HandleFunc("GET /"+name, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), answerIn)
			defer cancel()
			answer, err := q(ctx, r.URL.Query())
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(answer)
		})
	}
	for name, page := range pages {
		mux.Handle("GET /"+name, page)
	}
	s := &Server{ln: sockets.NewRetryingListener(ln), server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, MaxHeaderBytes: 8 << 10}}
	return s, nil
}

// Serve answers until Close.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin socket: %w", err)
	}
	return nil
}

// Close ends it and takes the socket away.
func (s *Server) Close() { s.server.Close() }

// Ask asks a running sidecar and decodes its answer into out. A question may
// have a query behind it, such as members?after=127.0.0.1:80.
func Ask(ctx context.Context, socket, question string, out any) error {
	client := &http.Client{Timeout: answerIn + time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", socket)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://mothridge/"+question, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("ask the sidecar at %s: %w", socket, errors.Unwrap(err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("ask the sidecar at %s: %w", socket, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, out)
	case http.StatusNotFound:
		asked, _, _ := strings.Cut(question, "?")
		return fmt.Errorf("the sidecar at %s has nothing to tell of %s: that is not turned on in its operators' file", socket, asked)
	}
	return fmt.Errorf("the sidecar at %s: %.200s", socket, body)
}
