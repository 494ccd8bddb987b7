package sockets

import (
	"errors"
	"syscall"
)

// localErrors are the errors of socket(2), bind(2) and connect(2) that are caused by this
// machine: it has no free descriptor, memory or port, no route, or no permission. They contain
// no information about the peer. EHOSTUNREACH and ETIMEDOUT concern the peer and are therefore
// not in the list.
var localErrors = [...]syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// ErrConnectionLimit means that this process has reached its own limit on open connections.
var ErrConnectionLimit = errors.New("connection limit reached")

// IsLocalError reports whether err, from opening a connection, was caused by this machine and
// not by the peer or the network.
func IsLocalError(err error) bool {
	if errors.Is(err, ErrConnectionLimit) {
		return true
	}
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
