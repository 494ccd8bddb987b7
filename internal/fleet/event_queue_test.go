package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// plainEvent is an event in a plain list, with which the event queue is compared.
type plainEvent struct {
	at      time.Duration
	order   int
	pending bool
}

// earliestEvent returns the index of the pending event that is next; -1 if there is none.
func earliestEvent(list []plainEvent) int {
	earliest := -1
	for i, event := range list {
		if event.pending && (earliest < 0 || event.before(list[earliest])) {
			earliest = i
		}
	}
	return earliest
}

func (event plainEvent) before(other plainEvent) bool {
	return event.at < other.at || event.at == other.at && event.order < other.order
}

// changeEvents cancels and reschedules events of the queue and of the list alike.
func changeEvents(t *testing.T, random *rand.Rand, queue *eventQueue, timers []timer, list []plainEvent) {
	order := len(list)
	for range 200 {
		i := random.IntN(len(list))
		if random.IntN(2) == 0 {
			queue.cancel(timers[i])
			list[i].pending = false
			continue
		}
		if queue.reschedule(timers[i], time.Duration(random.IntN(20))) != list[i].pending {
			t.Fatal("a cancelled event was rescheduled, or a pending one was not")
		}
		if list[i].pending {
			list[i].at, list[i].order = queue.heap[timers[i].event.index].at, order
			order++
		}
	}
}

// Events at one instant are processed in the order in which they were scheduled; one that was cancelled or rescheduled
// is not processed at its old time.
func TestOrderOfEvents(t *testing.T) {
	for seed := range uint64(50) {
		var queue eventQueue
		var got, want []int
		random := randomStream(seed, "order", 0)
		list, timers := make([]plainEvent, 300), make([]timer, 300)
		for i := range list {
			list[i] = plainEvent{time.Duration(random.IntN(20)), i, true}
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
			t.Fatalf("seed %d: %v, want %v", seed, got, want)
		}
	}
}
