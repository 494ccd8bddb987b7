package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// clientConn is a client's connection. Closing it between requests and taking a
// request from it exclude each other: net/http calls a connection idle until it
// has read a request's header, and a client whose connection was closed meanwhile
// sends the request once more. If the first one were taken all the same, an
// unsafe request could run twice.
type clientConn struct {
	*net.TCPConn
	state atomic.Int32
}

const (
	connIdle int32 = iota // between requests, or before the first
	connBusy              // a request of it has been taken
	connClosed
)

// take is called before a request of the connection is acted on; if it returns
// false the request must be left alone.
func (c *clientConn) take() bool { return c.state.CompareAndSwap(connIdle, connBusy) }

func (c *clientConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		c.Close()
	}
}

type connKey struct{}

// withConn lets a handler find the connection of its request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// limitedListener bounds the open client connections. At the bound it closes
// the one that has been idle longest, which a client can tell from a failure,
// and where none is idle it leaves new ones waiting to be accepted.
type limitedListener struct {
	net.Listener
	most int

	mu       sync.Mutex
	freed    *sync.Cond
	open     int
	idle     []*clientConn // the longest idle first
	draining bool
}

func limitListener(l net.Listener, most int) *limitedListener {
	ll := &limitedListener{Listener: l, most: most}
	ll.freed = sync.NewCond(&ll.mu)
	return ll
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.most {
		if len(l.idle) > 0 {
			c := l.idle[0]
			l.idle = l.idle[1:]
			c.closeIdle()
		}
		l.freed.Wait()
	}
	l.open++
	l.mu.Unlock()
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		l.release()
		return nil, fmt.Errorf("a connection of kind %T, TCP is needed", c)
	}
	return &clientConn{TCPConn: tcp}, nil
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
	if i := slices.Index(l.idle, c); i >= 0 {
		l.idle = slices.Delete(l.idle, i, i+1)
	}
	if state == http.StateIdle {
		c.state.CompareAndSwap(connBusy, connIdle)
		if l.idle = append(l.idle, c); l.draining {
			c.closeIdle()
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
