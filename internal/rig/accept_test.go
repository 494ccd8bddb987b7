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

// failingListener returns each of its errors from Accept in order, and accepts connections after that.
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

// An error of accept(2) that concerns one failed connection, or a temporary lack of a resource, does not
// end the service. The test guards against a sidecar that stops serving after such an error.
func TestAcceptErrorsAreRetried(t *testing.T) {
	for _, front := range []peers.Protocol{peers.HTTP, peers.RPC} {
		for _, errno := range []syscall.Errno{
			syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
			syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.EPERM, syscall.ENETDOWN,
		} {
			t.Run(fmt.Sprintf("%s/%s", front, errno), func(t *testing.T) {
				t.Parallel()
				testAcceptError(t, front, errno)
			})
		}
	}
}

func testAcceptError(t *testing.T, front peers.Protocol, errno syscall.Errno) {
	rig, err := Start(Options{ClientProtocol: front, NodeCount: 1, WrapListener: func(listener *net.TCPListener) net.Listener {
		return &failingListener{TCPListener: listener, errs: []error{errno, errno, errno}}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	client := rig.Client()
	defer client.Close()
	for i := range 5 {
		call := peers.Call{
			ID: fmt.Sprint(i), Class: NonIdempotent, NotIdempotent: true, Tenant: Tenant(0), Timeout: RequestTimeout,
		}
		if got := client.Do(t.Context(), call); got.Outcome != peers.Served {
			t.Errorf("request %d: got %+v, want outcome served", i, got)
		}
	}
	select {
	case err := <-rig.Ended():
		t.Fatalf("after the accept errors: the sidecar ended with error %v, want it running", err)
	default:
	}
}
