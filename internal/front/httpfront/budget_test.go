package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// owedIn is how soon a client that stops in the middle of a request gets its error
// or the end of its connection.
const owedIn = 3 * time.Second

// keptConn returns a connection on which one request was answered.
func keptConn(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, in := rawRequest(t, addr)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return c, in
}

// rawRequest opens a connection and writes a request on it.
func rawRequest(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, in := openConn(t, addr)
	peertest.Call{Class: "once", ID: "first", Timeout: "1"}.Request(t, addr).Write(c)
	return c, in
}

// openConn opens a connection.
func openConn(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(peertest.Patience))
	return c, bufio.NewReader(c)
}

// requestText is a whole request of the unsafe class.
func requestText(t *testing.T, id string) []byte {
	t.Helper()
	var b bytes.Buffer
	peertest.Call{Class: "once", ID: id, Body: "a body of some bytes"}.Request(t, "service.internal").Write(&b)
	return b.Bytes()
}

// A request that stops half way ends its connection in one time from its first byte
// on, in however many parts it came.
func TestHalfARequestHasOneBudget(t *testing.T) {
	s := New(testConfig, &serving{}, peertest.Listen(t))
	go s.Serve()
	t.Cleanup(func() { s.server.Close() })
	c, in := keptConn(t, s.listener.Addr().String())
	text := requestText(t, "half")
	begun := time.Now()
	c.Write(text[:20])
	time.Sleep(1900 * time.Millisecond) // the client's pace, not a wait for an event
	c.Write(text[20 : len(text)-5])
	io.Copy(io.Discard, in)
	if took := time.Since(begun); took > owedIn {
		t.Errorf("ended %v after its first byte, %v are owed", took, owedIn)
	}
}

// A request that has begun when the idle time of its connection runs out is no idle
// connection's: it is answered.
func TestIdleTimeDoesNotEndARequestThatHasBegun(t *testing.T) {
	for _, first := range []int{1, 2, 3, 30} {
		t.Run(fmt.Sprint(first, " bytes"), func(t *testing.T) {
			t.Parallel()
			s := New(testConfig, &serving{}, peertest.Listen(t))
			go s.Serve()
			t.Cleanup(func() { s.server.Close() })
			c, in := keptConn(t, s.listener.Addr().String())
			text := requestText(t, "begun")
			time.Sleep(idleClient - 100*time.Millisecond) // the client's rest
			c.Write(text[:first])
			time.Sleep(400 * time.Millisecond)
			c.Write(text[first:])
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v, error %v; want 200", resp, err)
			}
		})
	}
}

// A drain closes connections between requests, and none on which one has begun: that
// is answered, and told that it is the last.
func TestDrainAnswersARequestThatHasBegun(t *testing.T) {
	s := New(testConfig, &serving{}, peertest.Listen(t))
	go s.Serve()
	t.Cleanup(func() { s.server.Close() })
	c, in := keptConn(t, s.listener.Addr().String())
	text := requestText(t, "begun")
	c.Write(text[:40])
	peertest.Until(t, "its first bytes", func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return len(s.listener.idle) == 1 && s.listener.idle[0].framing.Pending()
	})
	s.Drain()
	c.Write(text[40:])
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("got %v, error %v; want 200 and word that it is the last", resp, err)
	}
}
