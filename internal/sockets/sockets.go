// Package sockets provides socket operations that package net lacks: checking the state of a
// socket without reading from it, closing a connection without a reset, reading while holding a
// lock, and a listener that retries after failures of accept(2).
package sockets

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsIdle reports whether a connection is open and has no bytes to read. IsIdle does not block,
// even if another goroutine is blocked in a read from the connection.
func IsIdle(conn net.Conn) bool {
	return Inspect(conn) == Idle
}

// PeerClosed reports, without blocking, whether the peer has closed or reset the connection, or its write side, also while
// the connection has unread bytes. A close behind more bytes than the system receives unread is not visible.
func PeerClosed(conn net.Conn) bool {
	switch Inspect(conn) {
	case Closed, Reset:
		return true
	case Readable:
		return HungUp(conn)
	default:
		return false
	}
}

// HungUp reports, without blocking, whether the peer has closed the connection or its write side, whatever is unread. It returns false if the
// system does not tell.
func HungUp(conn net.Conn) (hungUp bool) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(polled, 0)
		hungUp = err == nil && count > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
	})
	return hungUp
}

// State is what can be seen of a connection without reading from it.
type State int

// The states of a connection.
const (
	Idle     State = iota // open, without bytes to read
	Readable              // there are bytes to read, or the state could not be read
	Closed                // closed by the peer, or broken
	Reset                 // reset by the peer
)

// Inspect returns the state of a connection. It does not block. The system reports a reset only once: later
// calls return Closed.
func Inspect(conn net.Conn) State {
	count, err := peek(conn)
	switch {
	case err == nil && count > 0, errors.Is(err, syscall.EINTR):
		return Readable
	case errors.Is(err, syscall.EAGAIN):
		return Idle
	case errors.Is(err, syscall.ECONNRESET):
		return Reset
	}
	return Closed
}

// maxSinceReceived is the longest time that sinceLastReceived reports. The system reports longer ones if nothing was received.
const maxSinceReceived = 10 * time.Second

// sinceLastReceived returns how long ago the system last received bytes on a connection; 0 if it does not tell.
func sinceLastReceived(raw syscall.RawConn) (since time.Duration) {
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if since > maxSinceReceived {
		return 0
	}
	return since
}

// IsRefused reports whether err, from opening a connection, means that no process listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsReset reports whether err, from reading or writing, means that the peer has reset the connection. Writing fails with EPIPE if
// the reset was reported before.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// peek returns how many bytes are available to read, at most 1, and the error that a read would
// return. It does not block and leaves the bytes unread.
func peek(conn net.Conn) (count int, err error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, err = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return count, errors.Join(controlErr, err)
}

// HalfCloser is a connection whose write side can be closed separately.
type HalfCloser interface {
	net.Conn
	CloseWrite() error
}

// LingeringClose closes a connection without losing bytes that were written to the peer: it
// closes the write side, calls Linger, and then closes the connection. It blocks for at most
// timeout.
func LingeringClose(conn HalfCloser, timeout time.Duration, maxBytes int64) error {
	if conn.CloseWrite() == nil {
		Linger(conn, timeout, maxBytes)
	}
	return conn.Close()
}

// lingerChunkBytes is how many bytes Linger reads at a time.
const lingerChunkBytes = 16 << 10

var lingerChunks = sync.Pool{New: func() any { return new([lingerChunkBytes]byte) }}

// Linger reads from a connection whose write side was closed, and drops the bytes, until the
// peer has closed its side too. It reads for at most timeout and at most maxBytes. Without Linger,
// a close with unread bytes would reset the connection, and the peer could lose bytes that are
// still in transit.
func Linger(conn net.Conn, timeout time.Duration, maxBytes int64) {
	if conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	chunk := lingerChunks.Get().(*[lingerChunkBytes]byte)
	defer lingerChunks.Put(chunk)
	for read := int64(0); read < maxBytes; {
		count, err := conn.Read(chunk[:])
		if err != nil {
			return
		}
		read += int64(count)
	}
}
