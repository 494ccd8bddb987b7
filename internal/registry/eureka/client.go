package eureka

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// After a round of all replicas without a response the next one starts after a delay. It starts
// at the minimum and doubles up to two intervals, and never exceeds the maximum.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Update is an update of a registry: a complete list or changes in their order.
type Update struct {
	Replica   string // its base URL
	Complete  bool
	Instances []Instance // of changes, each with its Action
}

// Client follows one registry.
//
// Its owner starts Run in a goroutine and ends it by Run's context. That goroutine alone uses the
// Client; it starts no other.
type Client struct {
	cfg     Config
	http    *http.Client
	rng     *rand.Rand
	publish func(Update)

	replicaIndex int        // index of the one in use
	list         *listState // what the replica is known to have; nil: a complete list is needed

	bytesFetched int64 // decompressed; for tests
}

// NewClient returns a Client. Run calls publish with each update, in order. The error says what
// is wrong with the configuration.
func NewClient(config Config, publish func(Update)) (*Client, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{
		cfg:     config,
		publish: publish,
		rng:     rand.New(rand.NewPCG(config.Seed, 2)),
		http: &http.Client{
			Timeout:       config.Timeout,
			Transport:     newTransport(config.Timeout, 2*config.Interval),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// newTransport returns a transport with one connection to a replica at a time.
func newTransport(dialTimeout, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleTimeout,
	}
}

// retryState is the state between polls that fail in a row.
type retryState struct {
	failures int
	delay    time.Duration // after the next round of all replicas
}

func newRetryState() retryState { return retryState{delay: minRetryDelay} }

// Run polls until ctx ends. After a failure it goes on with the next replica; while all fail
// there is no update.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	retry := newRetryState()
	for ctx.Err() == nil {
		err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := c.jitter(c.cfg.Interval)
		if err != nil {
			wait = c.failover(err, &retry)
		} else {
			if retry.failures > 0 {
				slog.Info("eureka: registry responds again", "replica", c.replicaURL())
			}
			retry = newRetryState()
		}
		sleep(ctx, wait)
	}
}

// failover continues with the next replica after a failed poll, and returns the time until the
// next one: none within a round of all replicas.
func (c *Client) failover(err error, retry *retryState) time.Duration {
	if retry.failures == 0 {
		slog.Warn("eureka: fetch failed", "replica", c.replicaURL(), "err", err)
	}
	retry.failures++
	c.replicaIndex = (c.replicaIndex + 1) % len(c.cfg.Replicas)
	c.list = nil
	if retry.failures%len(c.cfg.Replicas) != 0 {
		return 0
	}
	wait := c.jitter(retry.delay)
	retry.delay = min(2*retry.delay, max(minRetryDelay, 2*c.cfg.Interval), maxRetryDelay)
	return wait
}

func (c *Client) replicaURL() string { return c.cfg.Replicas[c.replicaIndex] }

// jitter draws a time within a quarter of d, so that sidecars do not poll at the same time.
func (c *Client) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.Float64()/2))
}

// sleep returns after d or at the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
