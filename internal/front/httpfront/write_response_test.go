package httpfront

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// TestResponseWriteEndsForClientThatDoesNotRead guards against a handler goroutine that never ends:
// if a client does not read its response and the response does not fit into the socket buffers, the
// write must end at the write deadline.
func TestResponseWriteEndsForClientThatDoesNotRead(t *testing.T) {
	listener, served := peertest.Listen(t), make(chan struct{})
	front := New(testConfig, &servingHandler{body: make([]byte, 1<<20)}, listener)
	front.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		clientConnOf(httpRequest).SetWriteBuffer(4 << 10)
		front.ServeHTTP(writer, httpRequest)
		close(served)
	})
	go front.Serve()
	defer front.server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	peertest.Call{Class: "once", Timeout: "0.5"}.Request(t, "x").Write(conn)
	peertest.Await(t, "ServeHTTP to return", served)
}

// closeDelimitedHandler answers every request with a response without a length, whose body is delimited
// by the close of the connection.
type closeDelimitedHandler struct{ servingHandler }

func (handler *closeDelimitedHandler) Submit(request *core.Request) {
	request.Respond(core.Response{Result: core.Served, Body: handler.body, DelimitedByClose: true})
}

// A response that the sidecar received without a length must reach the client without a length, too,
// and must end with an orderly close after the last byte.
func TestResponseWithoutLengthStaysWithoutLength(t *testing.T) {
	for _, size := range []int{0, 5, 3 << 10, 300 << 10} {
		handler := &closeDelimitedHandler{servingHandler{body: make([]byte, size)}}
		_, address := startFront(t, testConfig, handler)
		conn, reader := dialAndSend(t, address)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.ContentLength != -1 || len(response.TransferEncoding) > 0 || !response.Close {
			t.Fatalf("%d bytes: got response %+v, error %v; want no length, and Close set", size, response, err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
			t.Errorf("body of %d bytes: read %d bytes, error %v", size, len(got), err)
		}
		conn.Close()
	}
}

// If writing a response without a length fails, the connection must be reset: after an orderly close,
// the client would treat the partial body as complete.
func TestTruncatedResponseWithoutLengthIsReset(t *testing.T) {
	handler := &closeDelimitedHandler{servingHandler{body: make([]byte, 8<<20)}}
	_, address := startFront(t, testConfig, handler)
	conn, reader := dialAndSend(t, address)
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	time.Sleep(3 * time.Second) // longer than the write deadline for a client that does not read
	if n, err := io.Copy(io.Discard, reader); err == nil {
		t.Errorf("got an orderly close after %d bytes, want a reset", n)
	}
}
