package sockets

import (
	"errors"
	"syscall"
)

// localErrors are what socket(2), bind(2) and connect(2) fail with where it is this
// machine that lacks something: descriptors, memory, a free port or a route. None says
// anything of the other end. EHOSTUNREACH and ETIMEDOUT do: somebody on the way there
// answered, or the other end did not.
var localErrors = [...]syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// ErrNoRoom says that as many connections are open as this process allows itself.
var ErrNoRoom = errors.New("no room for another connection")

// Local says whether an error of opening a connection is this machine's own.
func Local(err error) bool {
	if errors.Is(err, ErrNoRoom) {
		return true
	}
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
