// Package rpcnode carries out attempts and probes at nodes that speak
// MessagePack-RPC, many at once on one connection.
//
// What makes it differ from HTTP/1.1 is that giving up one attempt cannot close
// its connection. An attempt that was given up leaves its id behind: until its
// answer comes or the connection ends, that id is not used again and whatever
// arrives for it is dropped. It counts as running until then, or until the time
// that the node was told has passed and a while more; so many may run so on one
// connection, and on a node. See docs/protocol/msgpack-rpc.md.
package rpcnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// Config is what a Transport keeps to. Zeros take the defaults.
type Config struct {
	DialTimeout time.Duration // a connection not made by then never comes; also the longest that a write may stand still
	ConnIdle    time.Duration // nodes close a connection that was idle this long
	Connections int           // the most that are open at once, over all nodes

	Outstanding int // requests at once on a connection that have not been answered, given up ones included
	Reserved    int // ids on a connection that were given up and not answered, however long ago
}

// The defaults of Config.
const (
	DefaultOutstanding = 128
	DefaultReserved    = 1024
)

const (
	// perNode bounds the connections to a node: one in use, and those that no
	// new request may use and that wait for what is out on them.
	perNode = 4
	// runsOn is how much longer than it was told a node may work on a request
	// that was given up, before that is no longer counted against it.
	runsOn = time.Second
	// partAnswer is how long an answer may take from its first byte to its last.
	partAnswer = 5 * time.Second
	// longestWait is what a node is told where an attempt has no end.
	longestWait = time.Hour
	idleMargin  = 2 * time.Second // kept to ConnIdle, as a request may cross the close
)

// Counters tell what came that no attempt waited for.
type Counters struct {
	Late      uint64 // answers to attempts that had been given up
	Unknown   uint64 // answers to ids that were never sent, or answered before
	Malformed uint64 // messages that the mapping does not know
	Condemned uint64 // connections that were given up for the answers that they owe
	Dials     uint64
}

// Transport makes the nodes that speak MessagePack-RPC.
type Transport struct {
	cfg   Config
	slots chan struct{} // holds one for each connection that is open or being opened

	mu    sync.Mutex
	nodes map[*node]struct{} // those with connections

	late, unknown, malformed, condemned, dials atomic.Uint64
}

// New makes a Transport. Sweep must be called now and then.
func New(c Config) *Transport {
	if c.Outstanding == 0 {
		c.Outstanding = DefaultOutstanding
	}
	if c.Reserved == 0 {
		c.Reserved = DefaultReserved
	}
	return &Transport{cfg: c, slots: make(chan struct{}, c.Connections), nodes: make(map[*node]struct{})}
}

// Counters returns what was counted so far.
func (t *Transport) Counters() Counters {
	return Counters{t.late.Load(), t.unknown.Load(), t.malformed.Load(), t.condemned.Load(), t.dials.Load()}
}

// Upstream makes the node at an address.
func (t *Transport) Upstream(addr string) core.Upstream { return &node{t: t, addr: addr} }

// Sweep closes the connections that have been idle for too long.
func (t *Transport) Sweep(now time.Time) {
	t.mu.Lock()
	nodes := make([]*node, 0, len(t.nodes))
	for n := range t.nodes {
		nodes = append(nodes, n)
	}
	t.mu.Unlock()
	idleFor := max(t.cfg.ConnIdle-idleMargin, t.cfg.ConnIdle/2)
	for _, n := range nodes {
		n.mu.Lock()
		conns := append([]*conn(nil), n.conns...)
		n.mu.Unlock()
		for _, c := range conns {
			c.closeIfIdle(now, idleFor)
		}
	}
}

type node struct {
	t    *Transport
	addr string

	mu      sync.Mutex
	conns   []*conn // open ones; at most one of them takes requests
	dialing *dial   // the connection under way
	retired bool
}

// dial is one connection in the making, for all who wait for it.
type dial struct {
	done chan struct{}
	err  error // why it failed; set before done is closed
}

var (
	errRetired  = errors.New("the node has left the list")
	errNoRoom   = fmt.Errorf("%w: no room for another connection", sockets.ErrConnectionLimit)
	errAllOwing = errors.New("every connection to the node waits for answers that it owes")
)

// RoundTrip carries an attempt out.
func (n *node) RoundTrip(ctx context.Context, m *core.Message) (policy.AttemptResult, *core.Response) {
	r, wrote := n.exchange(ctx, m, func(b []byte, id uint32, left time.Duration) []byte {
		return outgoing(m, left).Append(b, id)
	})
	switch {
	case r.err != nil && !wrote && (errors.Is(ctx.Err(), context.Canceled) || errors.Is(r.err, core.ErrNotSent) || !m.AllowSend(time.Now())):
		return policy.NotSent, nil // no word against the node: nobody waited for it any more
	case r.err != nil && !wrote && sockets.IsLocalError(r.err):
		return policy.NotSent, nil // nor is what this machine lacks
	case r.err != nil && !wrote:
		return policy.ConnectionFailed, nil
	case r.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled, nil
	case r.err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.TimedOut, nil
	case r.err != nil:
		return policy.ConnectionReset, nil
	case r.fault != nil && r.fault.Kind == msgrpc.KindNotStarted:
		return policy.Rejected, nil
	case r.fault != nil:
		return policy.ServerError, nil
	}
	return policy.Served, &core.Response{Result: core.Served, Fields: r.result.Fields, Body: r.result.Body}
}

