package sockets

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// initialAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept:
	// it doubles with each consecutive failure. A failure of one connection passes at
	// once; one of the machine (descriptors, memory) may last.
	initialAcceptBackoff = time.Millisecond
	maxAcceptBackoff     = 100 * time.Millisecond
	// failureLogInterval is the least time between two log lines on failed accepts.
	failureLogInterval = 10 * time.Second
	// emptyBacklogAfter is how long Accept has to wait in vain before the listener's
	// backlog counts as empty.
	emptyBacklogAfter = 10 * time.Millisecond
)

// RetryingListener is a listener whose Accept fails only once the listener was closed.
// Every other error of accept(2) is counted, logged and retried: it is about one
// connection that failed (ECONNABORTED, EPROTO, ENETUNREACH, ETIMEDOUT; see accept(2),
// "Error handling") or about a shortage on this machine (EMFILE, ENFILE, ENOBUFS,
// ENOMEM), and neither is a reason to end the server.
//
// One goroutine at a time may call Accept; the other methods may be called concurrently.
type RetryingListener struct {
	net.Listener
	failures atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}

	mu           sync.Mutex
	waitingSince time.Time     // when Accept began to wait; zero: it does not
	backoff      time.Duration // after consecutive failures; 0: the last accept succeeded
	loggedAt     time.Time     // of the last log line on a failure
}

// NewRetryingListener wraps a listener; one that is a RetryingListener is returned as it is.
func NewRetryingListener(listener net.Listener) *RetryingListener {
	if retrying, ok := listener.(*RetryingListener); ok {
		return retrying
	}
	return &RetryingListener{Listener: listener, closed: make(chan struct{})}
}

// Failures returns how many accepts have failed.
func (listener *RetryingListener) Failures() uint64 { return listener.failures.Load() }

// Accept blocks until the next connection. Its error is net.ErrClosed, and comes only
// once the listener has been closed.
func (listener *RetryingListener) Accept() (net.Conn, error) {
	defer listener.setWaitingSince(time.Time{})
	for {
		listener.setWaitingSince(time.Now())
		conn, err := listener.Listener.Accept()
		if err == nil {
			listener.resetBackoff()
			return conn, nil
		}
		if listener.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		if !listener.sleep(listener.onFailure(err, time.Now())) {
			return nil, net.ErrClosed
		}
	}
}

func (listener *RetryingListener) setWaitingSince(since time.Time) {
	listener.mu.Lock()
	listener.waitingSince = since
	listener.mu.Unlock()
}

func (listener *RetryingListener) resetBackoff() {
	listener.mu.Lock()
	listener.backoff = 0
	listener.mu.Unlock()
}

// sleep blocks for a duration; it returns false as soon as the listener is closed.
func (listener *RetryingListener) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	select {
	case <-timer.C:
		return true
	case <-listener.closed:
		timer.Stop()
		return false
	}
}

// DrainBacklog blocks until Accept has waited in vain for a short time: then all
// connections that came before the call have been accepted. Closing a listener resets
// those that have not. It returns early once ctx is done.
func (listener *RetryingListener) DrainBacklog(ctx context.Context) {
	ticker := time.NewTicker(emptyBacklogAfter)
	defer ticker.Stop()
	for !listener.isBacklogEmpty() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (listener *RetryingListener) isBacklogEmpty() bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return !listener.waitingSince.IsZero() && time.Since(listener.waitingSince) >= emptyBacklogAfter
}

// onFailure counts and logs a failed accept and returns how long to back off.
func (listener *RetryingListener) onFailure(err error, now time.Time) time.Duration {
	count := listener.failures.Add(1)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.backoff = min(max(2*listener.backoff, initialAcceptBackoff), maxAcceptBackoff)
	if listener.loggedAt.IsZero() || now.Sub(listener.loggedAt) >= failureLogInterval {
		listener.loggedAt = now
		slog.Warn("accept failed, waiting", "listener", listener.Addr().String(), "err", err, "failures", count)
	}
	return listener.backoff
}

func (listener *RetryingListener) isClosed() bool {
	select {
	case <-listener.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener; a blocked Accept returns at once.
func (listener *RetryingListener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}
