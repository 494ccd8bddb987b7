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
	held     jobs
	next     timer // the first end, as it is foreseen

	started time.Duration // of its process; cold from then on
	process int           // counts its processes: what came to one before is lost
	hangs   bool
	mute    bool    // it works, but nothing comes back
	deaf    bool    // nothing comes to it
	breaks  float64 // share of its answers that are lost with their connections
	stolen  float64 // share of its cores that others take
	down    bool    // fell over, or is off
	drains  bool
	open    int // connections

	choked bool  // the slow state after overload
	turns  timer // into it, or out of it
	gives  timer // out of it at the latest

	served, turnedAway, chokes uint64
	busy                       float64 // core-seconds
}

// The events of a node.
const (
	nodeEnds  what = iota // the next request has had its service, or the speed changes
	nodeTurns             // it was crowded, or idle, for long enough
	nodeGives             // the slow state ends by itself
)

func (n *node) act(w what) {
	switch w {
	case nodeEnds:
		n.serve()
	case nodeTurns:
		n.choke(!n.choked)
	case nodeGives:
		n.choke(false)
	}
}

// job is a request at a node.
type job struct {
	ends  float64 // attained service at which it does
	order uint64
	owner customer // nil: nobody wants to hear of its end
	index int      // in the heap; -1: it is out
}

// customer hears of the end of its job, false where it was lost.
type customer interface{ jobEnded(ok bool) }

// end tells a job's owner.
func (j *job) end(ok bool) {
	if j.owner != nil {
		j.owner.jobEnded(ok)
	}
}

// whenEnded is a customer that is a function.
type whenEnded func(ok bool)

func (f whenEnded) jobEnded(ok bool) { f(ok) }

// warmth is the share of its speed that a node's process has reached.
func (n *node) warmth() float64 {
	if n.p.ColdTime <= 0 || n.started == 0 && !n.p.Fresh {
		return 1
	}
	warm := float64(n.engine.now-n.started) / float64(n.p.ColdTime)
	return min(1, n.p.ColdFrom+(1-n.p.ColdFrom)*max(0, warm))
}

// capacity is the share of its full speed that a node has.
func (n *node) capacity() float64 {
	if n.hangs || n.down {
		return 0
	}
	c := n.warmth() * (1 - n.stolen)
	if n.choked {
		c /= n.p.Choke.Times
	}
	return c
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
	n.watch()
	rate := n.rate()
	if rate <= 0 {
		n.engine.cancel(n.next)
		return
	}
	d := time.Duration(math.Ceil(max(0, n.held[0].ends-n.attained) / rate * 1e9))
	if n.warmth() < 1 {
		d = min(d, warming)
	}
	if !n.engine.move(n.next, d) {
		n.next = n.engine.put(d, n, nodeEnds)
	}
}

// watch follows what leads into the slow state after overload, and out of it.
func (n *node) watch() {
	c := &n.p.Choke
	if c.Times <= 1 {
		return
	}
	on, after := float64(len(n.held)) > c.Above*float64(n.p.Cores), c.After
	if n.choked {
		on, after = 2*len(n.held) <= n.p.Cores, c.Rest // mostly idle
	}
	switch {
	case !on:
		n.engine.cancel(n.turns)
	case !n.turns.armed():
		n.turns = n.engine.put(after, n, nodeTurns)
	}
}

// choke takes a node into the slow state, or out of it.
func (n *node) choke(on bool) {
	n.set(func() {
		n.choked = on
		n.engine.cancel(n.turns)
		n.engine.cancel(n.gives)
		if on {
			n.chokes++
			if n.p.Choke.Longest > 0 {
				n.gives = n.engine.put(n.p.Choke.Longest, n, nodeGives)
			}
		}
	})
}

// epsilon allows for what rounding to nanoseconds leaves, in seconds of service.
const epsilon = 1e-9

// serve ends the requests that have had their service.
func (n *node) serve() {
	n.advance()
	for len(n.held) > 0 && n.held[0].ends <= n.attained+epsilon {
		j := heap.Pop(&n.held).(*job)
		n.served++
		j.end(true)
	}
	n.foresee()
}

// take takes a job of so much work, in seconds of a core of speed 1; false says
// that it is turned away.
func (n *node) take(j *job, work float64) bool {
	if n.down || n.p.Queue > 0 && len(n.held) >= n.p.Queue {
		n.turnedAway++
		return false
	}
	n.advance()
	n.engine.last++
	j.ends, j.order = n.attained+work, n.engine.last
	heap.Push(&n.held, j)
	n.foresee()
	return true
}

// drop takes a request off that nobody waits for any more.
func (n *node) drop(j *job) {
	if j.index < 0 || n.p.KeepsAbandoned {
		return
	}
	n.advance()
	heap.Remove(&n.held, j.index)
	n.foresee()
}

// restart ends the process and all that it holds; up begins another one, which
// is cold.
func (n *node) restart(up bool) {
	n.advance()
	held := n.held
	n.held, n.open = nil, 0
	n.process++
	n.engine.cancel(n.turns)
	n.engine.cancel(n.gives)
	n.set(func() { n.started, n.down, n.choked = n.engine.now, !up, false })
	for _, j := range held { // in the heap's order, which the seed alone decides
		j.index = -1
		j.end(false)
	}
}

// set changes what a node is, from now on.
func (n *node) set(change func()) {
	n.advance()
	change()
	n.foresee()
}

// jobs is a heap of container/heap, the first to end first.
type jobs []*job

func (q jobs) Len() int { return len(q) }

func (q jobs) Less(i, j int) bool {
	return q[i].ends < q[j].ends || q[i].ends == q[j].ends && q[i].order < q[j].order
}

func (q jobs) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is container/heap's.
func (q *jobs) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop is container/heap's.
func (q *jobs) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	(*q)[n] = nil // let go
	*q = (*q)[:n]
	x.index = -1
	return x
}
