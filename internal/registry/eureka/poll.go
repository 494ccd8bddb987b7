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

// errHashMismatch is the error for a complete list that does not add up to its own hash.
var errHashMismatch = errors.New("hash mismatch")

// statusError is a response with a status that is an error.
type statusError int

// Error names the status.
func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// poll fetches a delta, or the complete list where there is none to apply it to or the result
// does not add up to the replica's hash, and publishes it.
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
		return fmt.Errorf("%w: the list adds up to %.80q, not to %.80q", errHashMismatch, hash, list.Hash)
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

// applyDelta applies a delta and publishes its changes. It returns false where the result does
// not add up to the replica's hash; nothing is published then, and a complete list is needed.
func (c *Client) applyDelta(delta *Applications) bool {
	changes := c.list.applyDelta(delta.Instances)
	if delta.Hash != "" && delta.Hash != c.list.hash() {
		slog.Info("eureka: hash mismatch after a delta, fetching the complete list", "replica", c.replicaURL())
		c.list = nil
		return false
	}
	c.publish(Update{Replica: c.replicaURL(), Instances: changes})
	return true
}

// pollSelected fetches the lists of the apps and VIP addresses to follow and publishes them as
// one.
func (c *Client) pollSelected(ctx context.Context) error {
	var paths []string
	for _, app := range c.cfg.Apps {
		paths = append(paths, "/apps/"+url.PathEscape(app))
	}
	for _, vip := range c.cfg.VIPs {
		paths = append(paths, "/vips/"+url.PathEscape(vip))
	}
	var instances []Instance
	present := make(map[string]bool)
	for _, path := range paths {
		list, err := c.fetch(ctx, path)
		if errors.Is(err, statusError(http.StatusNotFound)) {
			continue // it has no instance
		}
		if err != nil {
			return err
		}
		for i := range list.Instances {
			if id := list.Instances[i].ID; !present[id] {
				present[id] = true
				instances = append(instances, list.Instances[i])
			}
		}
	}
	c.publishList(instances)
	return nil
}

// fetch requests a path from the replica. The transport requests gzip and decompresses it; the
// bound is on the result.
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
		return nil, fmt.Errorf("%s: an answer of more than %d MB", path, c.cfg.MaxResponseMB)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}
