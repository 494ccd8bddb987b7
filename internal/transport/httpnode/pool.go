package httpnode

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// peer is one upstream to the pool. It stands for the host and not for its
// address, which may be another host's tomorrow.
type peer struct {
	addr string

	// The pool's lock guards these.
	idle []*conn       // the most recently used last
	pace time.Duration // how long an exchange takes lately, on the mean; 0: not known
	gone bool
}

// conn is a connection to an upstream with its buffers; it carries one request at a time.
type conn struct {
	net.Conn
	peer  *peer
	limit io.LimitedReader // bounds what one answer may bring
	r     *bufio.Reader    // reads through limit
	heads http1.Framing    // of the answers
	out   bytes.Buffer     // a request is gathered here, so that it goes out in one write
	taken time.Time        // when it was last given out
	idle  time.Time        // since when it has been idle
}

// pool keeps connections to upstreams for further requests: a new one costs the
// upstream work and the request time. It also bounds how many are open.
type pool struct {
	dialTimeout time.Duration
	dialer      net.Dialer
	idleFor     time.Duration // an idle connection is not used for longer than this

	slots chan struct{} // holds one for each connection that is open or being opened

	dials, failed atomic.Uint64

	mu      sync.Mutex
	kept    map[*peer]bool // those with idle connections
	waiting int            // callers that wait for a slot
}

const (
	// idleMargin is kept to the time after which upstreams close idle connections: a
	// request written to one that is being closed ends as a reset and may not be repeated.
	idleMargin = 2 * time.Second
	// restFor is how long a connection rests between an answer and the next
	// request: what comes behind an answer and belongs to none shows by then, and
	// must not be read as the next one's answer. A second answer may come some
	// milliseconds late; up to 5.1 were seen.
	restFor = 10 * time.Millisecond
	// quick is the mean exchange under which an upstream gets another connection
	// rather than a request that waits for one to have rested.
	quick = 2 * restFor
	// restMost bounds the connections to an upstream that rest at once: 6,400
	// requests a second to one of them are not held up.
	restMost = 64
	// keptBuffer is how large a buffer an idle connection may keep.
	keptBuffer = 8 << 10
)

func newPool(dialTimeout, connIdle time.Duration, most int) *pool {
	return &pool{
		dialTimeout: dialTimeout,
		dialer:      net.Dialer{KeepAlive: -1},
		idleFor:     max(connIdle-idleMargin, connIdle/2),
		slots:       make(chan struct{}, most),
		kept:        make(map[*peer]bool),
	}
}

// get returns an idle connection to the upstream or opens one. Of those that
// have rested the most recently used goes first, so that what is too many ages
// and is closed. Where none has rested, a further one is opened if the upstream
// is so quick that waiting would cost more than half of an exchange again; else
// the one that needs to rest least is waited for.
func (p *pool) get(ctx context.Context, to *peer) (*conn, error) {
	for {
		now := time.Now()
		c := p.takeIdle(to, now)
		if c == nil {
			return p.dial(ctx, to)
		}
		if rest := restFor - now.Sub(c.idle); rest > 0 {
			time.Sleep(rest)
			now = time.Now()
		}
		if c.usable(now, p.idleFor) {
			c.taken = now
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle takes the connection that is to be used next; nil says to open one.
func (p *pool) takeIdle(to *peer, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	rested := len(to.idle) // how many have; those that have not stand behind them
	for rested > 0 && now.Sub(to.idle[rested-1].idle) < restFor {
		rested--
	}
	switch {
	case rested > 0:
		return p.takeLocked(to, rested-1)
	case len(to.idle) == 0, to.pace > 0 && to.pace < quick && len(to.idle) < restMost && len(p.slots) < cap(p.slots):
		return nil
	}
	return p.takeLocked(to, 0)
}

// takeLocked takes an idle connection out.
func (p *pool) takeLocked(from *peer, i int) *conn {
	c := from.idle[i]
	if from.idle = slices.Delete(from.idle, i, i+1); len(from.idle) == 0 {
		delete(p.kept, from)
	}
	return c
}

// dial opens a connection within the dial timeout, waiting for a slot included.
func (p *pool) dial(ctx context.Context, to *peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		<-p.slots
		p.failed.Add(1)
		return nil, err
	}
	p.dials.Add(1)
	c := &conn{Conn: nc, peer: to, taken: time.Now()}
	c.limit.R = followed{nc, &c.heads}
	c.r = bufio.NewReader(&c.limit)
	return c, nil
}

// followed shows what is read to a Framing.
type followed struct {
	io.Reader
	heads *http1.Framing
}

func (f followed) Read(b []byte) (int, error) {
	n, err := f.Reader.Read(b)
	f.heads.Observe(b[:n])
	return n, err
}

// acquire takes a slot; where none is free it closes the connection that has
// been idle longest, or waits.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	p.mu.Lock()
	p.waiting++
	c := p.oldestLocked()
	p.mu.Unlock()
	if c != nil {
		p.drop(c)
	}
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(sockets.ErrConnectionLimit, ctx.Err())
	}
}

// oldestLocked takes out the connection that has been idle longest, or returns nil.
func (p *pool) oldestLocked() *conn {
	var oldest *conn
	for to := range p.kept {
		if oldest == nil || to.idle[0].idle.Before(oldest.idle) {
			oldest = to.idle[0]
		}
	}
	if oldest != nil {
		p.takeLocked(oldest.peer, 0)
	}
	return oldest
}

// put gives a connection back whose last answer was read to its end. One to a
// host that has gone meanwhile is closed.
func (p *pool) put(c *conn) {
	c.idle = time.Now()
	if c.out.Cap() > keptBuffer {
		c.out = bytes.Buffer{}
	}
	p.mu.Lock()
	if p.waiting > 0 || c.peer.gone {
		p.mu.Unlock()
		p.drop(c) // its slot is wanted, or itself no more
		return
	}
	if took := c.idle.Sub(c.taken); c.peer.pace == 0 {
		c.peer.pace = took
	} else {
		c.peer.pace += (took - c.peer.pace) / 8
	}
	c.peer.idle = append(c.peer.idle, c)
	p.kept[c.peer] = true
	p.mu.Unlock()
}

// drop closes a connection that came from get.
func (p *pool) drop(c *conn) {
	c.Close()
	<-p.slots
}

// retire closes the idle connections to a host that has gone, and from now on
// every other that is given back. Whoever is at its address next has its own.
func (p *pool) retire(to *peer) {
	p.mu.Lock()
	idle := to.idle
	to.idle, to.gone = nil, true
	delete(p.kept, to)
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// sweep closes the idle connections that are too old, that the peer has closed,
// or on which something came that belongs to no request.
func (p *pool) sweep(now time.Time) {
	var dead []*conn
	p.mu.Lock()
	for to := range p.kept {
		for i := len(to.idle) - 1; i >= 0; i-- {
			if !to.idle[i].usable(now, p.idleFor) {
				dead = append(dead, p.takeLocked(to, i))
			}
		}
	}
	p.mu.Unlock()
	for _, c := range dead {
		p.drop(c)
	}
}

// usable says whether an idle connection may carry a request: young enough, and
// neither closed by the peer nor with bytes that nobody asked for.
func (c *conn) usable(now time.Time, idleFor time.Duration) bool {
	return now.Sub(c.idle) < idleFor && c.r.Buffered() == 0 && sockets.IsIdle(c.Conn)
}
