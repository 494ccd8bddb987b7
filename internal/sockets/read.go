package sockets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// NotingReader reads from a connection and notes what came in the same moment: nobody
// who holds the lock sees bytes that were read and not noted. Whoever shuts the
// connection under that lock can tell what was read before from what comes after.
type NotingReader struct {
	conn net.Conn
	lock sync.Locker
	note func(n int) (taken bool)
	raw  syscall.RawConn
}

// NewNotingReader makes one. note is called under the lock with the number of bytes that
// were read; where it returns false they are dropped, and Read fails with net.ErrClosed.
// A connection that has no descriptor is read first and noted then.
func NewNotingReader(conn net.Conn, lock sync.Locker, note func(n int) (taken bool)) *NotingReader {
	r := &NotingReader{conn: conn, lock: lock, note: note}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// Read reads what there is, or waits for something up to the connection's deadline.
func (r *NotingReader) Read(b []byte) (int, error) {
	n, taken, err := 0, true, error(nil)
	if r.raw == nil {
		n, err = r.conn.Read(b)
		r.lock.Lock()
		taken = r.note(n)
		r.lock.Unlock()
	} else {
		waited := r.raw.Read(func(fd uintptr) bool {
			r.lock.Lock()
			defer r.lock.Unlock()
			n, err = readNow(int(fd), b)
			if errors.Is(err, syscall.EAGAIN) {
				return false
			}
			taken = r.note(n)
			return true
		})
		switch {
		case waited != nil:
			n, err = 0, waited
		case n == 0 && err == nil && len(b) > 0:
			err = io.EOF
		}
	}
	if !taken {
		return 0, net.ErrClosed
	}
	return n, err
}

// readNow reads what is there.
func readNow(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
