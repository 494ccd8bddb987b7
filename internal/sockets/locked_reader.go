package sockets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// LockedReader reads from a connection and reports what came under the same lock: who
// holds the lock sees no bytes that were read and not reported. Code that shuts the
// connection down under that lock knows that nothing was read after it.
// The lock is not held while a read waits for bytes.
//
// One goroutine at a time may call Read.
type LockedReader struct {
	conn   net.Conn
	lock   sync.Locker
	onRead func(count int) (accepted bool)
	raw    syscall.RawConn // nil where conn has no descriptor
}

// NewLockedReader makes one. onRead is called under the lock with the number of bytes that
// were read; where it returns false they are dropped, and Read fails with net.ErrClosed.
// A connection that has no descriptor is read first and reported then.
func NewLockedReader(conn net.Conn, lock sync.Locker, onRead func(count int) (accepted bool)) *LockedReader {
	reader := &LockedReader{conn: conn, lock: lock, onRead: onRead}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			reader.raw = raw
		}
	}
	return reader
}

// Read reads the bytes that are there, or blocks for some up to the connection's deadline.
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

// readConn reads first and reports then.
func (reader *LockedReader) readConn(buffer []byte) (count int, accepted bool, err error) {
	count, err = reader.conn.Read(buffer)
	reader.lock.Lock()
	defer reader.lock.Unlock()
	return count, reader.onRead(count), err
}

// readRaw reads and reports under the lock.
func (reader *LockedReader) readRaw(buffer []byte) (count int, accepted bool, err error) {
	accepted = true
	waitErr := reader.raw.Read(func(descriptor uintptr) (done bool) {
		reader.lock.Lock()
		defer reader.lock.Unlock()
		count, err = readNonblocking(int(descriptor), buffer)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		accepted = reader.onRead(count)
		return true
	})
	switch {
	case waitErr != nil:
		return 0, accepted, waitErr
	case count == 0 && err == nil && len(buffer) > 0:
		return 0, accepted, io.EOF
	}
	return count, accepted, err
}

// readNonblocking reads what is there; EAGAIN where there is nothing.
func readNonblocking(descriptor int, buffer []byte) (int, error) {
	for {
		count, err := syscall.Read(descriptor, buffer)
		if !errors.Is(err, syscall.EINTR) {
			return max(count, 0), err
		}
	}
}
