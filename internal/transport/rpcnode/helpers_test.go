package rpcnode

import (
	"context"
	"net"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// testServer is an upstream whose responses are written by the test.
type testServer struct {
	listener net.Listener
	conns    chan *serverConn
}

// serverConn is the upstream's end of a connection.
type serverConn struct {
	net.Conn
	calls   chan receivedCall
	cancels chan uint32   // ids of cancelled requests
	closed  chan struct{} // closed when no more can be read from the connection
}

// receivedCall is a request that the upstream has read.
type receivedCall struct {
	id   uint32
	call *msgrpc.Call // nil for a probe
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	server := &testServer{listener: peertest.Listen(t), conns: make(chan *serverConn, 100)}
	go func() {
		for {
			netConn, err := server.listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { netConn.Close() })
			conn := &serverConn{
				Conn:    netConn,
				calls:   make(chan receivedCall, 5000),
				cancels: make(chan uint32, 5000),
				closed:  make(chan struct{}),
			}
			server.conns <- conn
			go conn.read()
		}
	}()
	return server
}

// read reads messages until the connection is closed or a message is invalid.
func (conn *serverConn) read() {
	defer close(conn.closed)
	framer := msgrpc.NewFramer(conn, msgrpc.MaxRequestBytes, time.Minute)
	for {
		frame, err := framer.Next()
		if err != nil {
			return
		}
		message, err := msgrpc.Parse(frame)
		if err != nil || !conn.receive(&message) {
			return
		}
	}
}

// receive passes a message to the test. It returns false if the message is invalid.
func (conn *serverConn) receive(message *msgrpc.Message) bool {
	switch {
	case message.Type == msgrpc.Notification:
		id, _ := msgrpc.ParseCancel(message.Params)
		conn.cancels <- id
	case string(message.Method) == msgrpc.MethodProbe:
		conn.calls <- receivedCall{id: message.ID}
	default:
		call, err := msgrpc.ParseCall(message.Params)
		if err != nil {
			return false
		}
		conn.calls <- receivedCall{id: message.ID, call: call}
	}
	return true
}

func (conn *serverConn) respond(id uint32, body string) {
	result := &msgrpc.Result{Body: []byte(body), InFlight: -1}
	conn.Write(result.Append(nil, id))
}

// respondNext waits for the next request and responds to it.
func (conn *serverConn) respondNext(t *testing.T) receivedCall {
	t.Helper()
	call := peertest.Await(t, "the request", conn.calls)
	conn.respond(call.id, "ok")
	return call
}

func (server *testServer) accept(t *testing.T) *serverConn {
	t.Helper()
	return peertest.Await(t, "the connection", server.conns)
}

func (server *testServer) upstream(transport *Transport) *rpcUpstream {
	return newTestUpstream(transport, server.listener.Addr().String())
}

func newTestUpstream(transport *Transport, address string) *rpcUpstream {
	return transport.Upstream(address).(*rpcUpstream)
}

func newTestTransport(config Config) *Transport {
	if config.DialTimeout == 0 {
		config.DialTimeout = time.Second
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = 20
	}
	config.IdleTimeout = 30 * time.Second
	return New(config)
}

func newTestMessage(id string) *core.Message {
	return &core.Message{
		Method: "POST",
		Target: "/api?x=1",
		Host:   "h",
		Body:   []byte("{}"),
		Fields: map[string][]string{
			"Request-Id":      {id},
			"Request-Class":   {"once"},
			"Tenant":          {"north"},
			"Request-Timeout": {"9"},
			"X-Apiary":        {"a", "b"},

			// Not forwarded: a field of the client's hop, and one that is not UTF-8.
			"Transfer-Encoding": {"chunked"},
			"X-Name":            {"Jos\xe9"},
		},
	}
}

// attemptOutcome is the result of an attempt and its response.
type attemptOutcome struct {
	result   policy.AttemptResult
	response *core.Response
}

// startAttempt starts an attempt for a request with the given id. The channel receives the outcome.
func startAttempt(ctx context.Context, upstream core.Upstream, id string) <-chan attemptOutcome {
	ended := make(chan attemptOutcome, 1)
	go func() {
		result, response := upstream.RoundTrip(ctx, newTestMessage(id))
		ended <- attemptOutcome{result, response}
	}()
	return ended
}

// awaitResult waits for the end of an attempt and checks its result.
func awaitResult(t *testing.T, attempt <-chan attemptOutcome, want policy.AttemptResult) attemptOutcome {
	t.Helper()
	got := peertest.Await(t, "the attempt to end", attempt)
	if got.result != want {
		t.Fatalf("got result %v, want %v", got.result, want)
	}
	return got
}

// awaitBody waits for the response to an attempt and checks its body.
func awaitBody(t *testing.T, attempt <-chan attemptOutcome, want string) {
	t.Helper()
	got := awaitResult(t, attempt, policy.Served)
	if string(got.response.Body) != want {
		t.Errorf("got response %+v, want body %q", got.response, want)
	}
}

// waitingCount returns the number of requests on the connection that wait for a response.
func (conn *connection) waitingCount() int {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return len(conn.waiting)
}

// awaitConnection waits until the upstream has exactly one connection, and returns it.
func awaitConnection(t *testing.T, upstream *rpcUpstream) *connection {
	t.Helper()
	peertest.WaitUntil(t, "the connection", func() bool { return len(upstream.connections()) == 1 })
	return upstream.connections()[0]
}
