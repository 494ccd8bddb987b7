package fleet

import "time"

// eventQueue is the event queue of a discrete-event simulation and its clock. Events are processed by time; those
// at one instant in the order in which they were scheduled. Processed and cancelled events are used again, so that
// memory is bounded by the events that are pending at once. The zero value is an empty queue at time 0.
type eventQueue struct {
	now       time.Duration // simulated time since the start of the run
	lastOrder uint64        // of what was scheduled last
	heap      []queuedEvent // a heap with heapArity children each
	free      []*event
	processed uint64 // events so far
}

// heapArity is the number of children of an entry: a heap of four children is half as deep as a binary one.
const heapArity = 4

// queuedEvent is an entry of the heap. It holds the sort keys itself, so that comparing follows no pointer.
type queuedEvent struct {
	at    time.Duration
	order uint64
	event *event
}

// event is what a handler is called with when its time has come.
type event struct {
	handler    eventHandler
	kind       eventKind
	generation uint32 // number of times it was used: a timer of an earlier use has no effect
	index      int    // in the heap
}

// eventHandler handles the events that were scheduled for it. Frequent events go to methods, since a closure for
// each would be allocated.
type eventHandler interface{ handleEvent(eventKind) }

// eventKind distinguishes the events of one handler.
type eventKind uint8

// onlyEvent is the kind of handlers that have a single kind of event.
const onlyEvent eventKind = 0

// handlerFunc is a function as an eventHandler.
type handlerFunc func()

func (f handlerFunc) handleEvent(eventKind) { f() }

// timer refers to a scheduled event. The zero timer refers to none.
type timer struct {
	event      *event
	generation uint32
}

// pending reports whether the event is still to be processed.
func (t timer) pending() bool { return t.event != nil && t.event.generation == t.generation }

// schedule calls a function after a delay; a negative delay counts as 0.
func (queue *eventQueue) schedule(delay time.Duration, do func()) {
	queue.scheduleEvent(delay, handlerFunc(do), onlyEvent)
}

// scheduleEvent passes an event to a handler after a delay; a negative delay counts as 0.
func (queue *eventQueue) scheduleEvent(delay time.Duration, handler eventHandler, kind eventKind) timer {
	scheduled := queue.newEvent()
	scheduled.handler, scheduled.kind, scheduled.index = handler, kind, len(queue.heap)
	queue.lastOrder++
	queue.heap = append(queue.heap, queuedEvent{queue.now + max(0, delay), queue.lastOrder, scheduled})
	queue.siftUp(scheduled.index)
	return timer{scheduled, scheduled.generation}
}

func (queue *eventQueue) newEvent() *event {
	last := len(queue.free) - 1
	if last < 0 {
		return new(event)
	}
	reused := queue.free[last]
	queue.free = queue.free[:last]
	return reused
}

// cancel removes an event that is still pending.
func (queue *eventQueue) cancel(t timer) {
	if t.pending() {
		queue.removeAt(t.event.index)
	}
}

// reschedule sets a pending event's delay from now, as if it were scheduled anew. It reports false if the event is
// no longer pending.
func (queue *eventQueue) reschedule(t timer, delay time.Duration) bool {
	if !t.pending() {
		return false
	}
	moved := &queue.heap[t.event.index]
	queue.lastOrder++
	moved.at, moved.order = queue.now+max(0, delay), queue.lastOrder
	queue.siftUp(t.event.index)
	queue.siftDown(t.event.index)
	return true
}

// processNext advances the clock to the next event and handles it. It reports false if there is none up to the end.
func (queue *eventQueue) processNext(end time.Duration) bool {
	if len(queue.heap) == 0 || queue.heap[0].at > end {
		return false
	}
	first := queue.heap[0]
	handler, kind := first.event.handler, first.event.kind
	queue.now = first.at
	queue.processed++
	queue.removeAt(0)
	handler.handleEvent(kind)
	return true
}

// removeAt removes an entry and keeps its event for another use.
func (queue *eventQueue) removeAt(i int) {
	removed := queue.heap[i].event
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
	removed.generation++
	removed.handler = nil // for the garbage collector
	queue.free = append(queue.free, removed)
}

func (entry *queuedEvent) before(other *queuedEvent) bool {
	return entry.at < other.at || entry.at == other.at && entry.order < other.order
}

func (queue *eventQueue) siftUp(i int) {
	heap, entry := queue.heap, queue.heap[i]
	for i > 0 {
		parent := (i - 1) / heapArity
		if !entry.before(&heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		heap[i].event.index = i
		i = parent
	}
	heap[i] = entry
	entry.event.index = i
}

func (queue *eventQueue) siftDown(i int) {
	heap, entry := queue.heap, queue.heap[i]
	for {
		least, first := -1, heapArity*i+1
		for child := first; child < min(first+heapArity, len(heap)); child++ {
			if least < 0 || heap[child].before(&heap[least]) {
				least = child
			}
		}
		if least < 0 || !heap[least].before(&entry) {
			break
		}
		heap[i] = heap[least]
		heap[i].event.index = i
		i = least
	}
	heap[i] = entry
	entry.event.index = i
}
