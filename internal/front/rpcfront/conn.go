package rpcfront

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// clientConn is one client connection. The reader takes requests, the writer gives
// answers; the core's goroutine only puts an answer in line.
type clientConn struct {
	front *Front
	nc    net.Conn
	wake  chan struct{} // tells the writer that there is something to write, or that it is over

	accepted time.Time

	mu             sync.Mutex
	open           map[uint32]*core.Request // taken and not answered
	responseQueue  []answer                 // to be written
	bufferedBytes  int                      // bytes of their bodies
	note           []byte                   // notifications to be written, whole ones
	since          time.Time                // when it last had nothing open
	heard          bool                     // something was read from it
	messageStarted bool                     // bytes were read of a message that is not taken yet
	finish         bool                     // to be closed as soon as nothing is open or in line
	closed         bool                     // takes nothing more

	strikes int // the reader's: messages that were none
}

// answer is one response in the making.
type answer struct {
	id    uint32
	core  core.Response
	fault *msgrpc.Fault // goes before core
	plain []byte        // goes before both: a response that is made already
}

func newConn(f *Front, nc net.Conn) *clientConn {
	now := time.Now()
	return &clientConn{front: f, nc: nc, wake: make(chan struct{}, 1), open: make(map[uint32]*core.Request), accepted: now, since: now}
}

func (c *clientConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// idleSince says since when nothing is open or waits to be written, if so.
func (c *clientConn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.idleLocked()
}

func (c *clientConn) idleLocked() bool {
	return len(c.open) == 0 && len(c.responseQueue) == 0 && len(c.note) == 0 && !c.messageStarted
}

// noteRead notes that bytes were read; c.mu is held. Those of a closed connection are
// nobody's.
func (c *clientConn) noteRead(n int) bool {
	if n > 0 && !c.closed {
		c.heard, c.messageStarted = true, true
	}
	return !c.closed
}

// noteTaken notes that what was read has been taken, if nothing is left of it.
func (c *clientConn) noteTaken(left int) {
	c.mu.Lock()
	c.messageStarted = left > 0
	wanted := c.finish && c.idleLocked()
	c.mu.Unlock()
	if wanted {
		c.signal()
	}
}

// closeIdle closes the connection if nothing is open on it. From then on no
// request of it is taken, so that a client may send it again elsewhere.
func (c *clientConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleLocked() {
		c.closed = true
		c.signal()
	}
}

// gone looks whether the client of a request has left or cancelled it. It is
// asked next to the write of an attempt, where the core may not know it yet.
func (c *clientConn) gone(id uint32, r *core.Request) bool {
	c.mu.Lock()
	open := c.open[id] == r
	c.mu.Unlock()
	return !open || sockets.PeerClosed(c.nc)
}

// drain asks the client to send nothing new.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.note = msgrpc.AppendDrain(c.note)
	c.mu.Unlock()
	c.signal()
}

// finishUp closes the connection as soon as all that was taken is answered. On a new
// one the first message may be on its way.
func (c *clientConn) finishUp(now time.Time) {
	c.mu.Lock()
	c.finish = c.finish || c.heard || now.Sub(c.accepted) >= firstByteGrace
	c.mu.Unlock()
	c.signal()
}

// read is the reader.
func (c *clientConn) read() {
	defer c.end()
	in := msgrpc.NewFramer(notedConn{c.nc, sockets.NewLockedReader(c.nc, &c.mu, c.noteRead)}, msgrpc.MaxRequest, wholeIn)
	for {
		frame, err := in.Next()
		if err != nil {
			switch {
			case errors.Is(err, msgrpc.ErrTooLarge), errors.Is(err, msgrpc.ErrTooDeep), errors.Is(err, msgrpc.ErrExtension),
				errors.Is(err, msgrpc.ErrReserved), errors.Is(err, msgrpc.ErrNotArray), errors.Is(err, os.ErrDeadlineExceeded):
				c.front.malformed.Add(1)
				c.lastWord(err.Error())
			}
			return
		}
		arrival := time.Now()
		if c.front.config.EarliestArrival != nil {
			arrival = c.front.config.EarliestArrival(arrival)
		}
		if !c.take(frame, arrival) {
			return
		}
		c.noteTaken(in.Buffered())
	}
}

