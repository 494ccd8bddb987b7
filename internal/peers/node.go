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
	ID      string
	Class   string
	Tenant  string
	Key     string
	Unsafe  bool // HTTP: POST without a key
	Timeout time.Duration
	Body    []byte
	Fields  map[string]string
	Retry   bool
	Try     int // at a node: how often the request reached one, this time included
	// Field, at a node, gives the first value of a field that came with it.
	Field func(name string) string
}

// Deed is what a node does with a request.
type Deed int

// The deeds. All but TurnAway and Reset run the effect, Reset only where told.
const (
	Serve    Deed = iota // run it and answer
	Error                // run it and answer that something went wrong
	TurnAway             // do not run it, and say so
	Hang                 // never answer; runs the effect
	Reset                // run it and break the connection
	Cut                  // run it and break the connection after Bytes of the answer
	Twice                // run it and answer twice
	Spoil                // run it and answer what is no answer
	Stray                // run it, and answer a request that nobody sent before this one
)

// Action is what a script answers.
type Action struct {
	Deed  Deed
	Delay time.Duration // before the answer
	Body  []byte        // of the answer; nil gives the request's id
	Bytes int           // Cut: how many of the answer's
	// Wait, where it is set, comes after the delay and gives the deed. It must
	// end when its argument is closed: nobody waits any more.
	Wait func(given <-chan struct{}) Deed
}

// Script decides what a node does with a request. It may be called concurrently.
type Script func(Call) Action

// Serving serves everything at once.
func Serving(Call) Action { return Action{} }

// Node is a stand-in for a server.
type Node struct {
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

// StartNode starts a node on a loopback port of its own.
func StartNode(p Protocol, name string, ledger *Ledger, script Script) (*Node, error) {
	return StartNodeAt("127.0.0.1:0", p, name, ledger, script)
}

// StartNodeAt starts a node at an address.
func StartNodeAt(addr string, p Protocol, name string, ledger *Ledger, script Script) (*Node, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	n := &Node{Name: name, ledger: ledger, ln: ln, over: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	n.Play(script)
	n.serve = n.serveHTTP
	if p == RPC {
		n.serve = n.serveRPC
	}
	n.wg.Add(1)
	go n.accept()
	return n, nil
}

// Play changes the script for the requests that come from now on.
func (n *Node) Play(s Script) { n.script.Store(&s) }

// IgnoreCancels makes a MessagePack-RPC node work on whatever is cancelled.
func (n *Node) IgnoreCancels(yes bool) { n.ignoreCancels.Store(yes) }

// Addr is where it listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// Accepted says how many connections came so far.
func (n *Node) Accepted() int64 { return n.accepted.Load() }

// InFlight says how many requests it holds.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// Cancels says how many cancel notifications came.
func (n *Node) Cancels() int64 { return n.cancels.Load() }

// Served says how many requests it answered as served.
func (n *Node) Served() int64 { return n.served.Load() }

// Break resets all connections that are open.
func (n *Node) Break() {
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
func (n *Node) Close() {
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

func (n *Node) accept() {
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
func (n *Node) decide(c Call) Action {
	if n.ledger == nil { // it runs for long, and nobody counts
		a := (*n.script.Load())(c)
		if a.Body == nil {
			a.Body = []byte(c.ID)
		}
		return a
	}
	c.Try = n.ledger.arrive(n.Name, c.ID, time.Now())
	a := (*n.script.Load())(c)
	if a.Deed != TurnAway {
		n.ledger.run(c)
	}
	if a.Body == nil {
		a.Body = []byte(c.ID)
	}
	return a
}

// sleep waits, but not past the node's end or the request's.
func (n *Node) sleep(d time.Duration, given <-chan struct{}) {
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
