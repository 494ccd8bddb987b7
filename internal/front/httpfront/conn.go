package httpfront

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// clientConn is a client's connection. Closing it between requests and taking a
// request from it exclude each other: net/http calls a connection idle until it
// has read a request's header, and a client whose connection was closed meanwhile
// sends the request once more. If the first one were taken all the same, an
// unsafe request could run twice.
//
// While a request is answered net/http reads one byte ahead, to learn that the
// client leaves; a client that has sent more than its request would hide that. So
// the connection reads on behind that byte, and keeps what comes for later.
type clientConn struct {
	*net.TCPConn
	accepted time.Time
	closed   func(*clientConn)         // hears of its end, once
	arrived  func(time.Time) time.Time // see Config.Arrived; may be nil
	came     atomic.Int64              // after accepted, in ns: when something was read from it last
	heard    atomic.Bool               // something was read from it
	gone     atomic.Bool               // its client has closed it
	active   atomic.Bool               // net/http answers a request of it
	flooded  atomic.Bool               // more than aheadMost came behind a request
	framing  http1.Framing
	in       *sockets.LockedReader // the reader's
	starts   bool                  // a request has begun with what was read last; the reader's
	ahead    []byte                // read behind a request while that was answered; the reader's
	evicted  bool                  // it is closed to make room; the listener's lock guards it
	since    time.Time             // of its last change of state; the listener's lock guards it

	// mu makes one moment of reading bytes and noting them, and of looking whether a
	// request has begun and shutting the connection: what was read before the shutdown
	// is answered, what is read after it is nobody's.
	mu     sync.Mutex
	state  connState
	begun  time.Time // when the first byte of the request came that is being read; zero: none has
	why    closeReason
	ending bool // nothing that is read from now on counts
}

// closeReason says why a connection was closed.
type closeReason int

const (
	closedByServer   closeReason = iota // net/http did: after an answer, an error or a time, or as the client left
	closedIdle                          // too many were idle, or one had to make way
	closedDrain                         // it was idle as service ended
	closedSilent                        // nothing had come on it as service ended
	closedUnfinished                    // a new one, silent or with half a request, had to make way
	closedCut                           // an answer without a length could not be written whole
	closeReasons
)

// connState says what becomes of what is read from a connection.
type connState int

const (
	connIdle connState = iota // between requests, or before the first
	connBusy                  // a request of it has been taken
	connClosed
)

const (
	// aheadMost is how many bytes are kept behind a request that is answered:
	// another one, of the largest size. Clients send one at a time; what asks for
	// more is answered the first and closed.
	aheadMost = http1.MaxRequestBodyBytes + maxHeader
	// endIn is how long an ended connection is read on from, and pressedIn where
	// others wait for its place.
	endIn     = 250 * time.Millisecond
	pressedIn = 20 * time.Millisecond
	// endMost is how many bytes are read on the way.
	endMost = 4 * aheadMost
)

// Read reads what was kept first. Once the connection has been ended, what comes
// is nobody's.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && c.active.Load() {
		return c.watch(b)
	}
	if n := copy(b, c.ahead); n > 0 {
		c.ahead = c.ahead[n:]
		return n, nil
	}
	c.ahead = nil
	return c.read(b)
}

// read reads from the socket. The first byte of a request starts its one budget,
// whatever deadline was set before.
func (c *clientConn) read(b []byte) (int, error) {
	if c.in == nil {
		c.in = sockets.NewLockedReader(c.TCPConn, &c.mu, c.note)
	}
	n, err := c.in.Read(b)
	if c.starts {
		c.starts = false
		c.SetReadDeadline(time.Time{})
	}
	if n > 0 {
		c.framing.Observe(b[:n])
		came := time.Now()
		if c.arrived != nil {
			came = c.arrived(came)
		}
		c.came.Store(int64(came.Sub(c.accepted)))
		c.heard.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.gone.Store(true)
	}
	return n, err
}

// note notes that bytes were read; c.mu is held. Those of an ended connection are dropped.
func (c *clientConn) note(n int) bool {
	if n > 0 && !c.ending && c.state == connIdle && c.begun.IsZero() {
		c.begun, c.starts = time.Now(), true
	}
	return !c.ending
}

// watch is the read ahead of net/http: it ends with a byte once net/http calls it
// back by a deadline, or with the error that says that the client has left.
func (c *clientConn) watch(b []byte) (int, error) {
	if len(c.ahead) == 0 { // mostly nothing comes
		n, err := c.read(b)
		if n == 0 {
			return n, err
		}
		c.ahead = append(c.ahead, b[0])
	}
	for len(c.ahead) < aheadMost {
		var more [1 << 10]byte
		n, err := c.read(more[:min(len(more), aheadMost-len(c.ahead))])
		c.ahead = append(c.ahead, more[:n]...)
		switch {
		case err == nil:
		case c.gone.Load():
			return 0, err
		default:
			return c.first(b), nil
		}
	}
	c.flooded.Store(true)
	return c.first(b), nil
}

