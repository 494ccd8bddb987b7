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
	queue  events
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

type events []*event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q events) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is the heap's.
func (q *events) Push(x any) {
	e := x.(*event)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop is the heap's.
func (q *events) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	old[n] = nil
	*q = old[:n]
	x.index = -1
	return x
}

// stream gives a part its own random numbers: what it draws shifts no other's.
func stream(seed uint64, part string, number int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(number)*0x9e3779b97f4a7c15))
}
