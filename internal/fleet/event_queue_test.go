package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// listedEvent is an event in an unsorted list, against which the event queue is checked.
type listedEvent struct {
	at      time.Duration
	order   int
	pending bool
}

// earliestEvent returns the index of the pending event that is due first; -1 if no event is pending.
func earliestEvent(list []listedEvent) int {
	earliest := -1
	for i, event := range list {
		if event.pending && (earliest < 0 || event.before(list[earliest])) {
			earliest = i
		}
	}
	return earliest
}

func (event listedEvent) before(other listedEvent) bool {
	return event.at < other.at || event.at == other.at && event.order < other.order
}

// changeEvents cancels and reschedules random events, the same events in the queue and in the list.
func changeEvents(t *testing.T, random *rand.Rand, queue *eventQueue, timers []timer, list []listedEvent) {
	order := len(list)
	for range 200 {
		i := random.IntN(len(list))
		if random.IntN(2) == 0 {
			queue.cancel(timers[i])
			list[i].pending = false
			continue
		}
		if queue.reschedule(timers[i], time.Duration(random.IntN(20))) != list[i].pending {
			t.Fatal("reschedule: got success for a cancelled event, or failure for a pending event")
		}
		if list[i].pending {
			list[i].at, list[i].order = queue.heap[timers[i].event.index].at, order
			order++
		}
	}
}

// Events at the same time are processed in the order in which they were scheduled. An event that was cancelled or
// rescheduled is not processed at its old time.
func TestEventOrder(t *testing.T) {
	for seed := range uint64(50) {
		var queue eventQueue
		var got, want []int
		random := randomStream(seed, "order", 0)
		list, timers := make([]listedEvent, 300), make([]timer, 300)
		for i := range list {
			list[i] = listedEvent{time.Duration(random.IntN(20)), i, true}
			processed := func() { got = append(got, i) }
			timers[i] = queue.scheduleEvent(list[i].at, handlerFunc(processed), onlyEvent)
		}
		changeEvents(t, random, &queue, timers, list)
		for next := earliestEvent(list); next >= 0; next = earliestEvent(list) {
			list[next].pending = false
			want = append(want, next)
		}
		for queue.processNext(time.Minute) {
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: got order %v, want %v", seed, got, want)
		}
	}
}