// first takes the first byte of what was kept.
func (c *clientConn) first(b []byte) int {
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	return n
}

// left looks whether the client has gone. It is asked next to the write of an
// attempt, where the watch may not have been heard yet.
func (c *clientConn) left() bool { return c.gone.Load() || sockets.PeerClosed(c.TCPConn) }

// arrival is when the request had come whose header was just read: one that was
// behind another has waited, and its client counts that.
func (c *clientConn) arrival(now time.Time) time.Time {
	if came := c.accepted.Add(time.Duration(c.came.Load())); came.Before(now) && c.heard.Load() {
		return came
	}
	return now
}

// take is called once a request of the connection is whole, before it is acted on; if
// it returns false the request must be left alone.
func (c *clientConn) take() bool {
	c.mu.Lock()
	taken := c.state == connIdle
	if taken {
		c.state = connBusy
	}
	c.mu.Unlock()
	c.whole()
	return taken
}

// whole notes that the request that was being read has been read to its end: its
// budget binds no more.
func (c *clientConn) whole() {
	c.mu.Lock()
	c.begun = time.Time{}
	c.mu.Unlock()
	c.SetReadDeadline(time.Time{})
}

// answered notes that the connection is between requests again. Where bytes of the
// next one were read already, its budget begins now.
func (c *clientConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBusy {
		c.state = connIdle
	}
	if c.begun.IsZero() && c.framing.Pending() {
		c.begun = time.Now()
	}
}

// closeIdle ends the connection unless a request of it has begun or been taken.
func (c *clientConn) closeIdle(within time.Duration, why closeReason) bool {
	c.mu.Lock()
	idle := c.state == connIdle && c.begun.IsZero() && !c.ending
	if idle {
		c.shutLocked(within, why)
	}
	c.mu.Unlock()
	return idle
}

// closeUntaken ends the connection unless a request of it has been taken, also one
// that has begun and is not whole.
func (c *clientConn) closeUntaken(within time.Duration) bool {
	c.mu.Lock()
	untaken := c.state == connIdle && !c.ending
	if untaken {
		c.shutLocked(within, closedUnfinished)
	}
	c.mu.Unlock()
	return untaken
}

// Close ends the connection; net/http calls it last.
func (c *clientConn) Close() error {
	c.closeWith(endIn, closedByServer)
	return nil
}

func (c *clientConn) closeWith(within time.Duration, why closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.shutLocked(within, why)
	}
}

// shutLocked closes the connection, once, without taking from the client what was
// written to it; it does not wait for that. From now on net/http reads nothing
// more from it, so that no request is taken that comes after its shutdown.
func (c *clientConn) shutLocked(within time.Duration, why closeReason) {
	c.why = why
	c.state, c.ending = connClosed, true
	if c.gone.Load() { // nobody is there to lose anything
		within = 0
	}
	if within > 0 && c.TCPConn.CloseWrite() != nil {
		within = 0
	}
	go func() { // whoever calls may hold the listener's lock
		if within > 0 {
			sockets.Linger(c.TCPConn, within, endMost)
		}
		c.TCPConn.Close()
		c.closed(c)
	}()
}

// SetReadDeadline leaves the deadline alone of a connection that is ending, and keeps
// a request that has begun to its budget. A time that is past interrupts a read.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	if !c.begun.IsZero() && (t.IsZero() || t.After(c.accepted)) {
		t = c.begun.Add(requestIn)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// reset closes the connection in a way that its client can tell from an end.
func (c *clientConn) reset() {
	c.SetLinger(0)
	c.closeWith(0, closedCut)
}

// cutShort bounds how long the rest of a request is read that is not taken.
func (c *clientConn) cutShort(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.TCPConn.SetReadDeadline(time.Now().Add(within))
	}
}

// isEnding says whether the connection has been closed here.
func (c *clientConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// isIdle says whether no request of the connection has been taken.
func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connIdle
}

// silent says whether the client has sent nothing so far, though it had the time to.
func (c *clientConn) silent(now time.Time) bool {
	return now.Sub(c.since) >= speakIn && !c.heard.Load() && sockets.IsIdle(c.TCPConn)
}

type connKey struct{}

// withConn lets a handler find the connection of its request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
