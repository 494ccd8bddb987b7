package frontend

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"mothridge/internal/sockets"
	"mothridge/pacing"
)

const (
	// newConnectionWeight is the weight of a listener's flow of new connections, which come from many clients.
	newConnectionWeight = 4
	// manyAbandoned is how many clients that leave before they are accepted, within abandonedSpan, are taken for a flood.
	manyAbandoned = 32
	abandonedSpan = 100 * time.Millisecond
	// floodBacklog is how many connections may wait to be accepted during such a flood, and floodMemory for how long after it. It is
	// short, as clients that gave up while the process was held up look like a flood.
	floodBacklog = 256
	floodMemory  = 300 * time.Millisecond
	// minBacklog is how many connections may at least wait to be accepted at other times.
	minBacklog = 512
	// admissionSpan is the time in which all connections that wait to be accepted at a time are admitted, so that a request on each still
	// gets its answer within the time in which that counts.
	admissionSpan = 200 * time.Millisecond
)

// Admission decides which new connections of a listener are served, and when. Admit must not be called concurrently.
type Admission struct {
	pacer    *Pacer // may be nil
	listener *sockets.RetryingListener
	backlog  int // how many connections may wait to be accepted while no flood is seen
	flow     pacing.Flow
	queue    pacing.Queue // of the connections that wait to be accepted

	waits, fullWaits              waitCounter // see AdmissionState
	longestBacklog, backlogLimits atomic.Int64

	abandoned   int       // since countedFrom
	countedFrom time.Time // start of the span in which abandoned connections are counted
	limitedAt   time.Time // when the last flood was seen while the backlog was limited; zero if it is not limited
}

// NewAdmission returns the Admission of a listener that has at most maxConnections open. It limits how many may wait, because
// others wait to be accepted behind all those whose clients have left.
func NewAdmission(pacer *Pacer, listener *sockets.RetryingListener, maxConnections int) *Admission {
	a := &Admission{
		pacer:    pacer,
		listener: listener,
		backlog:  max(minBacklog, maxConnections),
		flow:     pacing.Flow{Weight: newConnectionWeight},
		queue:    pacing.Queue{Span: admissionSpan},
	}
	listener.LimitBacklog(a.backlog)
	return a
}

// Admit blocks until a new connection may be served. It closes the connection and returns false if its client has left,
// whatever it has sent.
func (a *Admission) Admit(conn net.Conn) bool {
	if sockets.HungUp(conn) {
		conn.Close()
		a.recordAbandoned(time.Now())
		a.await(dropConnection, conn)
		return false
	}
	if !a.limitedAt.IsZero() && time.Since(a.limitedAt) > floodMemory {
		a.limitedAt = time.Time{}
		a.listener.LimitBacklog(a.backlog)
		slog.Info("clients no longer leave before they are accepted", "listener", a.listener.Addr(), "backlog", a.backlog)
	}
	a.await(admitConnection, conn)
	return true
}

// await blocks until the listener's flow may go on, and records its wait.
func (a *Admission) await(what activity, conn net.Conn) {
	waited, shouldWait := a.pacer.await(&a.flow, what, conn.RemoteAddr(), a)
	if !shouldWait {
		a.queue.Skip()
	}
	if waited > 0 {
		a.waits.record(waited)
	}
}

// RecordFull records that no new connection was served for a time, as the limit of connections was reached.
func (a *Admission) RecordFull(waited time.Duration) { a.fullWaits.record(waited) }

// maxWait implements waitLimiter. The listener's flow does not wait if the system does not tell how many connections wait
// behind this one.
func (a *Admission) maxWait(now time.Duration) time.Duration {
	waiting, _, known := a.listener.Backlog()
	if !known {
		return 0
	}
	storeMax(&a.longestBacklog, int64(waiting))
	return a.queue.Next(now, waiting)
}

// AdmissionState says how new connections of a listener have waited since the start.
type AdmissionState struct {
	Waited, LongestWait time.Duration // between their accept and their admission, as the process had used its share of a core
	Full, LongestFull   time.Duration // for which none was served, as the limit of connections was reached
	LongestBacklog      int           // largest number of connections that waited to be accepted while the share was used up
	BacklogLimits       int           // times for which the backlog was limited because clients left before they were accepted
}

// State returns how new connections have waited since the start. It may be called concurrently with other methods.
func (a *Admission) State() AdmissionState {
	return AdmissionState{
		Waited:         time.Duration(a.waits.total.Load()),
		LongestWait:    time.Duration(a.waits.longest.Load()),
		Full:           time.Duration(a.fullWaits.total.Load()),
		LongestFull:    time.Duration(a.fullWaits.longest.Load()),
		LongestBacklog: int(a.longestBacklog.Load()),
		BacklogLimits:  int(a.backlogLimits.Load()),
	}
}

// recordAbandoned limits the backlog if many clients connect and leave: other clients wait to be accepted behind all
// of those that have left.
func (a *Admission) recordAbandoned(now time.Time) {
	if now.Sub(a.countedFrom) > abandonedSpan {
		a.countedFrom, a.abandoned = now, 0
	}
	a.abandoned++
	if a.abandoned < manyAbandoned {
		return
	}
	if a.limitedAt.IsZero() {
		a.backlogLimits.Add(1)
		a.listener.LimitBacklog(floodBacklog)
		slog.Warn("clients leave before they are accepted; fewer connections may wait", "listener", a.listener.Addr(), "backlog", floodBacklog)
	}
	a.limitedAt = now
}
