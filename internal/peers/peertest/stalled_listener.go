package peertest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// StalledListener is an address at which no connection is established before AcceptNext is called. A
// connection that is not accepted fills the listener's backlog, so that the kernel drops the SYN of
// every further connection. Clients retransmit the SYN 1 s and 3 s after their first attempt.
type StalledListener struct {
	Addr   string
	fd     int
	filler net.Conn // the connection that fills the backlog
}

// NewStalledListener opens a stalled listener on a free loopback port. It is closed at the end of the
// test.
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

// listenWithoutBacklog listens on a free loopback port with the smallest possible backlog, which holds
// one connection.
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

// AcceptNext allows the next connection to be established, and returns the channel of the requests received
// on that connection. Each request gets a response with status 200. A goroutine serves the connection
// until its client closes it.
func (s *StalledListener) AcceptNext(t testing.TB) <-chan ReceivedRequest {
	t.Helper()
	fillerFD, _, err := syscall.Accept(s.fd)
	if err != nil {
		t.Fatal(err)
	}
	_ = syscall.Close(fillerFD)
	upstream := &RawUpstream{
		Requests: make(chan ReceivedRequest, channelSize),
		Closed:   make(chan net.Conn, channelSize),
	}
	go s.serveNext(upstream)
	return upstream.Requests
}

// serveNext accepts the next connection and serves its requests.
func (s *StalledListener) serveNext(upstream *RawUpstream) {
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
	upstream.serve(conn, RespondWith(Response200("late")))
	conn.Close()
}
