// Package fleet is a model of a fleet in simulated time: clients, sidecars that
// decide by the real decision module, a network and nodes. A run is a pure
// function of its Scenario, its seed among it: no goroutine, no clock and no
// input but that. How it models and why: docs/design/laboratory.md.
package fleet

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// engine is the heap of events. Two at one instant come in the order in which
// they were put there.
type engine struct {
	now    time.Duration
	last   uint64
	queue  heapOf[*event]
	events uint64 // that have come so far
}

// event is something that happens at a time. It can be called off.
type event struct {
	at    time.Duration
	order uint64
	do    func()
	index int // in the heap; -1: it has come, or was called off
}

// after puts an event into the heap; a time of less than 0 stands for now.
func (e *engine) after(d time.Duration, do func()) *event {
	e.last++
	x := &event{at: e.now + max(0, d), order: e.last, do: do}
	heap.Push(&e.queue, x)
	return x
}

// cancel calls an event off, if it has not come.
func (e *engine) cancel(x *event) {
	if x != nil && x.index >= 0 {
		heap.Remove(&e.queue, x.index)
	}
}

// step lets the next event come; false where there is none before the end.
func (e *engine) step(end time.Duration) bool {
	if len(e.queue) == 0 || e.queue[0].at > end {
		return false
	}
	x := heap.Pop(&e.queue).(*event)
	e.now = x.at
	e.events++
	x.do()
	return true
}

func (e *event) before(o *event) bool {
	return e.at < o.at || e.at == o.at && e.order < o.order
}

func (e *event) place(i int) { e.index = i }

// ordered is what a heap holds: each knows its place, so that it can be taken out.
type ordered[T any] interface {
	before(T) bool
	place(int) // -1: it is out
}

// heapOf is a heap of container/heap, the one that is before all others first.
type heapOf[T ordered[T]] []T

func (q heapOf[T]) Len() int { return len(q) }

func (q heapOf[T]) Less(i, j int) bool { return q[i].before(q[j]) }

func (q heapOf[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place(i)
	q[j].place(j)
}

// Push is container/heap's.
func (q *heapOf[T]) Push(x any) {
	x.(T).place(len(*q))
	*q = append(*q, x.(T))
}

// Pop is container/heap's.
func (q *heapOf[T]) Pop() any {
	var none T
	n := len(*q) - 1
	x := (*q)[n]
	(*q)[n] = none // let go
	*q = (*q)[:n]
	x.place(-1)
	return x
}

// stream gives a part its own random numbers: what it draws shifts no other's.
func stream(seed uint64, part string, number int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(number)*0x9e3779b97f4a7c15))
}

// draw draws a number under n by the shares.
func draw(rng *rand.Rand, n int, share func(i int) float64) int {
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
