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
type engine struct {
	now    time.Duration
	last   uint64
	queue  []entry // a heap of four children each: half as deep as one of two
	free   []*event
	events uint64 // that have come so far
}

// entry is a place in the heap. It holds what orders it, so that the heap does
// not follow pointers to compare.
type entry struct {
	at    time.Duration
	order uint64
	event *event
}

// event is something that happens to an actor.
type event struct {
	actor actor
	what  what
	use   uint32 // counts how often it was used: a timer of an earlier use is of no effect
	index int    // in the heap
}

// actor is what events happen to. Hot ones are methods and not closures, which
// would be allocated for each event.
type actor interface{ act(what) }

// what says which of an actor's events has come.
type what uint8

// call is an actor that is a function.
type call func()

func (c call) act(what) { c() }

// timer is an event that may still come. The zero timer is of none.
type timer struct {
	event *event
	use   uint32
}

// armed says whether the event is still to come.
func (t timer) armed() bool { return t.event != nil && t.event.use == t.use }

// after lets a function be called; a time of less than 0 stands for now.
func (e *engine) after(d time.Duration, do func()) timer { return e.put(d, call(do), 0) }

// put puts an event into the heap; a time of less than 0 stands for now.
func (e *engine) put(d time.Duration, a actor, w what) timer {
	var x *event
	if n := len(e.free); n > 0 {
		x, e.free = e.free[n-1], e.free[:n-1]
	} else {
		x = new(event)
	}
	x.actor, x.what, x.index = a, w, len(e.queue)
	e.last++
	e.queue = append(e.queue, entry{e.now + max(0, d), e.last, x})
	e.up(x.index)
	return timer{x, x.use}
}

// cancel calls an event off, if it has not come.
func (e *engine) cancel(t timer) {
	if t.armed() {
		e.remove(t.event.index)
	}
}

// move lets an event come at another time, as if it was put there anew; false
// where it has come already.
func (e *engine) move(t timer, d time.Duration) bool {
	if !t.armed() {
		return false
	}
	i := t.event.index
	e.last++
	e.queue[i].at, e.queue[i].order = e.now+max(0, d), e.last
	e.up(i)
	e.down(t.event.index)
	return true
}

// step lets the next event come; false where there is none before the end.
func (e *engine) step(end time.Duration) bool {
	if len(e.queue) == 0 || e.queue[0].at > end {
		return false
	}
	x := e.queue[0]
	a, w := x.event.actor, x.event.what
	e.now = x.at
	e.events++
	e.remove(0)
	a.act(w)
	return true
}

// remove takes an entry out and keeps its event for another use.
func (e *engine) remove(i int) {
	x := e.queue[i].event
	n := len(e.queue) - 1
	last := e.queue[n]
	e.queue[n] = entry{}
	e.queue = e.queue[:n]
	if i < n {
		e.queue[i] = last
		last.event.index = i
		e.up(i)
		e.down(last.event.index)
	}
	x.use++
	x.actor = nil // let go
	e.free = append(e.free, x)
}

func (x *entry) before(o *entry) bool { return x.at < o.at || x.at == o.at && x.order < o.order }

func (e *engine) up(i int) {
	q, x := e.queue, e.queue[i]
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

func (e *engine) down(i int) {
	q, x := e.queue, e.queue[i]
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
