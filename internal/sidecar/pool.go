package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to an upstream with its buffers; it carries one request at a time.
type conn struct {
	net.Conn
	addr  string
	limit io.LimitedReader // bounds what one answer may bring
	r     *bufio.Reader    // reads through limit
	out   bytes.Buffer     // a request is gathered here, so that it goes out in one write
	idle  time.Time        // since when it has been idle
}

// pool keeps connections to upstreams for further requests: a new one costs the
// upstream work and the request time. It also bounds how many are open.
type pool struct {
	dialTimeout time.Duration
	idleFor     time.Duration // an idle connection is not used for longer than this

	slots chan struct{} // holds one for each connection that is open or being opened

	mu      sync.Mutex
	byAddr  map[string][]*conn // idle connections, the most recently used last
	waiting int                // callers that wait for a slot
}

// idleMargin is kept to the time after which upstreams close idle connections: a
// request written to one that is being closed ends as a reset and may not be repeated.
const idleMargin = 2 * time.Second

func newPool(dialTimeout, connIdle time.Duration, most int) *pool {
	return &pool{
		dialTimeout: dialTimeout,
		idleFor:     max(connIdle-idleMargin, connIdle/2),
		slots:       make(chan struct{}, most),
		byAddr:      make(map[string][]*conn),
	}
}

// get returns an idle connection to the address, the most recently used first,
// or opens one.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.usable(time.Now(), p.idleFor) {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byAddr[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.byAddr[addr] = list[:len(list)-1]
	return c
}

// dial opens a connection within the dial timeout, waiting for a slot included.
func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		<-p.slots
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, limit: io.LimitedReader{R: nc}}
	c.r = bufio.NewReader(&c.limit)
	return c, nil
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
		return errors.Join(errors.New("no free connection slot"), ctx.Err())
	}
}

// oldestLocked takes out the connection that has been idle longest, or returns nil.
func (p *pool) oldestLocked() *conn {
	var oldest *conn
	for _, list := range p.byAddr {
		if len(list) > 0 && (oldest == nil || list[0].idle.Before(oldest.idle)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.byAddr[oldest.addr] = p.byAddr[oldest.addr][1:]
	}
	return oldest
}

// put gives a connection back whose last answer was read to its end.
func (p *pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	if p.waiting > 0 {
		p.mu.Unlock()
		p.drop(c) // its slot is wanted
		return
	}
	p.byAddr[c.addr] = append(p.byAddr[c.addr], c)
	p.mu.Unlock()
}

// drop closes a connection that came from get.
func (p *pool) drop(c *conn) {
	c.Close()
	<-p.slots
}

// sweep closes the idle connections that are too old or that the peer has closed.
func (p *pool) sweep(now time.Time) {
	p.retain(func(c *conn) bool { return c.usable(now, p.idleFor) })
}

// forget closes the idle connections to an address that is not in use any more.
func (p *pool) forget(addr string) {
	p.retain(func(c *conn) bool { return c.addr != addr })
}

func (p *pool) retain(keep func(*conn) bool) {
	var dead []*conn
	p.mu.Lock()
	for addr, list := range p.byAddr {
		p.byAddr[addr] = slices.DeleteFunc(list, func(c *conn) bool {
			if keep(c) {
				return false
			}
			dead = append(dead, c)
			return true
		})
		if len(p.byAddr[addr]) == 0 {
			delete(p.byAddr, addr)
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
	return now.Sub(c.idle) < idleFor && c.r.Buffered() == 0 && quiet(c.Conn)
}

// quiet looks at a socket without blocking: nothing to read and not closed. It
// goes past the lock of readers, one of which may be waiting on the socket.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && still
}
