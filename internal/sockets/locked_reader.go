package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// LockedReader reads from a connection and reports the number of bytes read, both while it
// holds the same lock. Code that holds the lock can therefore rely on every read being reported,
// and code that closes the connection under the lock knows that no bytes are read afterwards.
// The lock is not held while a read waits for bytes.
//
// Read must not be called concurrently.
type LockedReader struct {
	conn   net.Conn
	lock   sync.Locker
	onRead func(count int) (accepted bool)
	raw    syscall.RawConn // nil if conn has no descriptor

	waiting bool // Read waits and has found no bytes; guarded by lock

	// Used only by the goroutine that calls Read.
	drainedAt time.Time // when a read last left no bytes unread
	arrivedAt time.Time // see EarliestArrival
}

// NewLockedReader returns a LockedReader for conn. Each read calls onRead with the number of
// bytes read, while holding the lock. If onRead returns false, the bytes are dropped and Read
// returns net.ErrClosed. If conn has no descriptor, the read itself happens without the lock, and
// only the call of onRead holds it.
func NewLockedReader(conn net.Conn, lock sync.Locker, onRead func(count int) (accepted bool)) *LockedReader {
	reader := &LockedReader{conn: conn, lock: lock, onRead: onRead}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			reader.raw = raw
		}
	}
	return reader
}

// Read reads the available bytes. If there are none, Read blocks until bytes arrive or the connection's read deadline
// passes. Bytes that arrived before the process has noticed the deadline are read after it.
func (reader *LockedReader) Read(buffer []byte) (int, error) {
	var count int
	var accepted bool
	var err error
	if reader.raw != nil {
		count, accepted, err = reader.readRaw(buffer)
	} else {
		count, accepted, err = reader.readConn(buffer)
	}
	if !accepted {
		return 0, net.ErrClosed
	}
	return count, err
}

// readConn reads without the lock, then reports the read while holding the lock.
func (reader *LockedReader) readConn(buffer []byte) (count int, accepted bool, err error) {
	count, err = reader.conn.Read(buffer)
	reader.lock.Lock()
	defer reader.lock.Unlock()
	return count, reader.onRead(count), err
}

// readRaw reads from the descriptor and reports the read, both while holding the lock.
func (reader *LockedReader) readRaw(buffer []byte) (count int, accepted bool, err error) {
	accepted = true
	awaited := false // a read of this call has found no bytes
	readAvailable := func(descriptor uintptr) (done bool) {
		reader.lock.Lock()
		defer reader.lock.Unlock()
		count, err = readNonblocking(int(descriptor), buffer)
		reader.recordArrival(time.Now(), count < len(buffer), awaited)
		reader.waiting = errors.Is(err, syscall.EAGAIN)
		if reader.waiting {
			awaited = true
			return false
		}
		accepted = reader.onRead(count)
		return true
	}
	waitErr := reader.raw.Read(readAvailable)
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		waitErr = reader.readAfterDeadline(readAvailable, waitErr)
	}
	switch {
	case waitErr != nil:
		return 0, accepted, waitErr
	case count == 0 && err == nil && len(buffer) > 0:
		return 0, accepted, io.EOF
	}
	return count, accepted, err
}

// recordArrival records a read at now. drained says that it left no bytes unread, and awaited that Read was waiting for them.
func (reader *LockedReader) recordArrival(now time.Time, drained, awaited bool) {
	switch {
	case awaited:
		reader.arrivedAt = now
	case reader.drainedAt.IsZero(): // the connection may have waited to be accepted
		reader.arrivedAt = now.Add(-sinceLastReceived(reader.raw))
	default:
		reader.arrivedAt = reader.drainedAt
	}
	if drained || awaited { // what is unread after an awaited read has arrived with its bytes
		reader.drainedAt = now
	}
}

// EarliestArrival returns the earliest time at which the bytes of the last read can have arrived, if that was before now: they
// may have waited while the reader did something else. It must be called on the goroutine that calls Read.
func (reader *LockedReader) EarliestArrival(now time.Time) time.Time {
	if reader.raw == nil || reader.arrivedAt.IsZero() || reader.arrivedAt.After(now) {
		return now
	}
	return reader.arrivedAt
}

// AwaitsPeerLocked reports whether only the peer can make progress: Read waits, so that all bytes that were read
// before have been handled, and no bytes are unread. If the process was paused or has little processor time, it
// may not have read or handled bytes for some time, which says nothing about the peer. The caller holds the lock.
func (reader *LockedReader) AwaitsPeerLocked() bool {
	return reader.waiting && Inspect(reader.conn) != Readable
}

// readAfterDeadline calls readAvailable once, and returns the error of the wait if there are no bytes. If the process was
// paused, the deadline may have passed while whole requests waited in the kernel.
func (reader *LockedReader) readAfterDeadline(readAvailable func(uintptr) bool, waitErr error) error {
	read := false
	controlErr := reader.raw.Control(func(descriptor uintptr) { read = readAvailable(descriptor) })
	if controlErr != nil || !read {
		return waitErr
	}
	return nil
}

// readNonblocking reads the available bytes; it returns EAGAIN if there are none.
func readNonblocking(descriptor int, buffer []byte) (int, error) {
	for {
		count, err := syscall.Read(descriptor, buffer)
		if !errors.Is(err, syscall.EINTR) {
			return max(count, 0), err
		}
	}
}
