package httpfront

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/sockets"
)

// limitedListener bounds the open client connections. At the bound it closes
// the oldest of those that never said a thing or that have not finished what
// they began, or else the one that has been idle longest, which a client can
// tell from a failure; where there is none it leaves new ones waiting to be
// accepted. Hundreds that connect and say nothing, or half a request, must not
// take the places of clients that ask.
type limitedListener struct {
	*sockets.RetryingListener
	most     int
	accepted atomic.Uint64
	closes   [closeReasons]atomic.Uint64
	arrived  func(time.Time) time.Time // see Config.Arrived

	mu       sync.Mutex
	freed    *sync.Cond
	open     int           // accepted, and not closed yet
	leaving  int           // of those, how many are being closed to make room
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
	// lookEvery is how often a front that ends looks at what is left.
	lookEvery = 10 * time.Millisecond
	// idlePart is how many tenths may be idle. Clients count those too as theirs,
	// and where each asks once and stays they could soon open no more.
	idlePart = 3
)

func limitListener(l net.Listener, most int) *limitedListener {
	ll := &limitedListener{RetryingListener: sockets.NewRetryingListener(l), most: most}
	ll.freed = sync.NewCond(&ll.mu)
	return ll
}

// Accept returns the next connection once there is room for it; it fails only once the
// listener has been closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.acquire()
	for {
		c, err := l.RetryingListener.Accept()
		if err != nil {
			l.release(nil)
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			l.accepted.Add(1)
			return &clientConn{TCPConn: tcp, accepted: time.Now(), closed: l.release, arrived: l.arrived}, nil
		}
		slog.Error("a connection that is not TCP was closed", "kind", fmt.Sprintf("%T", c))
		c.Close()
	}
}

// acquire waits until one more connection may be open.
func (l *limitedListener) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.most {
		if l.open-l.leaving < l.most { // those that make way are as good as closed
			l.freed.Wait()
			continue
		}
		c, end, soon := l.victim(time.Now())
		switch {
		case c != nil && !end(c):
			continue // a request of it was taken a moment ago: another one, then
		case c != nil:
			c.evicted = true
			l.leaving++
		case soon:
			again := time.AfterFunc(speakIn, l.freed.Signal)
			defer again.Stop()
		}
		l.freed.Wait()
	}
	l.open++
}

// victim takes out the connection to give up for a new one, and says how to end it.
// Where there is none, soon tells that one may turn out to be it in a moment: until
// then those whose clients asked lately are left alone.
func (l *limitedListener) victim(now time.Time) (c *clientConn, end func(*clientConn) bool, soon bool) {
	for i, c := range l.begun {
		if !c.isIdle() {
			continue // its request was taken
		}
		if c.silent(now) || now.Sub(c.since) >= finishIn {
			l.begun = slices.Delete(l.begun, i, i+1)
			return c, dropUntaken, false
		}
		soon = true
	}
	if len(l.idle) == 0 || soon {
		return nil, nil, soon
	}
	c = l.idle[0]
	l.idle = slices.Delete(l.idle, 0, 1)
	return c, pressIdle, false
}

// dropUntaken closes a connection at once: no answer can be on its way to it.
func dropUntaken(c *clientConn) bool { return c.closeUntaken(0) }

// pressIdle closes an idle connection, to which an answer may be on its way.
func pressIdle(c *clientConn) bool { return c.closeIdle(pressedIn, closedIdle) }

// release notes that a connection has been closed; nil: none came of the room.
func (l *limitedListener) release(c *clientConn) {
	l.mu.Lock()
	l.open--
	if c != nil && c.evicted {
		l.leaving--
	}
	l.mu.Unlock()
	if c != nil {
		l.closes[c.why].Add(1)
	}
	l.freed.Signal()
}

// drain closes the idle connections, and from now on every other as it becomes idle.
func (l *limitedListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, c := range l.idle {
		c.closeIdle(endIn, closedDrain)
	}
}

// empty waits until every connection has been closed. It ends those that say
// nothing: after a planned restart was announced clients go on sending on every
// connection that is open, and the last of them could not be answered.
func (l *limitedListener) empty(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		l.mu.Lock()
		open, now := l.open, time.Now()
		for _, c := range l.begun {
			if c.isIdle() && c.silent(now) {
				c.closeIdle(endIn, closedSilent)
			}
		}
		l.mu.Unlock()
		if open <= 0 {
			return
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeLongestIdle closes the connection that has been idle longest, of those on which
// no request has begun.
func (l *limitedListener) closeLongestIdle() {
	for i, c := range l.idle {
		if c.closeIdle(endIn, closedIdle) {
			l.idle = slices.Delete(l.idle, i, i+1)
			return
		}
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
	c.active.Store(state == http.StateActive)
	switch state {
	case http.StateNew, http.StateActive:
		l.begun = append(l.begun, c)
	case http.StateIdle:
		c.answered()
		if l.idle = append(l.idle, c); l.draining {
			c.closeIdle(endIn, closedDrain)
		} else if len(l.idle) > l.most*idlePart/10 {
			l.closeLongestIdle()
		}
	}
	l.mu.Unlock()
	if state == http.StateIdle {
		l.freed.Signal() // there is one that may be closed now
	}
}
