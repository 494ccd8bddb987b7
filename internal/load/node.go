// Package load runs a scenario of the fleet model on real sockets, so that the model can be compared with the program:
// stand-ins respond as the model's nodes do, an open-loop generator sends the clients' requests, and real sidecars run
// between them. All sockets are on loopback, and the number of requests and the duration are bounded.
package load

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
)

// Node runs one node of the model in real time. It is safe for concurrent use.
type Node struct {
	mu        sync.Mutex
	startedAt time.Time
	node      *fleet.SingleNode // guarded by mu
	timer     *time.Timer       // fires at the model's next event
	closed    chan struct{}
	meanWork  time.Duration // the work of a request whose body states none
}

// NewNode returns a running Node. The caller must call Close, which stops its timer.
func NewNode(p fleet.NodeParams, meanWork time.Duration) *Node {
	n := &Node{startedAt: time.Now(), node: fleet.NewSingleNode(p), closed: make(chan struct{}), meanWork: meanWork}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	return n
}

// Close stops the node and resets the requests in flight.
func (n *Node) Close() {
	n.timer.Stop()
	close(n.closed)
}

// tick runs the model's events that are due. The timer calls it on its own goroutine.
func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance()
}

// advance runs the model up to the present time and sets the timer to its next event. The caller holds mu.
func (n *Node) advance() {
	now := time.Since(n.startedAt)
	if next, due := n.node.Advance(now); due {
		n.timer.Reset(next - now)
	}
}

// BeginFault begins a fault. The function that it returns ends the fault.
func (n *Node) BeginFault(fault fleet.Fault) (end func()) {
	apply := func(change func(fleet.Fault)) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.advance()
		change(fault)
		n.advance()
	}
	apply(n.node.BeginFault)
	return func() { apply(n.node.EndFault) }
}

// workField precedes a request's work, in µs, in the request's body.
const workField = "work_us="

// Respond is a stand-in's script. It responds to a request after the time that the model takes to execute the request
// concurrently with all others in flight.
func (n *Node) Respond(c peers.Call) peers.Response {
	work := n.meanWork
	if text, ok := strings.CutPrefix(string(c.Body), workField); ok {
		if us, err := strconv.ParseInt(text, 10, 64); err == nil {
			work = time.Duration(us) * time.Microsecond
		}
	}
	done := make(chan bool, 1)
	n.mu.Lock()
	n.advance()
	accepted := n.node.Submit(work, func(ok bool) { done <- ok })
	n.advance()
	n.mu.Unlock()
	if !accepted {
		return peers.Response{Action: peers.Reject}
	}
	return peers.Response{WaitForAction: func(abandoned <-chan struct{}) peers.ResponseAction {
		select {
		case ok := <-done:
			if ok {
				return peers.Serve
			}
			return peers.Reset
		case <-abandoned:
		case <-n.closed:
		}
		return peers.Reset
	}}
}
