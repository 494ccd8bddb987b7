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
	events *eventQueue
	params NodeParams
	number int

	attained        float64 // seconds of service for each request
	attainedAt      time.Duration
	jobs            jobHeap
	completionTimer timer // the first end, as it is foreseen

	startedAt      time.Duration // of its process; cold from then on
	incarnation    int           // counts its processes: what came to one before is lost
	hanging        bool
	dropsResponses bool    // it works, but nothing comes back
	dropsRequests  bool    // nothing comes to it
	resetShare     float64 // share of its answers that are lost with their connections
	stolenShare    float64 // share of its cores that others take
	down           bool    // fell over, or is off
	drains         bool
	connections    int // connections

	collapsed        bool  // the slow state after overload
	collapseTimer    timer // into it, or out of it
	collapseEndTimer timer // out of it at the latest

	served, rejected, collapses uint64
	busyCoreSeconds             float64 // core-seconds
}

// The events of a node.
const (
	nodeCompletes     eventKind = iota // the next request has had its service, or the speed changes
	nodeCollapseTurns                  // it was crowded, or idle, for long enough
	nodeCollapseEnds                   // the slow state ends by itself
)

func (n *node) handleEvent(w eventKind) {
	switch w {
	case nodeCompletes:
		n.completeJobs()
	case nodeCollapseTurns:
		n.setCollapsed(!n.collapsed)
	case nodeCollapseEnds:
		n.setCollapsed(false)
	}
}

// job is a request at a node.
type job struct {
	finishAt float64 // attained service at which it does
	order    uint64
	owner    jobOwner // nil: nobody wants to hear of its end
	index    int      // in the heap; -1: it is out
}

// customer hears of the end of its job, false where it was lost.
type jobOwner interface{ jobEnded(ok bool) }

// end tells a job's owner.
func (j *job) finish(ok bool) {
	if j.owner != nil {
		j.owner.jobEnded(ok)
	}
}

// whenEnded is a customer that is a function.
type jobEndedFunc func(ok bool)

func (f jobEndedFunc) jobEnded(ok bool) { f(ok) }

// warmth is the share of its speed that a node's process has reached.
func (n *node) warmUpShare() float64 {
	if n.params.WarmUpTime <= 0 || n.startedAt == 0 && !n.params.StartsCold {
		return 1
	}
	warm := float64(n.events.now-n.startedAt) / float64(n.params.WarmUpTime)
	return min(1, n.params.InitialSpeedShare+(1-n.params.InitialSpeedShare)*max(0, warm))
}

// capacity is the share of its full speed that a node has.
func (n *node) speedFactor() float64 {
	if n.hanging || n.down {
		return 0
	}
	c := n.warmUpShare() * (1 - n.stolenShare)
	if n.collapsed {
		c /= n.params.OverloadCollapse.Slowdown
	}
	return c
}

// rate is how fast attained grows: each request has a core at the most.
func (n *node) serviceRate() float64 {
	if len(n.jobs) == 0 {
		return 0
	}
	return n.params.Speed * n.speedFactor() * min(1, float64(n.params.Cores)/float64(len(n.jobs)))
}

// advance brings the virtual time up to now.
func (n *node) advance() {
	passed := (n.events.now - n.attainedAt).Seconds()
	n.attained += passed * n.serviceRate()
	n.busyCoreSeconds += passed * float64(min(len(n.jobs), n.params.Cores))
	n.attainedAt = n.events.now
}

// warming is how often a cold node's speed is brought up to date.
const warmUpStep = 100 * time.Millisecond

// foresee sets when the next request ends, or the speed changes.
func (n *node) scheduleCompletion() {
	n.watchOverload()
	rate := n.serviceRate()
	if rate <= 0 {
		n.events.cancel(n.completionTimer)
		return
	}
	d := time.Duration(math.Ceil(max(0, n.jobs[0].finishAt-n.attained) / rate * 1e9))
	if n.warmUpShare() < 1 {
		d = min(d, warmUpStep)
	}
	if !n.events.reschedule(n.completionTimer, d) {
		n.completionTimer = n.events.scheduleEvent(d, n, nodeCompletes)
	}
}

