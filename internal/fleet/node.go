package fleet

import (
	"container/heap"
	"math"
	"time"
)

// node models an upstream process as a queue with processor sharing: all requests that it holds share its cores
// evenly, and none gets more than one core.
//
// It works in virtual time: attained is the service that a request would have had that was there from the start. A
// request is done when attained has grown by its work, so the order of completions does not change with arrivals and
// each arrival or completion costs O(log n).
type node struct {
	events *eventQueue
	params NodeParams
	number int

	attained        float64       // seconds of service per request, on a core of speed 1
	attainedAt      time.Duration // simulated time up to which attained is worked out
	jobs            jobHeap
	completionTimer timer // of the first completion as it is foreseen

	startedAt   time.Duration // start of its process; it warms up from then on
	incarnation int           // number of its process: attempts on the way to an earlier one are lost
	down        bool          // no process runs

	// Faults that are in effect.
	hanging        bool    // it accepts requests and does not work on them
	dropsResponses bool    // it works, but its responses are lost
	dropsRequests  bool    // requests to it are lost
	resetShare     float64 // share of its responses that are lost with their connections
	stolenShare    float64 // share of its cores that others use

	connections int // open ones

	collapsed        bool  // overload collapse: it works more slowly
	collapseTimer    timer // of the next change of collapsed
	collapseEndTimer timer // of the latest end of a collapse

	served, rejected, collapses uint64
	busyCoreSeconds             float64
}

// The events of a node.
const (
	nodeCompletes     eventKind = iota // the next job is done, or the speed changes
	nodeCollapseTurns                  // it was overloaded, or idle, for long enough
	nodeCollapseEnds                   // a collapse has lasted for as long as it may
)

func (node *node) handleEvent(kind eventKind) {
	switch kind {
	case nodeCompletes:
		node.completeJobs()
	case nodeCollapseTurns:
		node.setCollapsed(!node.collapsed)
	case nodeCollapseEnds:
		node.setCollapsed(false)
	default: // the kinds of other handlers
	}
}

// warmUpShare returns the share of its speed that the node's process has reached since its start.
func (node *node) warmUpShare() float64 {
	if node.params.WarmUpTime <= 0 || node.startedAt == 0 && !node.params.StartsCold {
		return 1
	}
	passed := float64(node.events.now-node.startedAt) / float64(node.params.WarmUpTime)
	return min(1, node.params.InitialSpeedShare+(1-node.params.InitialSpeedShare)*max(0, passed))
}

// speedFactor returns the share of its speed that the node has now.
func (node *node) speedFactor() float64 {
	if node.hanging || node.down {
		return 0
	}
	factor := node.warmUpShare() * (1 - node.stolenShare)
	if node.collapsed {
		factor /= node.params.OverloadCollapse.Slowdown
	}
	return factor
}

// serviceRate returns how fast attained grows.
func (node *node) serviceRate() float64 {
	if len(node.jobs) == 0 {
		return 0
	}
	coresPerJob := min(1, float64(node.params.Cores)/float64(len(node.jobs)))
	return node.params.Speed * node.speedFactor() * coresPerJob
}

// advance brings the virtual time up to now.
func (node *node) advance() {
	passed := (node.events.now - node.attainedAt).Seconds()
	node.attained += passed * node.serviceRate()
	node.busyCoreSeconds += passed * float64(min(len(node.jobs), node.params.Cores))
	node.attainedAt = node.events.now
}

// change applies a change of the node's state from now on.
func (node *node) change(apply func()) {
	node.advance()
	apply()
	node.scheduleCompletion()
}

// warmUpStep is how often the speed of a node that warms up is brought up to date.
const warmUpStep = 100 * time.Millisecond

// scheduleCompletion sets the timer to the next completion or change of speed.
func (node *node) scheduleCompletion() {
	node.watchOverload()
	rate := node.serviceRate()
	if rate <= 0 {
		node.events.cancel(node.completionTimer)
		return
	}
	delay := time.Duration(math.Ceil(max(0, node.jobs[0].finishAt-node.attained) / rate * 1e9))
	if node.warmUpShare() < 1 {
		delay = min(delay, warmUpStep)
	}
	if !node.events.reschedule(node.completionTimer, delay) {
		node.completionTimer = node.events.scheduleEvent(delay, node, nodeCompletes)
	}
}

// serviceTolerance allows for rounding to nanoseconds, in seconds of service.
const serviceTolerance = 1e-9

// completeJobs ends the jobs that have had their service.
func (node *node) completeJobs() {
	node.advance()
	for len(node.jobs) > 0 && node.jobs[0].finishAt <= node.attained+serviceTolerance {
		done := heap.Pop(&node.jobs).(*job)
		node.served++
		done.finish(true)
	}
	node.scheduleCompletion()
}

// accept takes a job with its work in seconds of a core of speed 1. It reports false if the node is down or full.
func (node *node) accept(accepted *job, work float64) bool {
	full := node.params.MaxRequests > 0 && len(node.jobs) >= node.params.MaxRequests
	if node.down || full {
		node.rejected++
		return false
	}
	node.advance()
	node.events.lastOrder++
	accepted.finishAt, accepted.order = node.attained+work, node.events.lastOrder
	heap.Push(&node.jobs, accepted)
	node.scheduleCompletion()
	return true
}

// withdraw removes a job whose result is no longer wanted, unless the node completes those too.
func (node *node) withdraw(withdrawn *job) {
	if withdrawn.index < 0 || node.params.KeepsAbandoned {
		return
	}
	node.advance()
	heap.Remove(&node.jobs, withdrawn.index)
	node.scheduleCompletion()
}

// restart ends the process with all that it holds; up starts the next one, which warms up.
func (node *node) restart(up bool) {
	node.advance()
	lost := node.jobs
	node.jobs, node.connections = nil, 0
	node.incarnation++
	node.events.cancel(node.collapseTimer)
	node.events.cancel(node.collapseEndTimer)
	node.change(func() { node.startedAt, node.down, node.collapsed = node.events.now, !up, false })
	for _, job := range lost { // in the heap's order, which only the seed decides
		job.index = -1
		job.finish(false)
	}
}
