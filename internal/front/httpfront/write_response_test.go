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

// A client that takes no more of its response than fits into buffers must not hold it for ever.
func TestResponseIsNotHeldForAClientThatDoesNotRead(t *testing.T) {
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
	peertest.Await(t, "the end of the response", served)
}

// unsizedHandler serves responses without a length.
type unsizedHandler struct{ servingHandler }

func (handler *unsizedHandler) Submit(request *core.Request) {
	request.Respond(core.Response{Result: core.Served, Body: handler.body, DelimitedByClose: true})
}

// The client sees of a response without a length what the sidecar saw: no length, and an
// orderly close after the last byte.
func TestUnsizedResponseStaysUnsized(t *testing.T) {
	for _, size := range []int{0, 5, 3 << 10, 300 << 10} {
		handler := &unsizedHandler{servingHandler{body: make([]byte, size)}}
		_, address := startFront(t, testConfig, handler)
		conn, reader := dialAndSend(t, address)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.ContentLength != -1 || len(response.TransferEncoding) > 0 || !response.Close {
			t.Fatalf("%d bytes: got %+v, error %v", size, response, err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
			t.Errorf("%d bytes: read %d, error %v", size, len(got), err)
		}
		conn.Close()
	}
}

// Where its write fails the connection is reset: an orderly close would say that it is complete.
func TestTruncatedUnsizedResponseIsReset(t *testing.T) {
	handler := &unsizedHandler{servingHandler{body: make([]byte, 8<<20)}}
	_, address := startFront(t, testConfig, handler)
	conn, reader := dialAndSend(t, address)
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	time.Sleep(3 * time.Second) // longer than a response is held for a client that does not read
	if n, err := io.Copy(io.Discard, reader); err == nil {
		t.Errorf("an orderly close after %d bytes", n)
	}
}
