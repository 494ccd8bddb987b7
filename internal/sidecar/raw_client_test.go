package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// rawClient is a client's connection on which a test writes what it likes.
type rawClient struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// dial opens a connection, which is closed at the end of the test.
func dial(t *testing.T, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	return &rawClient{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
}

// sendRequest writes a request that may run only once.
func (client *rawClient) sendRequest(id string) {
	client.t.Helper()
	if err := (peertest.Call{Class: "once", ID: id}).Request(client.t, "x").Write(client); err != nil {
		client.t.Errorf("sending a request: %v", err) // after a reset
	}
}

// readResponse reads a response; last is whether it announces that the connection closes.
func (client *rawClient) readResponse() (status int, last bool) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Fatalf("no answer: %v", err)
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

// expectServed reads a response that must be 200.
func (client *rawClient) expectServed(what string) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		client.t.Fatalf("%s: %v, error %v", what, response, err)
	}
	io.Copy(io.Discard, response.Body)
}

// expectLastResponse reads a response that must have a status and announce the close.
func (client *rawClient) expectLastResponse(want int) {
	client.t.Helper()
	if status, last := client.readResponse(); status != want || !last {
		client.t.Errorf("got %d, last %v; want %d and the announcement that it is the last", status, last, want)
	}
}

// expectClose reads the end, which must be no reset: that could take a response with it.
func (client *rawClient) expectClose() {
	client.t.Helper()
	if rest, err := io.ReadAll(client.reader); err != nil || len(rest) > 0 {
		client.t.Errorf("the connection ended with %v after %q, want a plain end", err, rest)
	}
}

// exchange sends text on a connection of its own and reads until that is closed.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	client := dial(t, address)
	defer client.Close()
	go io.WriteString(client, text)
	got, err := io.ReadAll(client)
	if err != nil && len(got) == 0 {
		t.Errorf("no answer before the close: %v", err)
	}
	return string(got)
}

const (
	noBody  = "Content-Length: 0\r\n\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// postHeader is the header of a good request up to its framing.
func postHeader(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
		"\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 4\r\n"
}

// unknownClassHeader is the header of a request that is rejected for its class.
func unknownClassHeader(id string) string { return strings.Replace(postHeader(id), "once", "many", 1) }

// requestHeld closes its channel once the sidecar holds a request of that id: a further one under it is rejected.
func requestHeld(t *testing.T, address, id string) <-chan struct{} {
	t.Helper()
	held := make(chan struct{})
	go func() {
		defer close(held)
		for end := time.Now().Add(peertest.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if isHeld, err := isRequestHeld(address, id); isHeld || err != nil {
				return
			}
		}
	}()
	return held
}

// isRequestHeld sends a header under the id; it is seen before its body, which never comes.
func isRequestHeld(address, id string) (bool, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(schedulingMargin))
	fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n"+
		"Request-Class: once\r\nTenant: acme\r\nRequest-Timeout: 1\r\nContent-Length: 1\r\n\r\n", id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.Contains(line, " 409 "), nil
}
