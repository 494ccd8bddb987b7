// Package load plays a scenario of the model over real sockets: its node behind
// a listener, its clients as an open-loop load, and the two with real sidecars
// between them, so that the model can be held against the program. All is on
// loopback and bounded in count and time.
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
	mu    sync.Mutex
	began time.Time
	node  *fleet.SingleNode
	timer *time.Timer
	over  chan struct{}
	mean  time.Duration // work of a request that tells none
}

// NewNode makes one. Close ends its timer.
func NewNode(p fleet.NodeParams, mean time.Duration) *Node {
	n := &Node{began: time.Now(), node: fleet.NewSingleNode(p), over: make(chan struct{}), mean: mean}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	return n
}

// Close ends it; what it holds is not answered.
func (n *Node) Close() {
	n.timer.Stop()
	close(n.over)
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance()
}

// advance brings the node up to now and sets the timer to what comes next.
func (n *Node) advance() {
	now := time.Since(n.began)
	if next, due := n.node.Advance(now); due {
		n.timer.Reset(next - now)
	}
}

// Strike lets something happen to the node; the function that it gives ends it.
func (n *Node) Strike(t fleet.Fault) (end func()) {
	change := func(do func(fleet.Fault)) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.advance()
		do(t)
		n.advance()
	}
	change(n.node.BeginFault)
	return func() { change(n.node.EndFault) }
}

// workField is what a request's body begins with: its work in µs.
const workField = "work_us="

// Script is what the node does with a request: it takes as long as the model
// has it, beside all others that it holds.
func (n *Node) Script(c peers.Call) peers.Response {
	work := n.mean
	if text, ok := strings.CutPrefix(string(c.Body), workField); ok {
		if us, err := strconv.ParseInt(text, 10, 64); err == nil {
			work = time.Duration(us) * time.Microsecond
		}
	}
	done := make(chan bool, 1)
	n.mu.Lock()
	n.advance()
	taken := n.node.Submit(work, func(ok bool) { done <- ok })
	n.advance()
	n.mu.Unlock()
	if !taken {
		return peers.Response{Action: peers.Reject}
	}
	return peers.Response{Wait: func(given <-chan struct{}) peers.ResponseAction {
		select {
		case ok := <-done:
			if ok {
				return peers.Serve
			}
			return peers.Reset
		case <-given:
		case <-n.over:
		}
		return peers.Reset
	}}
}
