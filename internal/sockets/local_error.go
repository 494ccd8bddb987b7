package sockets

import (
	"errors"
	"syscall"
)

// localErrors are what socket(2), bind(2) and connect(2) fail with where this machine
// lacks something: descriptors, memory, a free port or a route. None says anything of
// the peer. EHOSTUNREACH and ETIMEDOUT do, and are not among them.
var localErrors = [...]syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// ErrConnectionLimit says that as many connections are open as this process allows itself.
var ErrConnectionLimit = errors.New("no room for another connection")

// IsLocalError reports whether opening a connection failed because of this machine
// rather than because of the peer or the network.
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
