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
	// firstPause and lastPause bound how long a failed accept is waited out: it doubles
	// with each failure in a row. What accept(2) says of one connection is over at once;
	// what it says of the machine (descriptors, memory) may last.
	firstPause = time.Millisecond
	lastPause  = 100 * time.Millisecond
	// tellEvery bounds how often failures are logged.
	tellEvery = 10 * time.Second
	// drainedIn is how long Accept waits in vain before nothing can be left to accept.
	drainedIn = 10 * time.Millisecond
)

// PatientListener is a listener whose Accept fails only once it was closed. Every other
// error of accept(2) is counted, logged and waited out: it speaks of a connection that
// came to nothing (ECONNABORTED, EPROTO, ENETUNREACH, ETIMEDOUT, see accept(2) under
// "Error handling") or of a machine that is out of something (EMFILE, ENFILE, ENOBUFS,
// ENOMEM), and none of them is a reason to end what serves.
type PatientListener struct {
	net.Listener
	failures atomic.Uint64

	once   sync.Once
	closed chan struct{}

	mu     sync.Mutex
	since  time.Time     // Accept waits for a connection since then; zero: it does not
	pause  time.Duration // of the failures in a row; 0: the last accept went well
	toldAt time.Time
}

// Patient wraps a listener.
func Patient(ln net.Listener) *PatientListener {
	if p, ok := ln.(*PatientListener); ok {
		return p
	}
	return &PatientListener{Listener: ln, closed: make(chan struct{})}
}

// Failures returns how many accepts have failed.
func (l *PatientListener) Failures() uint64 { return l.failures.Load() }

// Accept waits for the next connection. Its error is net.ErrClosed, and comes only once
// the listener has been closed.
func (l *PatientListener) Accept() (net.Conn, error) {
	defer l.waits(time.Time{})
	for {
		l.waits(time.Now())
		c, err := l.Listener.Accept()
		if err == nil {
			l.mu.Lock()
			l.pause = 0
			l.mu.Unlock()
			return c, nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		timer := time.NewTimer(l.failed(err, time.Now()))
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

func (l *PatientListener) waits(since time.Time) {
	l.mu.Lock()
	l.since = since
	l.mu.Unlock()
}

// Drained waits until Accept has waited in vain for a short time: then all connections
// that came before the call have been accepted. Closing a listener resets those that
// have not. It ends early with ctx.
func (l *PatientListener) Drained(ctx context.Context) {
	look := time.NewTicker(drainedIn)
	defer look.Stop()
	for !l.hasWaited() {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *PatientListener) hasWaited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero() && time.Since(l.since) >= drainedIn
}

// failed notes a failure and returns how long to wait.
func (l *PatientListener) failed(err error, now time.Time) time.Duration {
	count := l.failures.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pause = min(max(2*l.pause, firstPause), lastPause)
	if l.toldAt.IsZero() || now.Sub(l.toldAt) >= tellEvery {
		l.toldAt = now
		slog.Warn("accept failed, waiting", "listener", l.Addr().String(), "err", err, "failures", count)
	}
	return l.pause
}

func (l *PatientListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener; a wait of Accept ends at once.
func (l *PatientListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
