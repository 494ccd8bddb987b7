package httpfront

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/sockets"
)

// clientConn is a client's connection. Closing it between requests and taking a
// request from it exclude each other: net/http calls a connection idle until it
// has read a request's header, and a client whose connection was closed meanwhile
// sends the request once more. If the first one were taken all the same, an
// unsafe request could run twice.
type clientConn struct {
	*net.TCPConn
	accepted time.Time
	heard    atomic.Bool // something was read from it
	state    atomic.Int32
	requests int       // whose headers were read; net/http serves one at a time
	since    time.Time // of its last change of state; the listener's lock guards it
}

const (
	connIdle int32 = iota // between requests, or before the first
	connBusy              // a request of it has been taken
	connClosed
)

// Read notes that the client has said something.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// bodyBy is until when the body must have come of the request whose header was
// just read. The first one's budget counts from connecting: a client that stops
// in the middle of a request does not hold its connection for longer.
func (c *clientConn) bodyBy(now time.Time) time.Time {
	if c.requests == 1 {
		return c.accepted.Add(requestIn)
	}
	return now.Add(requestIn)
}

// take is called before a request of the connection is acted on; if it returns
// false the request must be left alone.
func (c *clientConn) take() bool { return c.state.CompareAndSwap(connIdle, connBusy) }

// closeIdle closes the connection unless a request of it has been taken.
func (c *clientConn) closeIdle() bool {
	idle := c.state.CompareAndSwap(connIdle, connClosed)
	if idle {
		c.Close()
	}
	return idle
}

// silent says whether the client has sent nothing so far, though it had the time to.
func (c *clientConn) silent(now time.Time) bool {
	return now.Sub(c.since) >= speakIn && !c.heard.Load() && sockets.Quiet(c.TCPConn)
}

type connKey struct{}

// withConn lets a handler find the connection of its request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// limitedListener bounds the open client connections. At the bound it closes
// the oldest of those that never said a thing or that have not finished what
// they began, or else the one that has been idle longest, which a client can
// tell from a failure; where there is none it leaves new ones waiting to be
// accepted. Hundreds that connect and say nothing, or half a request, must not
// take the places of clients that ask.
type limitedListener struct {
	net.Listener
	most     int
	accepted atomic.Uint64

	mu       sync.Mutex
	freed    *sync.Cond
	open     int
	begun    []*clientConn // new, or with a request that is read or answered; the oldest first
	idle     []*clientConn // between requests, the longest idle first
	draining bool
}

const (
	// speakIn is how long a new connection is not held to be silent: its first
	// bytes may be on their way.
	speakIn = 50 * time.Millisecond
	// finishIn is how long a request may take to come whole where others wait.
	finishIn = 200 * time.Millisecond
	// idlePart is how many tenths may be idle. Clients count those too as theirs,
	// and where each asks once and stays they could soon open no more.
	idlePart = 3
)

func limitListener(l net.Listener, most int) *limitedListener {
	ll := &limitedListener{Listener: l, most: most}
	ll.freed = sync.NewCond(&ll.mu)
	return ll
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.acquire()
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	l.accepted.Add(1)
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		l.release()
		return nil, fmt.Errorf("a connection of kind %T, TCP is needed", c)
	}
	return &clientConn{TCPConn: tcp, accepted: time.Now()}, nil
}

// acquire waits until one more connection may be open.
func (l *limitedListener) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.most {
		c, soon := l.victim(time.Now())
		switch {
		case c != nil && !c.closeIdle():
			continue // a request of it was taken a moment ago: another one, then
		case soon:
			again := time.AfterFunc(speakIn, l.freed.Signal)
			defer again.Stop()
		}
		l.freed.Wait()
	}
	l.open++
}

// victim takes out the connection to give up for a new one. Where there is none,
// soon tells that one may turn out to be it in a moment: until then those whose
// clients asked lately are left alone.
func (l *limitedListener) victim(now time.Time) (c *clientConn, soon bool) {
	for i, c := range l.begun {
		if c.state.Load() != connIdle {
			continue // its request was taken
		}
		if c.silent(now) || now.Sub(c.since) >= finishIn {
			l.begun = slices.Delete(l.begun, i, i+1)
			return c, false
		}
		soon = true
	}
	if len(l.idle) == 0 || soon {
		return nil, soon
	}
	c = l.idle[0]
	l.idle = slices.Delete(l.idle, 0, 1)
	return c, false
}

func (l *limitedListener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.freed.Signal()
}

// drain closes the idle connections, and from now on every other as it becomes idle.
func (l *limitedListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, c := range l.idle {
		c.closeIdle()
	}
}

// isDraining says whether drain was called.
func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// track follows the states of the server's connections.
func (l *limitedListener) track(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	l.mu.Lock()
	for _, list := range []*[]*clientConn{&l.begun, &l.idle} {
		if i := slices.Index(*list, c); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
	c.since = time.Now()
	switch state {
	case http.StateNew, http.StateActive:
		l.begun = append(l.begun, c)
	case http.StateIdle:
		c.state.CompareAndSwap(connBusy, connIdle)
		if l.idle = append(l.idle, c); l.draining {
			c.closeIdle()
		} else if len(l.idle) > l.most*idlePart/10 {
			l.idle[0].closeIdle()
			l.idle = slices.Delete(l.idle, 0, 1)
		}
	}
	l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.freed.Signal() // there is one that may be closed now
	case http.StateClosed, http.StateHijacked:
		l.release()
	}
}
