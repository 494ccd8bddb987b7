package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxResponseBytes limits the response body that Query reads.
const maxResponseBytes = 64 << 20

// Query sends a query to the running sidecar that listens on socket, and decodes the response into
// out. The target is a path without the leading slash, with or without a query string, such as
// members?after=127.0.0.1:80. Query blocks until the response arrives, at most queryTimeout plus
// one second.
func Query(ctx context.Context, socket, target string, out any) error {
	client := &http.Client{Timeout: queryTimeout + time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", socket)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://mothridge/"+target, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("query the sidecar at %s: %w", socket, errors.Unwrap(err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("query the sidecar at %s: %w", socket, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, out)
	case http.StatusNotFound:
		path, _, _ := strings.Cut(target, "?")
		return fmt.Errorf("the sidecar at %s does not serve %s: not turned on in its operators' file", socket, path)
	}
	return fmt.Errorf("the sidecar at %s: %.200s", socket, body)
}
