package fleet

import (
	"container/heap"
	"math"
	"time"
)

// node serves what it is sent: all requests that it holds share its cores
// evenly (processor sharing), none gets more than one of them.
//
// It works by virtual time: attained is the service that a request there since
// the beginning would have had. A request that comes now ends when attained has
// grown by its work, so that the order of ends changes with no arrival.
type node struct {
	engine *engine
	p      NodeParams
	number int

	attained float64 // seconds of service for each request
	asOf     time.Duration
	held     heapOf[*job]
	next     *event // the first end, as it is foreseen

	started time.Duration // of its process; cold from then on
	hangs   bool
	down    bool // fell over
	drained time.Duration
	drains  bool

	served, turnedAway uint64
	busy               float64 // core-seconds
}

// job is a request at a node.
type job struct {
	ends  float64 // attained service at which it does
	order uint64
	done  func(ok bool)
	index int
}

// capacity is the share of its full speed that a node has.
func (n *node) capacity() float64 {
	if n.hangs || n.down {
		return 0
	}
	if n.p.ColdTime <= 0 || n.started == 0 && !n.p.Fresh {
		return 1
	}
	warm := float64(n.engine.now-n.started) / float64(n.p.ColdTime)
	return min(1, n.p.ColdFrom+(1-n.p.ColdFrom)*max(0, warm))
}

// rate is how fast attained grows: each request has a core at the most.
func (n *node) rate() float64 {
	if len(n.held) == 0 {
		return 0
	}
	return n.p.Speed * n.capacity() * min(1, float64(n.p.Cores)/float64(len(n.held)))
}

// advance brings the virtual time up to now.
func (n *node) advance() {
	passed := (n.engine.now - n.asOf).Seconds()
	n.attained += passed * n.rate()
	n.busy += passed * float64(min(len(n.held), n.p.Cores))
	n.asOf = n.engine.now
}

// warming is how often a cold node's speed is brought up to date.
const warming = 100 * time.Millisecond

// foresee sets when the next request ends, or the speed changes.
func (n *node) foresee() {
	n.engine.cancel(n.next)
	n.next = nil
	rate := n.rate()
	if rate <= 0 {
		return
	}
	d := time.Duration(math.Ceil(max(0, n.held[0].ends-n.attained) / rate * 1e9))
	if n.capacity() < 1 {
		d = min(d, warming)
	}
	n.next = n.engine.after(d, n.serve)
}

// epsilon allows for what rounding to nanoseconds leaves, in seconds of service.
const epsilon = 1e-9

// serve ends the requests that have had their service.
func (n *node) serve() {
	n.next = nil
	n.advance()
	for len(n.held) > 0 && n.held[0].ends <= n.attained+epsilon {
		j := heap.Pop(&n.held).(*job)
		n.served++
		j.done(true)
	}
	n.foresee()
}

// take takes a request of so much work, in seconds of a core of speed 1; nil
// says that it is turned away. done hears of its end.
func (n *node) take(work float64, done func(ok bool)) *job {
	if n.down || n.p.Queue > 0 && len(n.held) >= n.p.Queue {
		n.turnedAway++
		return nil
	}
	n.advance()
	n.engine.last++
	j := &job{ends: n.attained + work, order: n.engine.last, done: done}
	heap.Push(&n.held, j)
	n.foresee()
	return j
}

// drop takes a request off that nobody waits for any more.
func (n *node) drop(j *job) {
	if j.index < 0 {
		return
	}
	n.advance()
	heap.Remove(&n.held, j.index)
	n.foresee()
}

// set changes what a node is, from now on.
func (n *node) set(change func()) {
	n.advance()
	change()
	n.foresee()
}

func (j *job) before(o *job) bool {
	return j.ends < o.ends || j.ends == o.ends && j.order < o.order
}

func (j *job) place(i int) { j.index = i }
