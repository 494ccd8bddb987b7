package peers

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Protocol says how a peer speaks.
type Protocol string

// The protocols.
const (
	HTTP Protocol = "http"
	RPC  Protocol = "msgpack-rpc"
)

// Call is a request as a node reads it and a client sends it.
type Call struct {
	ID             string
	Class          string
	Tenant         string
	IdempotencyKey string
	NotIdempotent  bool // HTTP: POST without a key
	Timeout        time.Duration
	Body           []byte
	Fields         map[string]string
	ClientRetry    bool
	Attempt        int // at a node: how often the request reached one, this time included
	// Field, at a node, gives the first value of a field that came with it.
	Field func(name string) string
}

// ResponseAction is what a node does with a request.
type ResponseAction int

// The deeds. All but Reject and Reset run the effect, Reset only where told.
const (
	Serve       ResponseAction = iota // run it and answer
	Error                             // run it and answer that something went wrong
	Reject                            // do not run it, and say so
	Hang                              // never answer; runs the effect
	Reset                             // run it and break the connection
	Truncate                          // run it and break the connection after Bytes of the answer
	Duplicate                         // run it and answer twice
	Malformed                         // run it and answer what is no answer
	Unsolicited                       // run it, and answer a request that nobody sent before this one
)

// Response is what a script answers.
type Response struct {
	Action     ResponseAction
	Delay      time.Duration // before the answer
	Body       []byte        // of the answer; nil gives the request's id
	TruncateAt int           // Cut: how many of the answer's
	// Wait, where it is set, comes after the delay and gives the deed. It must
	// end when its argument is closed: nobody waits any more.
	Wait func(given <-chan struct{}) ResponseAction
}

// Script decides what a node does with a request. It may be called concurrently.
type Script func(Call) Response

// ServeAll serves everything at once.
func ServeAll(Call) Response { return Response{} }

// Upstream is a stand-in for a server.
type Upstream struct {
	Name   string
	ledger *Ledger
	ln     net.Listener
	serve  func(net.Conn)
	script atomic.Pointer[Script]
	over   chan struct{}

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup

	accepted, inFlight, cancels, served atomic.Int64
	ignoreCancels                       atomic.Bool
}

// StartUpstream starts a node on a loopback port of its own.
func StartUpstream(p Protocol, name string, ledger *Ledger, script Script) (*Upstream, error) {
	return StartUpstreamAt("127.0.0.1:0", p, name, ledger, script)
}

// StartUpstreamAt starts a node at an address.
func StartUpstreamAt(addr string, p Protocol, name string, ledger *Ledger, script Script) (*Upstream, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	n := &Upstream{Name: name, ledger: ledger, ln: ln, over: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	n.SetScript(script)
	n.serve = n.serveHTTP
	if p == RPC {
		n.serve = n.serveRPC
	}
	n.wg.Add(1)
	go n.accept()
	return n, nil
}

// SetScript changes the script for the requests that come from now on.
func (n *Upstream) SetScript(s Script) { n.script.Store(&s) }

// IgnoreCancels makes a MessagePack-RPC node work on whatever is cancelled.
func (n *Upstream) IgnoreCancels(yes bool) { n.ignoreCancels.Store(yes) }

// Addr is where it listens.
func (n *Upstream) Addr() string { return n.ln.Addr().String() }

// Accepted says how many connections came so far.
func (n *Upstream) Accepted() int64 { return n.accepted.Load() }

// InFlight says how many requests it holds.
func (n *Upstream) InFlight() int64 { return n.inFlight.Load() }

// Cancels says how many cancel notifications came.
func (n *Upstream) Cancels() int64 { return n.cancels.Load() }

// Served says how many requests it answered as served.
func (n *Upstream) Served() int64 { return n.served.Load() }

// ResetConnections resets all connections that are open.
func (n *Upstream) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the node and all that it holds.
func (n *Upstream) Close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	close(n.over)
	n.ln.Close()
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Upstream) accept() {
	defer n.wg.Done()
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.accepted.Add(1)
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			c.Close()
			return
		}
		n.conns[c] = struct{}{}
		n.wg.Add(1)
		n.mu.Unlock()
		go func() {
			defer n.wg.Done()
			n.serve(c)
			c.Close()
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
		}()
	}
}

// decide notes a request in the ledger and asks the script.
func (n *Upstream) decide(c Call) Response {
	if n.ledger == nil { // it runs for long, and nobody counts
		a := (*n.script.Load())(c)
		if a.Body == nil {
			a.Body = []byte(c.ID)
		}
		return a
	}
	c.Attempt = n.ledger.arrive(n.Name, c.ID, time.Now())
	a := (*n.script.Load())(c)
	if a.Action != Reject {
		n.ledger.run(c)
	}
	if a.Body == nil {
		a.Body = []byte(c.ID)
	}
	return a
}

// sleep waits, but not past the node's end or the request's.
func (n *Upstream) sleep(d time.Duration, given <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-given:
	case <-n.over:
	}
}
