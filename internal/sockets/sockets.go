// Package sockets looks at sockets in ways that package net has no call for.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// Quiet looks at a socket without blocking: nothing to read and not closed. It
// goes past the lock of readers, one of which may be waiting on the socket.
func Quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && still
}
