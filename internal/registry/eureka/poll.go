package eureka

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
)

// errHashMismatch is returned when the hash computed from a complete list differs from the hash in the same
// response.
var errHashMismatch = errors.New("hash mismatch")

// statusError is the HTTP status of a response that reports a failure.
type statusError int

// Error returns the status as text.
func (s statusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", int(s)) }

// poll fetches a delta, applies it and publishes its changes. If there is no list to apply a delta to, or
// the hash after the delta differs from the replica's hash, poll fetches and publishes the complete list.
// With configured apps or VIP addresses, poll fetches only their lists.
func (c *Client) poll(ctx context.Context) error {
	if len(c.cfg.Apps)+len(c.cfg.VIPs) > 0 {
		return c.pollSelected(ctx)
	}
	if c.list != nil {
		delta, err := c.fetch(ctx, "/apps/delta")
		if err != nil {
			return err
		}
		if c.applyDelta(delta) {
			return nil
		}
	}
	list, err := c.fetch(ctx, "/apps")
	if err != nil {
		return err
	}
	if hash := HashCode(countByStatus(list.Instances)); list.Hash != "" && list.Hash != hash {
		return fmt.Errorf("%w: complete list: computed %.80q, response contains %.80q", errHashMismatch, hash, list.Hash)
	}
	c.applyList(list)
	return nil
}

// applyList applies a complete list and publishes it.
func (c *Client) applyList(list *Applications) {
	c.list = newListState(list.Instances)
	c.publishList(list.Instances)
}

func (c *Client) publishList(instances []Instance) {
	c.publish(Update{Replica: c.replicaURL(), Complete: true, Instances: instances})
}

// applyDelta applies a delta and publishes its changes. If the hash of the resulting list differs from the
// replica's hash, applyDelta publishes nothing and returns false; the caller then needs a complete list.
func (c *Client) applyDelta(delta *Applications) bool {
	changes := c.list.applyDelta(delta.Instances)
	if delta.Hash != "" && delta.Hash != c.list.hash() {
		slog.Info("eureka: hash mismatch after a delta; fetching the complete list", "replica", c.replicaURL())
		c.list = nil
		return false
	}
	c.publish(Update{Replica: c.replicaURL(), Instances: changes})
	return true
}

// pollSelected fetches the lists of the configured apps and VIP addresses and publishes them as one list.
// An instance that is in several lists is published once.
func (c *Client) pollSelected(ctx context.Context) error {
	var paths []string
	for _, app := range c.cfg.Apps {
		paths = append(paths, "/apps/"+url.PathEscape(app))
	}
	for _, vip := range c.cfg.VIPs {
		paths = append(paths, "/vips/"+url.PathEscape(vip))
	}
	var instances []Instance
	seen := make(map[string]bool)
	for _, path := range paths {
		list, err := c.fetch(ctx, path)
		if errors.Is(err, statusError(http.StatusNotFound)) {
			continue // the app or VIP address has no instances
		}
		if err != nil {
			return err
		}
		for i := range list.Instances {
			if id := list.Instances[i].ID; !seen[id] {
				seen[id] = true
				instances = append(instances, list.Instances[i])
			}
		}
	}
	c.publishList(instances)
	return nil
}

// fetch requests a path from the replica and parses the response. The transport requests gzip and
// decompresses the response; MaxResponseMB bounds the decompressed size.
func (c *Client) fetch(ctx context.Context, path string) (*Applications, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.replicaURL()+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	if c.cfg.XML {
		request.Header.Set("Accept", "application/xml")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode)
	}
	limit := int64(c.cfg.MaxResponseMB)<<20 + 1
	body := &io.LimitedReader{R: response.Body, N: limit}
	list, err := Parse(body, c.cfg.KeepMetadata)
	c.bytesFetched += limit - body.N
	if body.N <= 0 {
		return nil, fmt.Errorf("%s: response must be at most %d MB", path, c.cfg.MaxResponseMB)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}
