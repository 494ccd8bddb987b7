package httpfront

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

var testConfig = Config{
	Classes:        []string{"read", "keyed", "once"},
	Idempotency:    []policy.Idempotency{policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent},
	Tenants:        []string{"acme"},
	MaxConnections: 4,
}

// servingHandler answers every request at once with the same body.
type servingHandler struct {
	submitted int
	body      []byte
}

func (handler *servingHandler) Submit(request *core.Request) {
	handler.submitted++
	request.Respond(core.Response{Result: core.Served, Body: handler.body})
}

func (handler *servingHandler) Abandon(*core.Request) {}

func (handler *servingHandler) HasRequest(string) bool { return false }

func (handler *servingHandler) Ready() bool { return true }

// blockingHandler sends the ID of each request to submitted, and answers the request after it has
// received from release.
type blockingHandler struct {
	servingHandler
	submitted chan string
	release   chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{submitted: make(chan string, 100), release: make(chan struct{})}
}

func (handler *blockingHandler) Submit(request *core.Request) {
	handler.submitted <- request.ID
	go func() {
		<-handler.release
		request.Respond(core.Response{Result: core.Served})
	}()
}

// startFront starts a front end, which is closed at the end of the test, and returns the front end
// and its address.
func startFront(t *testing.T, config Config, handler core.Handler) (front *Front, address string) {
	t.Helper()
	listener := peertest.Listen(t)
	front = New(config, handler, listener)
	go front.Serve()
	t.Cleanup(func() { front.server.Close() })
	return front, listener.Addr().String()
}

// dial opens a connection, which is closed at the end of the test.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	return conn, bufio.NewReader(conn)
}

// dialAndSend opens a connection and sends a request on it.
func dialAndSend(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := dial(t, address)
	peertest.Call{Class: "once", ID: "first", Timeout: "1"}.Request(t, address).Write(conn)
	return conn, reader
}

// dialKeptAlive returns an open connection on which one request was already answered.
func dialKeptAlive(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := dialAndSend(t, address)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	return conn, reader
}

// requestBytes returns an encoded, complete request of a class that is not idempotent.
func requestBytes(t *testing.T, id string) []byte {
	t.Helper()
	var buffer bytes.Buffer
	peertest.Call{Class: "once", ID: id, Body: "a body of some bytes"}.Request(t, "service.internal").Write(&buffer)
	return buffer.Bytes()
}

// expectServed reads a response and checks that its status is 200. If wantClose is set, the response
// must also announce the close of the connection.
func expectServed(t *testing.T, reader *bufio.Reader, wantClose bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK || wantClose && !response.Close {
		t.Errorf("got response %v, error %v; want status 200 (Connection: close required: %v)", response, err, wantClose)
	}
}
