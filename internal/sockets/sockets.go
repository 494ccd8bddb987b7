// Package sockets has operations on sockets that package net lacks: looking at a socket
// without reading, closing without a reset, reading under a lock, and a listener that
// outlasts failures of accept(2).
package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// IsIdle reports whether a connection is open and has nothing to read. It does not
// block, nor wait for a reader that is blocked on the connection.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// PeerClosed reports whether the peer has closed the connection or reset it, without
// blocking. Unread bytes hide a close.
func PeerClosed(conn net.Conn) bool {
	count, err := peek(conn)
	if err == nil {
		return count == 0
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// peek returns how many bytes there are to read, 1 at most, and what a read would fail with.
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

// HalfCloser is a connection whose write side can be shut alone.
type HalfCloser interface {
	net.Conn
	CloseWrite() error
}

// LingeringClose closes a connection without losing what was written to the peer: it
// shuts the write side, lingers and closes then. It blocks for timeout at most.
func LingeringClose(conn HalfCloser, timeout time.Duration, maxBytes int64) error {
	if conn.CloseWrite() == nil {
		Linger(conn, timeout, maxBytes)
	}
	return conn.Close()
}

// Linger reads from a connection whose write side was shut, and drops what comes, until
// the peer has closed too, for timeout and maxBytes at most: a close with unread bytes
// resets the connection, and what was written to the peer may still be on its way.
func Linger(conn net.Conn, timeout time.Duration, maxBytes int64) {
	if conn.SetReadDeadline(time.Now().Add(timeout)) == nil {
		_, _ = io.CopyN(io.Discard, readerOnly{conn}, maxBytes)
	}
}

// readerOnly hides what a connection offers beside Read, so that io.CopyN does not splice.
type readerOnly struct{ io.Reader }
