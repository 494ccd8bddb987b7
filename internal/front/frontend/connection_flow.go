package frontend

import (
	"net"
	"time"

	"mothridge/pacing"
)

// maxBoundedBacklog is how many messages may wait on a connection behind another one so that all of them go on within pacing.MaxWait. A
// client with more of them sends at full speed, and each of its messages may wait for that time.
const maxBoundedBacklog = 8

// unbounded is a number of pending messages that do not wait together.
const unbounded = maxBoundedBacklog + 1

// ConnectionFlow paces what a client sends on its connection: see Pacer. Its methods must not be called concurrently. Its zero value,
// and one without a Pacer, makes nobody wait.
type ConnectionFlow struct {
	pacer  *Pacer // may be nil
	client net.Addr
	flow   pacing.Flow
	queue  pacing.Queue // of the messages that are not handled yet

	pending   int  // messages that have been received behind the one that is about to be handled; unbounded if they do not wait together
	hasWaited bool // the next read has nothing to wait for: it follows a message, or the connection was admitted
}

// NewConnectionFlow returns the flow of a client's new connection, which an Admission has admitted.
func (p *Pacer) NewConnectionFlow(client net.Addr) ConnectionFlow {
	if p == nil {
		return ConnectionFlow{}
	}
	return ConnectionFlow{pacer: p, client: client, flow: pacing.NewFlow(p.now()), hasWaited: true}
}

// AwaitMessage blocks until a message may be handled. pending is how many have been received behind it.
func (f *ConnectionFlow) AwaitMessage(pending int) {
	f.pending = pending
	if _, shouldWait := f.pacer.await(&f.flow, handleMessage, f.client, f); !shouldWait {
		f.queue.Skip()
	}
	f.hasWaited = true
}

// AwaitRead blocks until the connection may be read from. The first read of a message does not wait once more, so that only clients
// that write few bytes at a time wait for their reads.
func (f *ConnectionFlow) AwaitRead() {
	if f.hasWaited {
		f.hasWaited = false
		f.ChargeRead()
		return
	}
	f.await(read)
}

// AwaitReadAhead blocks until more may be read of what the client sends behind a request that is being served.
func (f *ConnectionFlow) AwaitReadAhead() { f.await(readAhead) }

func (f *ConnectionFlow) await(what activity) {
	f.pending = unbounded
	f.pacer.await(&f.flow, what, f.client, f)
}

// maxWait implements waitLimiter.
func (f *ConnectionFlow) maxWait(now time.Duration) time.Duration {
	if f.pending >= unbounded {
		return pacing.MaxWait
	}
	return f.queue.Next(now, f.pending)
}

// ChargeRead counts a read that does not wait.
func (f *ConnectionFlow) ChargeRead() { f.pacer.charge(&f.flow, activityCosts[read]) }

// RecordUseless records that the last message could not be served, whatever the state of the program: it was invalid, or beyond a
// limit on its connection.
func (f *ConnectionFlow) RecordUseless() { f.pacer.charge(&f.flow, uselessPenalty) }
