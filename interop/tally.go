package main

import (
	"fmt"
	"sync/atomic"
)

// ending is what became of a request, as its client saw it.
type ending int

const (
	asked      ending = iota
	served            // with the answer that was made for it
	refused           // and told when to come back
	failedOnce        // with no promise about its effect
	rejected          // as wrong
	abandoned         // by the client itself
	lost              // no answer
	endings
)

// tally counts the requests of a scenario. It is safe for concurrent use.
type tally struct {
	n    [endings]atomic.Int64
	last atomic.Pointer[error] // of a request that was lost
}

// lose counts a lost request and keeps why.
func (t *tally) lose(err error) {
	t.last.Store(&err)
	t.add(lost)
}

func (t *tally) add(e ending) { t.n[e].Add(1) }

func (t *tally) counts() (c [endings]int64) {
	for i := range t.n {
		c[i] = t.n[i].Load()
	}
	return c
}

// check sees that each request that was asked ended once, and none was lost.
func (t *tally) check() error {
	c := t.counts()
	sum := int64(0)
	for _, n := range c[served:] {
		sum += n
	}
	switch {
	case c[asked] == 0:
		return fmt.Errorf("nothing was asked")
	case sum != c[asked]:
		return fmt.Errorf("%d asked and %d ended", c[asked], sum)
	case c[lost] > 0 && t.last.Load() != nil:
		return fmt.Errorf("%d lost, the last by: %w", c[lost], *t.last.Load())
	case c[lost] > 0:
		return fmt.Errorf("%d lost", c[lost])
	}
	return nil
}

// want sees that an ending came as often as it should, at least.
func (t *tally) want(e ending, name string, least int64) error {
	if n := t.n[e].Load(); n < least {
		return fmt.Errorf("%d %s, at least %d are meant", n, name, least)
	}
	return nil
}