// notedConn is a connection that is read through a NotingReader.
type notedConn struct {
	net.Conn
	in *sockets.LockedReader
}

func (c notedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// end gives up what the client left open.
func (c *clientConn) end() {
	c.mu.Lock()
	c.closed = true
	open := c.open
	c.open = nil
	c.responseQueue, c.bufferedBytes = nil, 0
	c.mu.Unlock()
	c.signal()
	for _, r := range open {
		c.front.handler.Abandon(r)
	}
}

// lastWord tells the client why its connection ends, if it reads at once.
func (c *clientConn) lastWord(text string) {
	c.nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	c.nc.Write(msgrpc.AppendProtocolError(nil, text))
}

// take handles one message; false ends the connection.
func (c *clientConn) take(frame []byte, arrival time.Time) bool {
	f := c.front
	m, err := msgrpc.Parse(frame)
	if err != nil {
		f.malformed.Add(1)
		return c.complain(err.Error())
	}
	switch m.Kind {
	case msgrpc.Response:
		f.malformed.Add(1)
		return c.complain("a response, though nothing was asked")
	case msgrpc.Notification:
		return c.notified(m)
	}
	switch string(m.Method) {
	case msgrpc.MethodReady:
		c.answer(answer{id: m.ID, plain: msgrpc.AppendReady(nil, m.ID, f.handler.Ready() && !f.isDraining())})
		return true
	case msgrpc.MethodCall:
	default:
		f.rejected.Add(1)
		c.answer(answer{id: m.ID, fault: &msgrpc.Fault{Kind: msgrpc.KindRejected, Text: "method: call and ready are known"}})
		return true
	}
	c.mu.Lock()
	_, twice := c.open[m.ID]
	flood := len(c.open) >= f.config.MaxRequestsInFlight || c.bufferedBytes > f.config.MaxBufferedResponseBytes
	full := len(c.responseQueue) >= 4*f.config.MaxRequestsInFlight
	c.mu.Unlock()
	if twice { // an answer could not say which of the two it is for
		f.repeated.Add(1)
		return c.complain("a request under a msgid that is open was passed over")
	}
	if full { // it asks on and on and reads nothing
		f.stalled.Add(1)
		return false
	}
	if flood {
		f.flooded.Add(1)
		c.answer(answer{id: m.ID, fault: &msgrpc.Fault{Kind: msgrpc.KindRefused, Pause: floodPause, Text: "too many at once on one connection"}})
		return true
	}
	call, err := msgrpc.ParseCall(m.Params)
	if err != nil {
		f.rejected.Add(1)
		c.answer(answer{id: m.ID, fault: &msgrpc.Fault{Kind: msgrpc.KindRejected, Text: err.Error()}})
		return true
	}
	r, fault := f.request(call, arrival)
	if fault != nil {
		f.rejected.Add(1)
		c.answer(answer{id: m.ID, fault: fault})
		return true
	}
	id := m.ID
	r.Respond = func(a core.Response) { c.reply(id, r, a) }
	r.ClientGone = func() bool { return c.gone(id, r) }
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false // it was closed as idle: the client sends the request once more
	}
	c.open[id] = r
	c.mu.Unlock()
	f.taken.Add(1)
	f.handler.Submit(r)
	return true
}

// notified handles a notification.
func (c *clientConn) notified(m msgrpc.Message) bool {
	if string(m.Method) != msgrpc.MethodCancel {
		return true // a later version's, perhaps
	}
	id, err := msgrpc.ParseCancel(m.Params)
	if err != nil {
		c.front.malformed.Add(1)
		return c.complain("cancel: " + err.Error())
	}
	c.mu.Lock()
	r := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if r != nil {
		c.front.handler.Abandon(r)
		c.answer(answer{id: id, fault: &msgrpc.Fault{Kind: msgrpc.KindCancelled}})
	}
	return true
}

