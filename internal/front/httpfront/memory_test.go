package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/peers/peertest"
)

// sendText opens a connection and sends a text on it.
func sendText(t *testing.T, address, text string) *bufio.Reader {
	t.Helper()
	conn, reader := dial(t, address)
	go io.WriteString(conn, text)
	return reader
}

func expectStatus(t *testing.T, what string, reader *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != want {
		t.Errorf("%s: got response %+v, error %v; want status %d", what, response, err, want)
		return
	}
	if want == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Errorf("%s: got header %v, want a Retry-After", what, response.Header)
	}
}

func requestText(id, fields, body string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 5\r\n" +
		fields + "\r\n" + body
}

// Guards against requests that together hold more memory than there is: while one holds it, others that need much of it are
// rejected, in each form, and those that need little are served.
func TestLargeRequestsAreRejectedWithoutMemory(t *testing.T) {
	config := testConfig
	config.MaxConnections = 20
	config.Memory = frontend.NewRequestMemory(56 << 10)
	handler := newBlockingHandler()
	front, address := startFront(t, config, handler)
	body := strings.Repeat("b", 60<<10)
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	first := sendText(t, address, requestText("first", sized, body))
	peertest.Await(t, "the first request", handler.submitted)
	rejected := []string{
		requestText("sized", sized, body),
		requestText("chunked", "Transfer-Encoding: chunked\r\n", chunked),
		requestText("fields", strings.Repeat("A:b\r\n", 500), ""),
		requestText("head", "Note: "+strings.Repeat("n", 15<<10)+"\r\n", ""),
		requestText("unfinished", "Note: "+strings.Repeat("n", 15<<10), ""),
	}
	var readers []*bufio.Reader
	for _, text := range rejected {
		readers = append(readers, sendText(t, address, text))
	}
	small := sendText(t, address, requestText("small", "Content-Length: 2\r\n", "{}"))
	peertest.Await(t, "the small request", handler.submitted)
	for i, reader := range readers {
		expectStatus(t, rejected[i][:60], reader, http.StatusServiceUnavailable)
	}
	if count := front.Counters().OutOfMemory; count != uint64(len(rejected)) {
		t.Errorf("got %d requests without memory, want %d", count, len(rejected))
	}
	close(handler.release)
	expectStatus(t, "first", first, http.StatusOK)
	expectStatus(t, "small", small, http.StatusOK)
	expectStatus(t, "after", sendText(t, address, requestText("after", sized, body)), http.StatusOK)
}

// Guards against memory that is not given back, and against bytes after a request that are read without bound: each connection
// sends large requests one after the other, more than the memory holds.
func TestMemoryIsGivenBack(t *testing.T) {
	config := testConfig
	config.Memory = frontend.NewRequestMemory(80 << 10)
	_, address := startFront(t, config, &servingHandler{})
	body := strings.Repeat("b", 60<<10)
	for connection := range 3 {
		conn, reader := dial(t, address)
		for i := range 5 {
			text := requestText(fmt.Sprint(connection, "-", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			go io.WriteString(conn, text)
			expectStatus(t, fmt.Sprint("request ", i), reader, http.StatusOK)
		}
		conn.Close()
	}
}

// Guards against a request that is read and never answered because it was sent while the one before it was being served and there was
// no memory for its bytes. They are left to the system until the response.
func TestNextRequestWaitsWithoutMemory(t *testing.T) {
	config := testConfig
	config.Memory = frontend.NewRequestMemory(56 << 10)
	handler := newBlockingHandler()
	_, address := startFront(t, config, handler)
	body := strings.Repeat("b", 60<<10)
	conn, reader := dial(t, address)
	go io.WriteString(conn, requestText("first", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)+
		requestText("second", "Note: "+strings.Repeat("n", 12<<10)+"\r\nContent-Length: 0\r\n", ""))
	peertest.Await(t, "the first request", handler.submitted)
	time.Sleep(100 * time.Millisecond) // the bytes of the second request have arrived
	close(handler.release)
	expectStatus(t, "first", reader, http.StatusOK)
	expectStatus(t, "second", reader, http.StatusOK)
}
