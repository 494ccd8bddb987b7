// Package sockets looks at sockets in ways that package net has no call for.
package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Quiet looks at a socket without blocking: nothing to read and not closed. It
// goes past the lock of readers, one of which may be waiting on the socket.
func Quiet(nc net.Conn) bool {
	_, err := peek(nc)
	return errors.Is(err, syscall.EAGAIN)
}

// Left looks whether the other end has closed the connection or reset it, in the
// same way. Bytes that were not read yet hide a close.
func Left(nc net.Conn) bool {
	n, err := peek(nc)
	return n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// peek looks at the next byte: how many there are, of one, and what reading would fail with.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	looked := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(looked, err)
}

// HalfCloser is a connection whose write side can be shut alone.
type HalfCloser interface {
	net.Conn
	CloseWrite() error
}

// End closes a connection without taking from the other end what was written to
// it: it shuts the write side and lingers.
func End(c HalfCloser, within time.Duration, most int64) error {
	if c.CloseWrite() == nil {
		Linger(c, within, most)
	}
	return c.Close()
}

// Linger reads on from a connection whose write side was shut, until the other end has
// closed too, within a time and a number of bytes: a close over bytes that were not
// read resets the connection, and what was written to the other end may be on its way.
// What is read is dropped.
func Linger(c net.Conn, within time.Duration, most int64) {
	if c.SetReadDeadline(time.Now().Add(within)) == nil {
		io.CopyN(io.Discard, onlyReader{c}, most)
	}
}

// onlyReader hides what a connection offers beside Read, so that nothing is spliced.
type onlyReader struct{ io.Reader }