// Probe asks for a sign of life and the load.
func (n *node) Probe(ctx context.Context) (policy.LoadReport, error) {
	unknown := policy.LoadReport{InFlight: -1}
	ctx, cancel := context.WithTimeout(ctx, n.t.cfg.DialTimeout)
	defer cancel()
	r, _ := n.exchange(ctx, nil, func(b []byte, id uint32, _ time.Duration) []byte {
		return msgrpc.AppendRequestWithoutParams(b, id, msgrpc.MethodProbe)
	})
	switch {
	case r.err != nil && sockets.IsLocalError(r.err):
		return unknown, fmt.Errorf("%w: %w", core.ErrNotSent, r.err)
	case r.err != nil:
		return unknown, r.err
	case r.fault != nil:
		return unknown, errors.New("probe: " + r.fault.Kind)
	}
	return policy.LoadReport{InFlight: r.result.InFlight}, nil
}

// exchange sends one request and waits for its answer. wrote tells whether the
// request's last byte may have been written; only then can the node have begun it.
func (n *node) exchange(ctx context.Context, m *core.Message, frame framer) (r reply, wrote bool) {
	reach := ctx
	until, _ := ctx.Deadline()
	if m != nil && !m.WriteDeadline.IsZero() {
		var cancel context.CancelFunc
		reach, cancel = context.WithDeadline(ctx, m.WriteDeadline)
		defer cancel()
	}
	for {
		c, err := n.conn(reach)
		if err != nil {
			return reply{err: err}, false
		}
		if x := c.enqueue(m, frame, until); x != nil {
			return c.wait(ctx, x)
		}
		// It was closed or filled meanwhile: the next one.
	}
}

// conn returns the connection that takes requests, or opens one.
func (n *node) conn(ctx context.Context) (*conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		n.mu.Lock()
		if n.retired {
			n.mu.Unlock()
			return nil, errRetired
		}
		for _, c := range n.conns {
			if c.takes(time.Now()) {
				n.mu.Unlock()
				return c, nil
			}
		}
		d := n.dialing
		if d == nil {
			if len(n.conns) >= perNode {
				n.mu.Unlock()
				return nil, errAllOwing
			}
			d = &dial{done: make(chan struct{})}
			n.dialing = d
			go n.dial(d)
		}
		n.mu.Unlock()
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens a connection. It has its own time: whoever waits for it with less
// left gives up by itself, and the others need not begin again.
func (n *node) dial(d *dial) {
	c, err := n.open()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialing = nil
	defer close(d.done)
	if d.err = err; err != nil {
		return
	}
	if n.retired {
		d.err = errRetired
		c.nc.Close()
		<-n.t.slots
		return
	}
	n.conns = append(n.conns, c)
	n.t.mu.Lock()
	n.t.nodes[n] = struct{}{}
	n.t.mu.Unlock()
	go c.write()
	go c.read()
}

func (n *node) open() (*conn, error) {
	select {
	case n.t.slots <- struct{}{}:
	default:
		return nil, errNoRoom
	}
	n.t.dials.Add(1)
	nc, err := (&net.Dialer{KeepAlive: -1, Timeout: n.t.cfg.DialTimeout}).Dial("tcp", n.addr)
	if err != nil {
		<-n.t.slots
		return nil, err
	}
	return newConn(n, nc), nil
}

// forget takes a closed connection out.
func (n *node) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range n.conns {
		if x == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	if len(n.conns) == 0 {
		n.t.mu.Lock()
		delete(n.t.nodes, n)
		n.t.mu.Unlock()
	}
}

// Retire lets what is out end, and nothing new begin.
func (n *node) Retire() {
	n.mu.Lock()
	n.retired = true
	conns := append([]*conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range conns {
		c.condemn()
	}
}

// outgoing is a request in the mapping: what it names goes to its own key.
func outgoing(m *core.Message, left time.Duration) *msgrpc.Call {
	c := &msgrpc.Call{Timeout: left, Target: m.Target, Host: m.Host, Body: m.Body}
	rest := 0
	for name, v := range m.Fields {
		if !c.SetHTTPField(name, v) {
			rest++
		}
	}
	if rest > 0 {
		c.Fields = make(map[string][]string, rest)
		for name, v := range m.Fields {
			if !msgrpc.HasOwnKey(name) {
				c.Fields[name] = v
			}
		}
	}
	return c
}
