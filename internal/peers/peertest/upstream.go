package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// channelSize is the buffer of an Upstream's channels, so that a test may leave some of them unread.
const channelSize = 100

// Received is a request that an Upstream read.
type Received struct {
	*http.Request
	Text string   // the body
	Conn net.Conn // on which it was received
}

// Upstream is an upstream that speaks raw HTTP: it passes each request to the test and writes what
// its Respond returns. One goroutine accepts connections and starts one for each of them.
type Upstream struct {
	Addr     string
	Requests chan Received
	Accepted chan net.Conn
	Closed   chan net.Conn // connections that the other side has closed, or that carried no HTTP
}

// Respond returns the bytes to write for a request, and whether to close the connection afterwards.
type Respond func(request Received) (text string, closeConn bool)

// Answer200 returns a response with status 200 and a body.
func Answer200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Always writes the same bytes for each request and keeps the connection.
func Always(text string) Respond {
	return func(Received) (string, bool) { return text, false }
}

// NewUpstream starts an upstream on a free loopback port.
func NewUpstream(t testing.TB, respond Respond) *Upstream {
	t.Helper()
	listener := Listen(t)
	u := &Upstream{
		Addr:     listener.Addr().String(),
		Requests: make(chan Received, channelSize),
		Accepted: make(chan net.Conn, channelSize),
		Closed:   make(chan net.Conn, channelSize),
	}
	go u.accept(t, listener, respond)
	return u
}

func (u *Upstream) accept(t testing.TB, listener net.Listener, respond Respond) {
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

// serve reads one request after the other from a connection.
func (u *Upstream) serve(conn net.Conn, respond Respond) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			u.Closed <- conn
			return
		}
		body, _ := io.ReadAll(request.Body) // a body that ends early is passed as far as it came
		received := Received{request, string(body), conn}
		u.Requests <- received
		text, closeConn := respond(received)
		_, _ = io.WriteString(conn, text) // a broken connection fails the next read
		if closeConn {
			conn.Close()
			return
		}
	}
}
