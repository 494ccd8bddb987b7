package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"

	"mothridge/internal/admin"
)

// membersPerPage is the maximum number of endpoints in one response of the admin socket.
const membersPerPage = 250

// openAdmin opens the admin socket and serves it in a goroutine, if the operators' file sets the
// socket's path. The goroutine ends with closeAdmin.
func (s *service) openAdmin() error {
	if s.config.Operator.Admin.Socket == "" {
		return nil
	}
	queries := make(map[string]admin.QueryHandler)
	if s.merger != nil {
		queries["members"] = func(ctx context.Context, query url.Values) (any, error) {
			return s.merger.View(ctx, query.Get("after"), membersPerPage)
		}
	}
	if s.quotas != nil {
		queries["quotas"] = func(context.Context, url.Values) (any, error) { return s.quotas.View(), nil }
	}
	pages := make(map[string]http.Handler)
	if s.metrics != nil {
		pages["metrics"] = s.metrics
	}
	server, err := admin.Listen(s.config.Operator.Admin.Socket, queries, pages)
	if err != nil {
		return err
	}
	s.background.Go(func() {
		if err := server.Serve(); err != nil {
			slog.Error("admin socket failed", "err", err)
		}
	})
	s.closeAdmin = server.Close
	return nil
}
