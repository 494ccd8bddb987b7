package fleet

import (
	"container/heap"
	"math"
	"time"
)

// node models an upstream process as a queue with processor sharing: all requests in flight at the node share its
// cores evenly, and none gets more than one core.
//
// The node works in virtual time: attained is the service that a request present from the start would have received. A
// request is done when attained has grown by the request's work since its arrival. Therefore arrivals do not change the
// order of completions, and each arrival or completion costs O(log n).
type node struct {
	events *eventQueue
	params NodeParams
	number int

	attained        float64       // seconds of service per request, on a core of speed 1
	attainedAt      time.Duration // simulated time up to which attained has been computed
	jobs            jobHeap
	completionTimer timer // fires at the expected time of the next completion

	startedAt   time.Duration // start of the node's process, from which it warms up
	incarnation int           // number of the node's process; attempts in transit to an earlier process are lost
	down        bool          // no process runs

	// Faults that are in effect.
	hanging        bool    // the node accepts requests and does not work on them
	dropsResponses bool    // the node works, but its responses are lost
	dropsRequests  bool    // requests to the node are lost
	resetShare     float64 // share of the responses that are lost with their connections
	stolenShare    float64 // share of the cores that other processes use

	connections int // number of open connections

	collapsed        bool  // overload collapse: the node works more slowly
	collapseTimer    timer // fires at the next change of collapsed
	collapseEndTimer timer // fires at the latest end of a collapse

	served, rejected, collapses uint64
	busyCoreSeconds             float64
}

// The events of a node.
const (
	nodeCompletes       eventKind = iota // the next job is done, or the speed changes
	nodeCollapseToggles                  // the node was overloaded, or half idle, for the configured time
	nodeCollapseExpires                  // a collapse has reached its longest duration
)

func (node *node) handleEvent(kind eventKind) {
	switch kind {
	case nodeCompletes:
		node.completeJobs()
	case nodeCollapseToggles:
		node.setCollapsed(!node.collapsed)
	case nodeCollapseExpires:
		node.setCollapsed(false)
	default: // event kinds of other handlers
	}
}

// warmUpShare returns the share of its full speed that the node's process has reached since its start.
func (node *node) warmUpShare() float64 {
	if node.params.WarmUpTime <= 0 || node.startedAt == 0 && !node.params.StartsCold {
		return 1
	}
	elapsed := float64(node.events.now-node.startedAt) / float64(node.params.WarmUpTime)
	return min(1, node.params.InitialSpeedShare+(1-node.params.InitialSpeedShare)*max(0, elapsed))
}

// speedFactor returns the share of its full speed that the node has now, faults and collapse included.
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

// serviceRate returns how fast attained grows, in seconds of service per second.
func (node *node) serviceRate() float64 {
	if len(node.jobs) == 0 {
		return 0
	}
	coresPerJob := min(1, float64(node.params.Cores)/float64(len(node.jobs)))
	return node.params.Speed * node.speedFactor() * coresPerJob
}

// advance updates the virtual time and the busy time to the current simulated time.
func (node *node) advance() {
	elapsed := (node.events.now - node.attainedAt).Seconds()
	node.attained += elapsed * node.serviceRate()
	node.busyCoreSeconds += elapsed * float64(min(len(node.jobs), node.params.Cores))
	node.attainedAt = node.events.now
}

// change applies a change of the node's state from now on and reschedules the next completion.
func (node *node) change(apply func()) {
	node.advance()
	apply()
	node.scheduleCompletion()
}

// warmUpStep is the interval at which the speed of a node that warms up is updated.
const warmUpStep = 100 * time.Millisecond

// scheduleCompletion sets the timer to the next completion or change of speed. A node that does not work gets no timer.
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

// serviceTolerance, in seconds of service, allows for times that are rounded to nanoseconds.
const serviceTolerance = 1e-9

// completeJobs completes the jobs that have received all their service.
func (node *node) completeJobs() {
	node.advance()
	for len(node.jobs) > 0 && node.jobs[0].finishAt <= node.attained+serviceTolerance {
		done := heap.Pop(&node.jobs).(*job)
		node.served++
		done.finish(true)
	}
	node.scheduleCompletion()
}

// accept adds a job with the given work, in seconds on a core of speed 1. It reports false if the node is down or full.
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

// abandon removes an abandoned job, unless the node completes abandoned jobs or the job has left the node.
func (node *node) abandon(abandoned *job) {
	if abandoned.index < 0 || node.params.KeepsAbandoned {
		return
	}
	node.advance()
	heap.Remove(&node.jobs, abandoned.index)
	node.scheduleCompletion()
}

// restart ends the node's process; all its jobs and connections are lost. If up is true, the next process starts at
// once and warms up; otherwise the node is down.
func (node *node) restart(up bool) {
	node.advance()
	lost := node.jobs
	node.jobs, node.connections = nil, 0
	node.incarnation++
	node.events.cancel(node.collapseTimer)
	node.events.cancel(node.collapseEndTimer)
	node.change(func() { node.startedAt, node.down, node.collapsed = node.events.now, !up, false })
	for _, job := range lost { // in heap order, which depends only on the seed
		job.index = -1
		job.finish(false)
	}
}
