package eureka

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// News is what a replica has to tell: all that is watched, or changes in their order.
type News struct {
	Replica   string
	Whole     bool
	Instances []Instance // of a change, each with its Action
}

// Config is what a Client keeps to. Zeros take the defaults.
type Config struct {
	Replicas []string // base URLs in order of preference, such as http://127.0.0.1:8761/eureka/v2
	Apps     []string // the apps to watch; with VIPs both empty: all, by deltas
	VIPs     []string
	XML      bool                  // ask for XML
	Interval time.Duration         // between fetches
	Timeout  time.Duration         // of one fetch
	MostMB   int                   // of one answer, unpacked
	Keep     func(key string) bool // which metadata are kept; nil: all
	Seed     uint64
}

// The defaults of Config.
const (
	DefaultInterval = 5 * time.Second
	DefaultTimeout  = 4 * time.Second
	DefaultMostMB   = 16
)

const (
	// After a round of all replicas in vain the next one waits, twice as long
	// each time up to two intervals: more than that spares a registry nothing that
	// it does not bear on a good day. Spread, so that sidecars do not come back as one.
	firstPause = 500 * time.Millisecond
	lastPause  = 30 * time.Second
)

// Client follows one registry.
type Client struct {
	cfg     Config
	http    *http.Client
	rng     *rand.Rand
	deliver func(News)

	replica int
	held    map[string]held       // what the replica is known to hold; nil: a whole list is needed
	count   map[string]int        // instances by status, for the hash
	seen    map[deltaKey]struct{} // entries of the last delta: a replica repeats them for minutes

	fetched int64 // bytes read, unpacked
	whole   int   // whole lists read
}

// held is what orders the news of one instance.
type held struct {
	status         string
	dirty, updated int64
}

type deltaKey struct {
	id, action, status, override string
	dirty, updated               int64
}

