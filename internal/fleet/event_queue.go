package fleet

import "time"

// eventQueue is the event queue and the clock of a discrete-event simulation. Events are processed in order of time,
// and events at the same time in the order in which they were scheduled. Processed and cancelled events are reused, so
// that memory is bounded by the number of events that are pending at once. The zero value is an empty queue at time 0.
type eventQueue struct {
	now       time.Duration // simulated time since the start of the run
	lastOrder uint64        // order number that was given out last
	heap      []queuedEvent // a heap in which each entry has up to heapArity children
	free      []*event
	processed uint64 // number of events processed so far
}

// heapArity is the number of children of a heap entry. With four children per entry the heap is half as deep as a
// binary heap.
const heapArity = 4

// queuedEvent is an entry of the heap. It contains the sort keys, so that a comparison follows no pointer.
type queuedEvent struct {
	at    time.Duration
	order uint64
	event *event
}

// event is a scheduled call of a handler.
type event struct {
	handler    eventHandler
	kind       eventKind
	generation uint32 // number of earlier uses; a timer of an earlier use has no effect
	index      int    // position in the heap
}

// eventHandler handles the events that were scheduled for it. Frequent events are handled by methods, since a closure
// for each event would have to be allocated.
type eventHandler interface{ handleEvent(eventKind) }

// eventKind distinguishes the events of one handler.
type eventKind uint8

// onlyEvent is the kind of handlers that have a single kind of event.
const onlyEvent eventKind = 0

// handlerFunc adapts a function to eventHandler.
type handlerFunc func()

func (f handlerFunc) handleEvent(eventKind) { f() }

// timer refers to a scheduled event. The zero timer refers to no event.
type timer struct {
	event      *event
	generation uint32
}

// pending reports whether the event has been neither processed nor cancelled.
func (t timer) pending() bool { return t.event != nil && t.event.generation == t.generation }

// schedule calls a function after a delay; a negative delay counts as 0.
func (queue *eventQueue) schedule(delay time.Duration, do func()) {
	queue.scheduleEvent(delay, handlerFunc(do), onlyEvent)
}

// scheduleEvent calls a handler with an event kind after a delay; a negative delay counts as 0.
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

// cancel removes an event if it is still pending.
func (queue *eventQueue) cancel(t timer) {
	if t.pending() {
		queue.removeAt(t.event.index)
	}
}

// reschedule changes the delay of a pending event, counted from now, and orders the event as if it had just been
// scheduled. It reports false if the event is no longer pending.
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

// processNext advances the clock to the next event and handles the event. It reports false if no event is due up to
// the end.
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

// removeAt removes an entry and keeps its event for reuse.
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
