// Package load plays a scenario of the model on real sockets: its nodes as the scripts of
// stand-ins, its clients as an open-loop load, and real sidecars between them, so that the
// model can be compared with the program. All is on loopback and bounded in count and time.
package load

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
)

// Node is a node of the model in real time. It is safe for concurrent use.
type Node struct {
	mu        sync.Mutex
	startedAt time.Time
	node      *fleet.SingleNode // under mu
	timer     *time.Timer       // of the model's next event
	closed    chan struct{}
	meanWork  time.Duration // of a request that states none
}

// NewNode makes a Node; Close ends its timer.
func NewNode(p fleet.NodeParams, meanWork time.Duration) *Node {
	n := &Node{startedAt: time.Now(), node: fleet.NewSingleNode(p), closed: make(chan struct{}), meanWork: meanWork}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	return n
}

// Close ends it; requests in flight are reset.
func (n *Node) Close() {
	n.timer.Stop()
	close(n.closed)
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance()
}

// advance brings the model up to now and sets the timer to its next event. mu is held.
func (n *Node) advance() {
	now := time.Since(n.startedAt)
	if next, due := n.node.Advance(now); due {
		n.timer.Reset(next - now)
	}
}

// BeginFault begins a fault; the function that it returns ends it.
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

// workField is what a request's body begins with: its work in µs.
const workField = "work_us="

// Script responds to a request after the time that the model takes for it beside all
// others in flight.
func (n *Node) Script(c peers.Call) peers.Response {
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
	return peers.Response{Wait: func(abandoned <-chan struct{}) peers.ResponseAction {
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