// NewClient makes a Client; deliver takes its news, in order. Follow starts it.
func NewClient(c Config, deliver func(News)) (*Client, error) {
	if len(c.Replicas) == 0 {
		return nil, errors.New("eureka: no replica")
	}
	for i, r := range c.Replicas {
		u, err := url.Parse(r)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fmt.Errorf("eureka: replica %q: a URL is meant, such as http://127.0.0.1:8761/eureka/v2", r)
		}
		c.Replicas[i] = strings.TrimRight(r, "/")
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MostMB == 0 {
		c.MostMB = DefaultMostMB
	}
	return &Client{
		cfg: c, deliver: deliver, rng: rand.New(rand.NewPCG(c.Seed, 2)),
		http: &http.Client{
			Timeout: c.Timeout,
			Transport: &http.Transport{
				DialContext:     (&net.Dialer{Timeout: c.Timeout, KeepAlive: -1}).DialContext,
				MaxConnsPerHost: 1,
				IdleConnTimeout: 2 * c.Interval,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Follow fetches until ctx ends. What a replica could not tell is told by the
// next; while none can, nothing is delivered.
func (c *Client) Follow(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	pause, failures := firstPause, 0
	for ctx.Err() == nil {
		err := c.poll(ctx)
		wait := c.spread(c.cfg.Interval)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failures > 0 {
				slog.Info("eureka: back", "replica", c.cfg.Replicas[c.replica])
			}
			pause, failures = firstPause, 0
		default:
			if failures == 0 {
				slog.Warn("eureka: fetch failed", "replica", c.cfg.Replicas[c.replica], "err", err)
			}
			failures++
			c.replica = (c.replica + 1) % len(c.cfg.Replicas)
			c.held = nil // what another replica holds is to be read whole
			if wait = 0; failures%len(c.cfg.Replicas) == 0 {
				wait = c.spread(pause)
				pause = min(2*pause, max(firstPause, 2*c.cfg.Interval), lastPause)
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// spread draws a time within a quarter of d.
func (c *Client) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.Float64()/2))
}

// poll fetches once: a delta where one will do, and the whole where it does not add up.
func (c *Client) poll(ctx context.Context) error {
	if len(c.cfg.Apps)+len(c.cfg.VIPs) > 0 {
		return c.pollSome(ctx)
	}
	if c.held != nil {
		a, err := c.fetch(ctx, "/apps/delta")
		if err != nil {
			return err
		}
		if c.apply(a) {
			return nil
		}
	}
	a, err := c.fetch(ctx, "/apps")
	if err != nil {
		return err
	}
	if got := HashCode(statuses(a.Instances)); a.Hash != "" && a.Hash != got {
		return fmt.Errorf("the whole list is not whole: it adds up to %.80q, not to %.80q", got, a.Hash)
	}
	c.take(a)
	return nil
}

// take takes a whole list over.
func (c *Client) take(a *Applications) {
	c.whole++
	c.held, c.seen = make(map[string]held, len(a.Instances)), nil
	for i := range a.Instances {
		x := &a.Instances[i]
		c.held[x.ID] = held{x.Status, x.Dirty, x.Updated}
	}
	c.count = statuses(a.Instances)
	c.deliver(News{Replica: c.cfg.Replicas[c.replica], Whole: true, Instances: a.Instances})
}

func statuses(all []Instance) map[string]int {
	count := make(map[string]int, 5)
	for i := range all {
		count[all[i].Status]++
	}
	return count
}

// apply takes a delta over, at the cost of its entries. It returns false where
// the result does not add up to the replica's hash: then nothing is delivered.
func (c *Client) apply(a *Applications) bool {
	seen := make(map[deltaKey]struct{}, len(a.Instances))
	var fresh []Instance
	for i := range a.Instances {
		x := &a.Instances[i]
		key := deltaKey{x.ID, x.Action, x.Status, x.Override, x.Dirty, x.Updated}
		seen[key] = struct{}{}
		if _, had := c.seen[key]; had {
			continue
		}
		h, known := c.held[x.ID]
		if known && (x.Dirty < h.dirty || x.Dirty == h.dirty && x.Updated < h.updated) {
			continue // from before what is held
		}
		if known && x.Action != "DELETED" && h == (held{x.Status, x.Dirty, x.Updated}) {
			continue // the whole list had it
		}
		switch {
		case x.Action == "DELETED" && !known:
			continue
		case x.Action == "DELETED":
			delete(c.held, x.ID)
			c.count[h.status]--
		default: // a MODIFIED for an instance never seen is as good as an ADDED
			if known {
				c.count[h.status]--
			}
			c.held[x.ID] = held{x.Status, x.Dirty, x.Updated}
			c.count[x.Status]++
		}
		fresh = append(fresh, *x)
	}
	c.seen = seen
	if a.Hash != "" && HashCode(c.count) != a.Hash {
		slog.Info("eureka: a delta does not add up, the whole list is fetched", "replica", c.cfg.Replicas[c.replica])
		c.held = nil
		return false
	}
	c.deliver(News{Replica: c.cfg.Replicas[c.replica], Instances: fresh})
	return true
}

// pollSome fetches the apps and VIPs that are watched; they have no deltas.
func (c *Client) pollSome(ctx context.Context) error {
	var all []Instance
	had := make(map[string]bool)
	for _, list := range []struct {
		path  string
		names []string
	}{{"/apps/", c.cfg.Apps}, {"/vips/", c.cfg.VIPs}} {
		for _, name := range list.names {
			a, err := c.fetch(ctx, list.path+url.PathEscape(name))
			var status statusError
			if errors.As(err, &status) && status == http.StatusNotFound {
				continue // no instance of it is registered
			}
			if err != nil {
				return err
			}
			for _, x := range a.Instances {
				if !had[x.ID] {
					had[x.ID] = true
					all = append(all, x)
				}
			}
		}
	}
	c.whole++
	c.deliver(News{Replica: c.cfg.Replicas[c.replica], Whole: true, Instances: all})
	return nil
}

// statusError is an answer other than 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// fetch asks the replica. The transport asks for gzip and unpacks it; the bound
// is on what comes out.
func (c *Client) fetch(ctx context.Context, path string) (*Applications, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.Replicas[c.replica]+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "application/json")
	if c.cfg.XML {
		req.Header.Set("Accept", "application/xml")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp.StatusCode)
	}
	most := int64(c.cfg.MostMB) << 20
	body := &io.LimitedReader{R: resp.Body, N: most + 1}
	a, err := Parse(body, c.cfg.Keep)
	c.fetched += most + 1 - body.N
	if body.N <= 0 {
		return nil, fmt.Errorf("%s: an answer of more than %d MB", path, c.cfg.MostMB)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return a, nil
}
