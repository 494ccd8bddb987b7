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

// rawClient is a client connection on which a test can write arbitrary bytes.
type rawClient struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// dial opens a connection to the sidecar. It is closed at the end of the test.
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

// sendRequest writes a request of the class once, which is not idempotent.
func (client *rawClient) sendRequest(id string) {
	client.t.Helper()
	if err := (peertest.Call{Class: "once", ID: id}).Request(client.t, "x").Write(client); err != nil {
		client.t.Errorf("send a request: got error %v", err) // after a reset
	}
}

// readResponse reads a response. It returns the status, and whether the response announces the close
// of the connection.
func (client *rawClient) readResponse() (status int, last bool) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Fatalf("read a response: got error %v", err)
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

// expectServed reads a response that must be 200. The message of a failure begins with what.
func (client *rawClient) expectServed(what string) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		client.t.Fatalf("%s: got %v, error %v, want 200", what, response, err)
	}
	io.Copy(io.Discard, response.Body)
}

// expectLastResponse reads a response that must have the given status and announce the close of the
// connection.
func (client *rawClient) expectLastResponse(want int) {
	client.t.Helper()
	if status, last := client.readResponse(); status != want || !last {
		client.t.Errorf("got status %d, last %v; want %d and the announcement of the close", status, last, want)
	}
}

// expectClose expects the connection to end with EOF. A reset could destroy a response that the
// client has not read yet.
func (client *rawClient) expectClose() {
	client.t.Helper()
	if rest, err := io.ReadAll(client.reader); err != nil || len(rest) > 0 {
		client.t.Errorf("end of the connection: got error %v after %q, want EOF without further bytes", err, rest)
	}
}

// exchange sends text on a new connection and returns everything that it reads until the connection
// is closed.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	client := dial(t, address)
	defer client.Close()
	go io.WriteString(client, text)
	got, err := io.ReadAll(client)
	if err != nil && len(got) == 0 {
		t.Errorf("read until the close: got error %v and no bytes", err)
	}
	return string(got)
}

const (
	noBody  = "Content-Length: 0\r\n\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// postHeader returns the header of a valid request, without its framing fields and final empty line.
func postHeader(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
		"\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 4\r\n"
}

// unknownClassHeader returns the header of a request that is rejected because its class is unknown.
func unknownClassHeader(id string) string { return strings.Replace(postHeader(id), "once", "many", 1) }

// requestAccepted returns a channel that is closed once the sidecar handles a request with the id. It
// detects this by sending further requests with the id until one is rejected. The channel is also
// closed after an error or after peertest.WaitTimeout.
func requestAccepted(t *testing.T, address, id string) <-chan struct{} {
	t.Helper()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for deadline := time.Now().Add(peertest.WaitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if inUse, err := isIDInUse(address, id); inUse || err != nil {
				return
			}
		}
	}()
	return accepted
}

// isIDInUse reports whether the sidecar rejects a request with the id with 409. It sends only the
// header of the request; the sidecar checks the id before it reads the body.
func isIDInUse(address, id string) (bool, error) {
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
