package sockets

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mothridge/internal/logsink"
)

const (
	// initialAcceptBackoff and maxAcceptBackoff are the first and the longest pause after a
	// failed accept; the pause doubles with each consecutive failure. A failure of a single
	// connection does not affect the next accept, but a shortage on the machine (descriptors,
	// memory) may last.
	initialAcceptBackoff = time.Millisecond
	maxAcceptBackoff     = 100 * time.Millisecond
	// failureLogInterval is the minimum time between two log lines about failed accepts.
	failureLogInterval = 10 * time.Second
	// emptyBacklogAfter is how long Accept must wait without a new connection before the
	// listener's backlog counts as empty.
	emptyBacklogAfter = 10 * time.Millisecond
)

// RetryingListener is a listener whose Accept fails only after the listener was closed.
// Every other error of accept(2) is counted and logged, and the accept is retried. Such an error
// concerns either one connection (ECONNABORTED, EPROTO, ENETUNREACH, ETIMEDOUT; see accept(2),
// "Error handling") or a shortage on this machine (EMFILE, ENFILE, ENOBUFS, ENOMEM). Neither is a
// reason to stop the server.
//
// Accept must not be called concurrently; the other methods may be called concurrently.
type RetryingListener struct {
	net.Listener
	failures   atomic.Uint64
	failureLog logsink.Limiter

	closeOnce sync.Once
	closed    chan struct{}

	mu           sync.Mutex
	accepted     uint64        // connections that Accept has returned
	waitingSince time.Time     // when Accept began to wait; zero if Accept is not waiting
	backoff      time.Duration // pause after the last failure; 0 if the last accept succeeded
}

// NewRetryingListener wraps a listener. If the listener already is a RetryingListener, it is
// returned unchanged.
func NewRetryingListener(listener net.Listener) *RetryingListener {
	if retrying, ok := listener.(*RetryingListener); ok {
		return retrying
	}
	return &RetryingListener{
		Listener:   listener,
		failureLog: logsink.Limiter{Interval: failureLogInterval},
		closed:     make(chan struct{}),
	}
}

// Failures returns the number of failed accepts.
func (listener *RetryingListener) Failures() uint64 { return listener.failures.Load() }

// Accept blocks until the next connection. The only error is net.ErrClosed, after the listener
// was closed.
func (listener *RetryingListener) Accept() (net.Conn, error) {
	defer listener.setWaitingSince(time.Time{})
	for {
		listener.setWaitingSince(time.Now())
		conn, err := listener.Listener.Accept()
		if err == nil {
			listener.recordAccepted()
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

func (listener *RetryingListener) recordAccepted() {
	listener.mu.Lock()
	listener.accepted++
	listener.backoff = 0
	listener.mu.Unlock()
}

// sleep blocks for the given duration and returns true. If the listener is closed before that,
// sleep returns false at once.
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

// DrainBacklog blocks until all connections that arrived before the call have been accepted: until Accept has returned as many as
// waited then. If the system does not tell how many wait, Accept must have waited for emptyBacklogAfter without a new one; if the process
// was held up meanwhile, that says nothing of connections that arrived then. Call DrainBacklog before Close, because closing a listener
// resets the connections that were not accepted. DrainBacklog returns early when ctx is done.
func (listener *RetryingListener) DrainBacklog(ctx context.Context) {
	backlog, _, _ := listener.Backlog()
	target := listener.acceptedCount() + uint64(backlog)
	ticker := time.NewTicker(emptyBacklogAfter)
	defer ticker.Stop()
	for !listener.isBacklogEmpty() && (backlog == 0 || listener.acceptedCount() < target) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (listener *RetryingListener) acceptedCount() uint64 {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.accepted
}

// isBacklogEmpty reports whether no connection waits to be accepted.
func (listener *RetryingListener) isBacklogEmpty() bool {
	if waiting, _, known := listener.Backlog(); known {
		return waiting == 0
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return !listener.waitingSince.IsZero() && time.Since(listener.waitingSince) >= emptyBacklogAfter
}

// Backlog returns how many connections wait to be accepted, and how many may; known is false if the system does not tell.
func (listener *RetryingListener) Backlog() (waiting, limit int, known bool) {
	listener.control(func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == listenState {
			waiting, limit, known = int(info.Unacked), int(info.Sacked), true
		}
	})
	return waiting, limit, known
}

// listenState is the state of a listening socket in TCP_INFO: TCP_LISTEN of the kernel, whose tcpi_unacked is then the length of
// the backlog, and tcpi_sacked its limit.
const listenState = 10

// control calls use with the listener's descriptor, if it has one.
func (listener *RetryingListener) control(use func(descriptor int)) {
	syscallConn, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) }) // fails only if the listener is closed
}

// onFailure counts and logs a failed accept and returns how long to wait before the next one.
func (listener *RetryingListener) onFailure(err error, now time.Time) time.Duration {
	count := listener.failures.Add(1)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.backoff = min(max(2*listener.backoff, initialAcceptBackoff), maxAcceptBackoff)
	if listener.failureLog.Allow(now) {
		slog.Warn("accept failed; retrying after a delay", "listener", listener.Addr().String(), "err", err, "failures", count)
	}
	return listener.backoff
}

// LimitBacklog sets how many connections may wait to be accepted, at most as many as the system allows. Those that wait
// already are kept. The limit stays as it is if the system refuses it.
func (listener *RetryingListener) LimitBacklog(connections int) {
	listener.control(func(descriptor int) { _ = syscall.Listen(descriptor, connections) })
}

func (listener *RetryingListener) isClosed() bool {
	select {
	case <-listener.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener. An Accept that is blocked returns at once.
func (listener *RetryingListener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}
