package rig

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"mothridge/internal/peers"
)

// failingListener fails to accept with each error in turn before it accepts at all.
type failingListener struct {
	*net.TCPListener
	errs []error
	next atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if i := int(l.next.Add(1)) - 1; i < len(l.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errs[i])}
	}
	return l.TCPListener.Accept()
}

// What accept(2) says of a connection that came to nothing, or of a machine that is
// out of something, does not end service.
func TestFailedAcceptsAreWaitedOut(t *testing.T) {
	for _, front := range []peers.Protocol{peers.HTTP, peers.RPC} {
		for _, errno := range []syscall.Errno{
			syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
			syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.EPERM, syscall.ENETDOWN,
		} {
			t.Run(fmt.Sprintf("%s/%s", front, errno), func(t *testing.T) {
				t.Parallel()
				r, err := Start(Options{Front: front, Number: 1, Listener: func(ln *net.TCPListener) net.Listener {
					return &failingListener{TCPListener: ln, errs: []error{errno, errno, errno}}
				}})
				if err != nil {
					t.Fatal(err)
				}
				defer r.Close()
				c := r.Client()
				defer c.Close()
				for i := range 5 {
					if got := c.Do(t.Context(), peers.Call{ID: fmt.Sprint(i), Class: Once, NotIdempotent: true, Tenant: Tenant(0), Timeout: Deadline}); got.Outcome != peers.Served {
						t.Errorf("request %d: %+v", i, got)
					}
				}
				select {
				case err := <-r.Ended():
					t.Fatalf("service ended: %v", err)
				default:
				}
			})
		}
	}
}
