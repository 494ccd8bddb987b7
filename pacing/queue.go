package pacing

import (
	"cmp"
	"time"
)

// Queue bounds how long the members of a queue wait for processor time if they wait one after the other, such as new connections
// that one goroutine accepts: all that are in the queue at a time go on within Span. Each member then waits for at most twice
// that, however long the queue is. Its methods must not be called concurrently.
type Queue struct {
	// Span is the time in which all members of a queue go on; 0 means MaxWait.
	Span time.Duration

	left  int           // members of the current batch that have not gone on yet
	endAt time.Duration // when the last of them has to
}

// Next returns for how long the next member of the queue may wait at now, of which further members are behind it; 0 if not at all. Either
// Next or Skip must be called for each member.
func (q *Queue) Next(now time.Duration, behind int) (maxWait time.Duration) {
	if q.left == 0 {
		q.left, q.endAt = behind+1, now+cmp.Or(q.Span, MaxWait)
	}
	maxWait = (q.endAt - now) / time.Duration(q.left)
	q.left--
	if maxWait < minTick { // too short to be waited for; the others have more
		return 0
	}
	return maxWait
}

// Skip records that the next member of the queue need not wait.
func (q *Queue) Skip() { q.left = max(0, q.left-1) }
