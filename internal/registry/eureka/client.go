package eureka

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Bounds of the delay between rounds of polls. A round in which every replica failed is followed by a
// delay before the next round. The delay starts at minRetryDelay, doubles up to two intervals, and never
// exceeds maxRetryDelay.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Update is an update from a registry: either its complete list of instances, or the changes of a delta
// in their order.
type Update struct {
	Replica   string // base URL of the replica that sent the update
	Complete  bool
	Instances []Instance // if not Complete: the changed instances, each with its Action
}

// Client polls one registry and publishes its updates.
//
// The owner starts Run in a goroutine and stops it by canceling Run's context. Only that goroutine uses
// the Client, and Run starts no other goroutine.
type Client struct {
	cfg     Config
	http    *http.Client
	rng     *rand.Rand
	publish func(Update)

	replicaIndex int        // index in cfg.Replicas of the replica in use
	list         *listState // state of the replica's list after the last poll; nil: the next poll fetches a complete list

	bytesFetched int64 // total after decompression; only tests read it
}

// NewClient returns a Client. Run calls publish with each update, in order. NewClient returns an
// error if the configuration is invalid.
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

// newTransport returns a transport that opens at most one connection to each replica at a time.
func newTransport(dialTimeout, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleTimeout,
	}
}

// retryState is the state kept across consecutive failed polls.
type retryState struct {
	failures int           // consecutive failed polls
	delay    time.Duration // delay after the next round in which every replica fails
}

func newRetryState() retryState { return retryState{delay: minRetryDelay} }

// Run polls until ctx is canceled. After a failed poll, Run continues with the next replica. While all
// replicas fail, Run publishes no update.
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
				slog.Info("eureka: registry is responding again", "replica", c.replicaURL())
			}
			retry = newRetryState()
		}
		sleep(ctx, wait)
	}
}

// failover selects the next replica after a failed poll and returns the delay before the next poll. The
// delay is 0 until every replica has failed in the current round.
func (c *Client) failover(err error, retry *retryState) time.Duration {
	if retry.failures == 0 {
		slog.Warn("eureka: fetch failed; trying the next replica", "replica", c.replicaURL(), "err", err)
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

// jitter returns a random duration between 0.75 d and 1.25 d, so that sidecars do not all poll at the same
// time.
func (c *Client) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.Float64()/2))
}

// sleep returns after d, or earlier if ctx is canceled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
