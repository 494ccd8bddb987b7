package main

import (
	"fmt"
	"sync/atomic"
)

// outcome is how a request ended, as its client saw it.
type outcome int

const (
	sent           outcome = iota // not an outcome itself: the number of requests that were sent
	served                        // the response has the body that was made for this request
	rejected                      // the client may retry after the pause that the response gives
	requestFailed                 // the request may or may not have been executed
	invalidRequest                // the request was invalid
	abandoned                     // the client gave up or cancelled the request
	lost                          // no response, or one that matches no other outcome
	outcomeCount
)

// tally counts the requests of a scenario. It is safe for concurrent use.
type tally struct {
	count     [outcomeCount]atomic.Int64
	lastError atomic.Pointer[error] // of the last lost request whose error was passed to addLost
}

// addLost counts a lost request and keeps its error.
func (t *tally) addLost(err error) {
	t.lastError.Store(&err)
	t.add(lost)
}

func (t *tally) add(o outcome) { t.count[o].Add(1) }

func (t *tally) counts() (totals [outcomeCount]int64) {
	for i := range t.count {
		totals[i] = t.count[i].Load()
	}
	return totals
}

// check returns an error unless every request that was sent has exactly one outcome and none is lost.
func (t *tally) check() error {
	totals := t.counts()
	sum := int64(0)
	for _, n := range totals[served:] {
		sum += n
	}
	switch {
	case totals[sent] == 0:
		return fmt.Errorf("no request was sent")
	case sum != totals[sent]:
		return fmt.Errorf("%d requests were sent, but %d outcomes were counted", totals[sent], sum)
	case totals[lost] > 0 && t.lastError.Load() != nil:
		return fmt.Errorf("%d requests were lost, the last with error: %w", totals[lost], *t.lastError.Load())
	case totals[lost] > 0:
		return fmt.Errorf("%d requests were lost", totals[lost])
	}
	return nil
}

// requireAtLeast returns an error if an outcome was counted less often than least.
func (t *tally) requireAtLeast(o outcome, name string, least int64) error {
	if count := t.count[o].Load(); count < least {
		return fmt.Errorf("got %d requests %s, want at least %d", count, name, least)
	}
	return nil
}