// complain tells the client of a message that was passed over; a connection
// that brings many of them ends.
func (c *clientConn) complain(text string) bool {
	c.mu.Lock()
	c.note = msgrpc.AppendProtocolError(c.note, text)
	c.mu.Unlock()
	c.signal()
	c.strikes++
	return c.strikes < maxMalformedMessages
}

// reply takes the core's answer, on the core's goroutine.
func (c *clientConn) reply(id uint32, r *core.Request, a core.Response) {
	c.mu.Lock()
	if c.open[id] != r { // given up meanwhile
		c.mu.Unlock()
		return
	}
	delete(c.open, id)
	c.responseQueue = append(c.responseQueue, answer{id: id, core: a})
	c.bufferedBytes += len(a.Body)
	c.mu.Unlock()
	c.signal()
}

// answer puts an answer in line that the core has no part in.
func (c *clientConn) answer(a answer) {
	c.mu.Lock()
	if !c.closed {
		c.responseQueue = append(c.responseQueue, a)
	}
	c.mu.Unlock()
	c.signal()
}

// kinds are those of the verdicts.
var kinds = [...]string{
	core.Rejected: msgrpc.KindRefused, core.Failed: msgrpc.KindFailed, core.TimedOut: msgrpc.KindTimeout, core.Duplicate: msgrpc.KindDuplicate,
}

func (a *answer) append(b []byte, texts bool) []byte {
	fault := a.fault
	switch {
	case a.plain != nil:
		return append(b, a.plain...)
	case fault != nil:
	case a.core.Result == core.Served:
		for name, values := range a.core.Fields { // of the hop, or what no client could read
			if msgrpc.HopField(name) || !msgrpc.Plain(name) || slices.ContainsFunc(values, func(v string) bool { return !msgrpc.Plain(v) }) {
				delete(a.core.Fields, name)
			}
		}
		r := msgrpc.Result{Fields: a.core.Fields, Body: a.core.Body, InFlight: -1}
		return r.Append(b, a.id)
	}
	if fault == nil {
		fault = &msgrpc.Fault{Kind: kinds[a.core.Result], Pause: a.core.RetryAfter, Text: a.core.Detail}
	}
	if texts {
		return fault.AppendText(b, a.id)
	}
	return fault.Append(b, a.id)
}

// write is the writer. A client that does not read what it asked for loses its
// connection: its answers are not held for it.
func (c *clientConn) write() {
	defer c.hangUp()
	var b []byte
	var batch []answer
	for range c.wake {
		c.mu.Lock()
		batch, c.responseQueue = c.responseQueue, batch[:0]
		b = append(b[:0], c.note...)
		c.note = c.note[:0]
		c.mu.Unlock()
		size := 0
		for i := range batch {
			b = batch[i].append(b, c.front.config.ErrorsAsText)
			size += len(batch[i].core.Body)
			batch[i] = answer{}
		}
		if len(b) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(stallIn))
			if _, err := c.nc.Write(b); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					c.front.stalled.Add(1)
				}
				return
			}
		}
		c.mu.Lock()
		c.bufferedBytes = max(0, c.bufferedBytes-size)
		idle := c.idleLocked()
		if idle {
			c.since = time.Now()
		}
		over := c.closed || idle && c.finish
		if over {
			c.closed = true
		}
		c.mu.Unlock()
		if over {
			return
		}
		if cap(b) > keptBuffer {
			b = nil
		}
	}
}

const (
	// endIn is how long an ended connection is read on from, and endMost how many
	// bytes of it: see sockets.End.
	endIn   = 250 * time.Millisecond
	endMost = 4 * msgrpc.MaxRequest
)

// hangUp ends the connection, the reader too, without taking from the client what
// was written to it.
func (c *clientConn) hangUp() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if half, ok := c.nc.(sockets.HalfCloser); ok {
		sockets.LingeringClose(half, endIn, endMost)
	} else {
		c.nc.Close()
	}
	c.front.forget(c)
}

// keptBuffer is how large a buffer a writer keeps.
const keptBuffer = 32 << 10
