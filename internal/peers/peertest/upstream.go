package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// channelSize is the buffer size of a RawUpstream's channels. The buffers allow a test to leave channels
// unread.
const channelSize = 100

// ReceivedRequest is a request that a RawUpstream has read.
type ReceivedRequest struct {
	*http.Request
	BodyText string   // the body
	Conn     net.Conn // the connection on which the request was received
}

// RawUpstream is an upstream that writes raw HTTP: it passes each request to the test and writes the bytes
// that its Respond returns. One goroutine accepts connections and starts a goroutine for each
// connection.
type RawUpstream struct {
	Addr     string
	Requests chan ReceivedRequest
	Accepted chan net.Conn
	Closed   chan net.Conn // connections that the other side closed, or that received invalid HTTP
}

// Respond returns the bytes to write for a request, and whether to close the connection after writing
// them.
type Respond func(request ReceivedRequest) (text string, closeConn bool)

// Response200 returns an HTTP/1.1 response with status 200 and a body.
func Response200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// RespondWith returns a Respond that writes the same bytes for each request and keeps the connection open.
func RespondWith(text string) Respond {
	return func(ReceivedRequest) (string, bool) { return text, false }
}

// NewUpstream starts an upstream on a free loopback port. It stops at the end of the test.
func NewUpstream(t testing.TB, respond Respond) *RawUpstream {
	t.Helper()
	listener := Listen(t)
	u := &RawUpstream{
		Addr:     listener.Addr().String(),
		Requests: make(chan ReceivedRequest, channelSize),
		Accepted: make(chan net.Conn, channelSize),
		Closed:   make(chan net.Conn, channelSize),
	}
	go u.accept(t, listener, respond)
	return u
}

func (u *RawUpstream) accept(t testing.TB, listener net.Listener, respond Respond) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
		u.Accepted <- conn
		go u.serve(conn, respond)
	}
}

// serve responds to the requests of a connection one after the other.
func (u *RawUpstream) serve(conn net.Conn, respond Respond) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			u.Closed <- conn
			return
		}
		body, _ := io.ReadAll(request.Body) // if the body ends early, the test receives the part that was read
		received := ReceivedRequest{request, string(body), conn}
		u.Requests <- received
		text, closeConn := respond(received)
		_, _ = io.WriteString(conn, text) // if the write fails, the next read fails too
		if closeConn {
			conn.Close()
			return
		}
	}
}
