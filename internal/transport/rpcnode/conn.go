package rpcnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

// reply is how an exchange ended: an error, or one of the others.
type reply struct {
	err    error
	fault  *msgrpc.Fault
	result *msgrpc.Result
}

// framer appends a request of some id, which is waited for as long as left says.
type framer func(b []byte, id uint32, left time.Duration) []byte

type stage int

const (
	queued  stage = iota // no byte of it was handed to the socket
	writing              // some may have been
	written              // all were
)

// exchange is one request on a connection.
type exchange struct {
	id    uint32
	frame framer        // makes its frame once it is written: what is left by then is told
	until time.Time     // when it is given up; zero: it is not
	told  time.Duration // how long the node was told that it is waited for
	size  int           // of its frame
	m     *core.Message // whose attempt it is; nil: a probe
	sent  time.Time
	stage stage
	done  chan reply // takes the one reply
}

// conn is one connection to a node. The reader and the writer are its two goroutines.
type conn struct {
	node *node
	nc   net.Conn
	wake chan struct{} // tells the writer that there is something to write, or that it is over

	mu        sync.Mutex
	next      uint32
	open      map[uint32]*exchange // waited for
	ghosts    map[uint32]time.Time // given up and not answered, and until when they count as running
	queue     []*exchange          // to be written, in order
	cancels   []uint32             // ids to be cancelled
	heard     time.Time            // when the last message came
	used      time.Time            // when it last had nothing out
	condemned bool                 // takes nothing new, and ends with the last that is out
	err       error                // why it was closed
}

func newConn(n *node, nc net.Conn) *conn {
	now := time.Now()
	return &conn{
		node: n, nc: nc, wake: make(chan struct{}, 1), heard: now, used: now,
		open: make(map[uint32]*exchange), ghosts: make(map[uint32]time.Time),
	}
}

// takes says whether a request may be sent on it.
func (c *conn) takes(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takesLocked(now)
}

func (c *conn) takesLocked(now time.Time) bool {
	if c.err != nil || c.condemned {
		return false
	}
	if len(c.open) >= c.node.t.cfg.Outstanding {
		return false // another connection, while there is room for one
	}
	if len(c.ghosts) > 0 && len(c.open)+c.runningLocked(now) >= c.node.t.cfg.Outstanding || len(c.ghosts) >= c.node.t.cfg.Reserved {
		c.condemnLocked()
		c.settleLocked() // with nobody waiting on it nothing else would end it
		return false
	}
	return true
}

// runningLocked counts the given-up attempts that the node may still work on.
func (c *conn) runningLocked(now time.Time) int {
	n := 0
	for _, runsTo := range c.ghosts {
		if now.Before(runsTo) {
			n++
		}
	}
	return n
}

// enqueue puts a request in line; nil says that the connection takes none any more.
func (c *conn) enqueue(m *core.Message, frame framer, until time.Time) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takesLocked(time.Now()) {
		return nil
	}
	x := &exchange{id: c.newIDLocked(), frame: frame, until: until, m: m, done: make(chan reply, 1), sent: time.Now()}
	c.open[x.id] = x
	c.queue = append(c.queue, x)
	c.signal()
	return x
}

// append appends the frame to what is to be written now.
func (x *exchange) append(b []byte, now time.Time) []byte {
	x.told = longestWait
	if !x.until.IsZero() {
		x.told = max(x.until.Sub(now), time.Millisecond)
	}
	before := len(b)
	b = x.frame(b, x.id, x.told)
	x.size = len(b) - before
	return b
}