// watch follows what leads into the slow state after overload, and out of it.
func (n *node) watchOverload() {
	c := &n.params.OverloadCollapse
	if c.Slowdown <= 1 {
		return
	}
	on, after := float64(len(n.jobs)) > c.RequestsPerCore*float64(n.params.Cores), c.OnsetTime
	if n.collapsed {
		on, after = 2*len(n.jobs) <= n.params.Cores, c.RecoveryTime // mostly idle
	}
	switch {
	case !on:
		n.events.cancel(n.collapseTimer)
	case !n.collapseTimer.pending():
		n.collapseTimer = n.events.scheduleEvent(after, n, nodeCollapseTurns)
	}
}

// choke takes a node into the slow state, or out of it.
func (n *node) setCollapsed(on bool) {
	n.change(func() {
		n.collapsed = on
		n.events.cancel(n.collapseTimer)
		n.events.cancel(n.collapseEndTimer)
		if on {
			n.collapses++
			if n.params.OverloadCollapse.MaxDuration > 0 {
				n.collapseEndTimer = n.events.scheduleEvent(n.params.OverloadCollapse.MaxDuration, n, nodeCollapseEnds)
			}
		}
	})
}

// epsilon allows for what rounding to nanoseconds leaves, in seconds of service.
const serviceTolerance = 1e-9

// serve ends the requests that have had their service.
func (n *node) completeJobs() {
	n.advance()
	for len(n.jobs) > 0 && n.jobs[0].finishAt <= n.attained+serviceTolerance {
		j := heap.Pop(&n.jobs).(*job)
		n.served++
		j.finish(true)
	}
	n.scheduleCompletion()
}

// take takes a job of so much work, in seconds of a core of speed 1; false says
// that it is turned away.
func (n *node) accept(j *job, work float64) bool {
	if n.down || n.params.MaxRequests > 0 && len(n.jobs) >= n.params.MaxRequests {
		n.rejected++
		return false
	}
	n.advance()
	n.events.lastOrder++
	j.finishAt, j.order = n.attained+work, n.events.lastOrder
	heap.Push(&n.jobs, j)
	n.scheduleCompletion()
	return true
}

// drop takes a request off that nobody waits for any more.
func (n *node) withdraw(j *job) {
	if j.index < 0 || n.params.KeepsAbandoned {
		return
	}
	n.advance()
	heap.Remove(&n.jobs, j.index)
	n.scheduleCompletion()
}

// restart ends the process and all that it holds; up begins another one, which
// is cold.
func (n *node) restart(up bool) {
	n.advance()
	held := n.jobs
	n.jobs, n.connections = nil, 0
	n.incarnation++
	n.events.cancel(n.collapseTimer)
	n.events.cancel(n.collapseEndTimer)
	n.change(func() { n.startedAt, n.down, n.collapsed = n.events.now, !up, false })
	for _, j := range held { // in the heap's order, which the seed alone decides
		j.index = -1
		j.finish(false)
	}
}

// set changes what a node is, from now on.
func (n *node) change(change func()) {
	n.advance()
	change()
	n.scheduleCompletion()
}

// jobs is a heap of container/heap, the first to end first.
type jobHeap []*job

func (q jobHeap) Len() int { return len(q) }

func (q jobHeap) Less(i, j int) bool {
	return q[i].finishAt < q[j].finishAt || q[i].finishAt == q[j].finishAt && q[i].order < q[j].order
}

func (q jobHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is container/heap's.
func (q *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop is container/heap's.
func (q *jobHeap) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	(*q)[n] = nil // let go
	*q = (*q)[:n]
	x.index = -1
	return x
}
