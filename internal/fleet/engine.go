// Package fleet is a model of a fleet in simulated time: clients, sidecars that
// decide by the real decision module, a network and nodes. A run is a pure
// function of its Scenario, its seed among it: no goroutine, no clock and no
// input but that. How it models and why: docs/design/laboratory.md.
package fleet

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// engine is the heap of events. Two at one instant come in the order in which
// they were put there. What has come or was called off is used again, so that
// a run's memory is that of what is under way.
type eventQueue struct {
	now       time.Duration
	lastOrder uint64
	heap      []queuedEvent // a heap of four children each: half as deep as one of two
	free      []*event
	processed uint64 // that have come so far
}

// entry is a place in the heap. It holds what orders it, so that the heap does
// not follow pointers to compare.
type queuedEvent struct {
	at    time.Duration
	order uint64
	event *event
}

// event is something that happens to an actor.
type event struct {
	handler    eventHandler
	kind       eventKind
	generation uint32 // counts how often it was used: a timer of an earlier use is of no effect
	index      int    // in the heap
}

// actor is what events happen to. Hot ones are methods and not closures, which
// would be allocated for each event.
type eventHandler interface{ handleEvent(eventKind) }

// what says which of an actor's events has come.
type eventKind uint8

// call is an actor that is a function.
type handlerFunc func()

func (c handlerFunc) handleEvent(eventKind) { c() }

// timer is an event that may still come. The zero timer is of none.
type timer struct {
	event      *event
	generation uint32
}

// armed says whether the event is still to come.
func (t timer) pending() bool { return t.event != nil && t.event.generation == t.generation }

// after lets a function be called; a time of less than 0 stands for now.
func (queue *eventQueue) schedule(d time.Duration, do func()) timer {
	return queue.scheduleEvent(d, handlerFunc(do), 0)
}

// put puts an event into the heap; a time of less than 0 stands for now.
func (queue *eventQueue) scheduleEvent(d time.Duration, a eventHandler, w eventKind) timer {
	var x *event
	if n := len(queue.free); n > 0 {
		x, queue.free = queue.free[n-1], queue.free[:n-1]
	} else {
		x = new(event)
	}
	x.handler, x.kind, x.index = a, w, len(queue.heap)
	queue.lastOrder++
	queue.heap = append(queue.heap, queuedEvent{queue.now + max(0, d), queue.lastOrder, x})
	queue.siftUp(x.index)
	return timer{x, x.generation}
}

// cancel calls an event off, if it has not come.
func (queue *eventQueue) cancel(t timer) {
	if t.pending() {
		queue.removeAt(t.event.index)
	}
}

// move lets an event come at another time, as if it was put there anew; false
// where it has come already.
func (queue *eventQueue) reschedule(t timer, d time.Duration) bool {
	if !t.pending() {
		return false
	}
	i := t.event.index
	queue.lastOrder++
	queue.heap[i].at, queue.heap[i].order = queue.now+max(0, d), queue.lastOrder
	queue.siftUp(i)
	queue.siftDown(t.event.index)
	return true
}

// step lets the next event come; false where there is none before the end.
func (queue *eventQueue) processNext(end time.Duration) bool {
	if len(queue.heap) == 0 || queue.heap[0].at > end {
		return false
	}
	x := queue.heap[0]
	a, w := x.event.handler, x.event.kind
	queue.now = x.at
	queue.processed++
	queue.removeAt(0)
	a.handleEvent(w)
	return true
}

// remove takes an entry out and keeps its event for another use.
func (queue *eventQueue) removeAt(i int) {
	x := queue.heap[i].event
	n := len(queue.heap) - 1
	last := queue.heap[n]
	queue.heap[n] = queuedEvent{}
	queue.heap = queue.heap[:n]
	if i < n {
		queue.heap[i] = last
		last.event.index = i
		queue.siftUp(i)
		queue.siftDown(last.event.index)
	}
	x.generation++
	x.handler = nil // let go
	queue.free = append(queue.free, x)
}

func (x *queuedEvent) before(o *queuedEvent) bool {
	return x.at < o.at || x.at == o.at && x.order < o.order
}

func (queue *eventQueue) siftUp(i int) {
	q, x := queue.heap, queue.heap[i]
	for i > 0 {
		parent := (i - 1) / 4
		if !x.before(&q[parent]) {
			break
		}
		q[i] = q[parent]
		q[i].event.index = i
		i = parent
	}
	q[i] = x
	x.event.index = i
}

func (queue *eventQueue) siftDown(i int) {
	q, x := queue.heap, queue.heap[i]
	for {
		least, first := -1, 4*i+1
		for c := first; c < min(first+4, len(q)); c++ {
			if least < 0 || q[c].before(&q[least]) {
				least = c
			}
		}
		if least < 0 || !q[least].before(&x) {
			break
		}
		q[i] = q[least]
		q[i].event.index = i
		i = least
	}
	q[i] = x
	x.event.index = i
}

// stream gives a part its own random numbers: what it draws shifts no other's.
func randomStream(seed uint64, part string, number int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(number)*0x9e3779b97f4a7c15))
}

// draw draws a number under n by the shares.
func weightedIndex(rng *rand.Rand, n int, share func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}