// newIDLocked gives an id for which no answer can come any more. They run on,
// so that one comes again after 2^32 requests at the earliest, and those that
// are still owed an answer are passed over even then.
func (c *conn) newIDLocked() uint32 {
	for {
		id := c.next
		c.next++
		_, ghost := c.ghosts[id]
		if c.open[id] == nil && !ghost {
			return id
		}
	}
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wait waits for the reply until ctx ends; then it gives the request up.
func (c *conn) wait(ctx context.Context, x *exchange) (r reply, wrote bool) {
	select {
	case r = <-x.done:
		return r, !errors.Is(r.err, errUnwritten)
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case r = <-x.done: // it came in the same moment
		return r, !errors.Is(r.err, errUnwritten)
	default:
	}
	delete(c.open, x.id)
	defer c.settleLocked()
	if x.stage == queued {
		c.dropLocked(x)
		return reply{err: ctx.Err()}, false
	}
	until := x.sent
	if d, ok := ctx.Deadline(); ok {
		until = d
	}
	c.ghosts[x.id] = until.Add(runsOn)
	c.cancels = append(c.cancels, x.id)
	c.signal()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.heard.Before(x.sent) {
		// Nothing at all came from there since: the machine may have vanished.
		// A new connection shows it, an old one never would.
		c.condemnLocked()
	}
	return reply{err: ctx.Err()}, true
}

func (c *conn) dropLocked(x *exchange) {
	for i, q := range c.queue {
		if q == x {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// condemn takes it out of use; it ends with the last that is out.
func (c *conn) condemn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.condemnLocked()
	c.settleLocked()
}

func (c *conn) condemnLocked() {
	if !c.condemned {
		c.condemned = true
		if len(c.ghosts) > 0 {
			c.node.t.condemned.Add(1)
		}
	}
}

// settleLocked closes a condemned connection on which nobody waits any more.
// Cancellations that are due go out before, as far as the socket takes them.
func (c *conn) settleLocked() {
	if len(c.open) > 0 {
		return
	}
	c.used = time.Now()
	if c.condemned && c.err == nil {
		c.err = errCondemned
		c.signal()
	}
}

var (
	errUnwritten = errors.New("the request was not written whole")
	errCondemned = errors.New("the connection was given up")
	errIdle      = errors.New("the connection was idle")
)

func (c *conn) closeIfIdle(now time.Time, idleFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Of what was given up only what may still run keeps it from being idle.
	if len(c.open) == 0 && c.runningLocked(now) == 0 && c.err == nil && now.Sub(c.used) >= idleFor {
		c.err = errIdle
		c.signal()
	}
}

// fail closes the connection and ends what is out on it: what was not written
// whole never ran, the rest may have.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	err = c.err
	for id, x := range c.open {
		delete(c.open, id)
		if x.stage == queued {
			x.done <- reply{err: fmt.Errorf("%w: %w", errUnwritten, err)}
		} else {
			x.done <- reply{err: err}
		}
	}
	c.queue, c.cancels = nil, nil
	c.mu.Unlock()
	c.signal()
	c.nc.Close()
}

// write is the writer: it gathers what waits and hands it over in one piece.
func (c *conn) write() {
	var batch []*exchange
	var b []byte
	defer func() {
		c.nc.Close() // ends the reader too
	}()
	for range c.wake {
		c.mu.Lock()
		batch, b = batch[:0], b[:0]
		over, by := c.err != nil, time.Now().Add(c.node.t.cfg.DialTimeout)
		if !over {
			now := time.Now()
			for _, x := range c.queue {
				if x.m != nil && !x.m.AllowSend(now) {
					delete(c.open, x.id)
					x.done <- reply{err: fmt.Errorf("%w: %w", errUnwritten, core.ErrNotSent)}
					c.settleLocked()
					continue
				}
				if x.m != nil && !x.m.WriteDeadline.IsZero() && x.m.WriteDeadline.Before(by) {
					by = x.m.WriteDeadline
				}
				x.stage = writing
				b = x.append(b, now)
				batch = append(batch, x)
			}
			c.queue = c.queue[:0]
		}
		for _, id := range c.cancels {
			b = msgrpc.AppendCancel(b, id)
		}
		c.cancels = c.cancels[:0]
		c.mu.Unlock()
		if len(b) > 0 {
			c.nc.SetWriteDeadline(by)
			n, err := c.nc.Write(b)
			c.wrote(batch, n, err)
			if err != nil {
				c.fail(fmt.Errorf("write: %w", err))
				return
			}
		}
		if over {
			c.fail(nil)
			return
		}
		if cap(b) > keptBuffer {
			b = nil
		}
	}
}

// keptBuffer is how large a buffer a writer keeps.
const keptBuffer = 32 << 10

// wrote notes how far a batch went out: a node begins a request when its last
// byte has come, so what was cut never ran.
func (c *conn) wrote(batch []*exchange, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, now := 0, time.Now()
	for _, x := range batch {
		end += x.size
		if err == nil || end <= n {
			x.stage = written
			if x.m != nil {
				x.m.SendCompleted(now, x.told)
			}
		} else {
			x.stage = queued
		}
	}
}

// read is the reader: it hands answers to those who wait for them.
func (c *conn) read() {
	f := msgrpc.NewFramer(c.nc, msgrpc.MaxResponseBytes, partAnswer)
	var err error
	for {
		var frame []byte
		if frame, err = f.Next(); err != nil {
			break
		}
		c.take(frame)
	}
	c.fail(fmt.Errorf("read: %w", err))
	c.node.forget(c)
	<-c.node.t.slots
}

// take handles one message of the node.
func (c *conn) take(frame []byte) {
	t := c.node.t
	m, err := msgrpc.Parse(frame)
	if err != nil {
		t.malformed.Add(1)
		return
	}
	switch {
	case m.Kind == msgrpc.Notification && string(m.Method) == msgrpc.MethodDrain:
		c.condemn()
		return
	case m.Kind != msgrpc.Response: // a node asks nothing of a sidecar
		t.malformed.Add(1)
		return
	}
	c.mu.Lock()
	c.heard = time.Now()
	x := c.open[m.ID]
	if x != nil && x.stage == queued {
		x = nil // it cannot be an answer to what was not sent
	}
	if x == nil {
		if _, given := c.ghosts[m.ID]; given {
			delete(c.ghosts, m.ID)
			t.late.Add(1)
		} else {
			t.unknown.Add(1)
		}
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	// Only the reader answers an exchange that is open and out, or fail once
	// the reader has ended; giving up takes it out of open.
	var r reply
	if m.Fault != nil {
		r.fault, r.err = msgrpc.ParseFault(m.Fault)
	} else {
		r.result, r.err = msgrpc.ParseResult(m.Result)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[m.ID] != x { // given up, or failed, meanwhile
		delete(c.ghosts, m.ID)
		t.late.Add(1)
		return
	}
	delete(c.open, m.ID)
	x.done <- r
	c.settleLocked()
}
