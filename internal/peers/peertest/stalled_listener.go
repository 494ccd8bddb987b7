package peertest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// StalledListener is an address at which connections are not established before Admit. One
// connection that is not accepted fills the listener's backlog, so that the kernel drops the SYN of
// further ones; their clients retransmit it 1 s and 3 s after they began.
type StalledListener struct {
	Addr   string
	fd     int
	filler net.Conn // fills the backlog
}

// NewStalledListener opens one on a free loopback port. It is closed at the end of the test.
func NewStalledListener(t testing.TB) *StalledListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := &StalledListener{fd: fd}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if s.Addr, err = listenWithoutBacklog(fd); err != nil {
		t.Fatal(err)
	}
	if s.filler, err = new(net.Dialer).DialContext(t.Context(), "tcp", s.Addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.filler.Close() })
	return s
}

// listenWithoutBacklog listens on a free loopback port with the smallest backlog, of one connection.
func listenWithoutBacklog(fd int) (addr string, err error) {
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, loopback), syscall.Listen(fd, 0)); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}

// Admit lets the next connection be established. It returns the requests that are received on it;
// each is responded to with 200. A goroutine serves the connection until its client closes it.
func (s *StalledListener) Admit(t testing.TB) <-chan Received {
	t.Helper()
	fillerFD, _, err := syscall.Accept(s.fd)
	if err != nil {
		t.Fatal(err)
	}
	_ = syscall.Close(fillerFD)
	upstream := &Upstream{
		Requests: make(chan Received, channelSize),
		Closed:   make(chan net.Conn, channelSize),
	}
	go s.serveNext(upstream)
	return upstream.Requests
}

func (s *StalledListener) serveNext(upstream *Upstream) {
	fd, _, err := syscall.Accept(s.fd)
	if err != nil {
		return
	}
	file := os.NewFile(uintptr(fd), "late")
	conn, err := net.FileConn(file)
	file.Close()
	if err != nil {
		return
	}
	upstream.serve(conn, Always(Answer200("late")))
	conn.Close()
}
