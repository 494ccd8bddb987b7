package httpnode

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// Parts of responses.
const (
	statusOK              = "HTTP/1.1 200 OK\r\n"
	earlyHints            = "HTTP/1.1 103 Early Hints\r\n\r\n"
	notStartedField       = "Not-Started: 1\r\n"
	emptyBody             = "Content-Length: 0\r\n\r\n"
	chunkedHead           = statusOK + "Transfer-Encoding: chunked\r\n\r\n"
	firstChunk            = "5\r\nhoney\r\n"
	lastChunk             = "0\r\n\r\n"
	responseWithoutLength = statusOK + "\r\nhoney" // the end of the body is the close of the connection
)

func newTestPool(maxConnections int) *connectionPool {
	return newConnectionPool(time.Second, 30*time.Second, maxConnections)
}

func newTestUpstream(pool *connectionPool, address string) *httpUpstream {
	return (&Transport{pool: pool}).Upstream(address).(*httpUpstream)
}

func newTestMessage() *core.Message {
	return &core.Message{
		Method: "POST",
		Target: "/api",
		Host:   "service.internal",
		Fields: http.Header{"Request-Id": {"x"}},
		Body:   []byte("{}"),
	}
}

// roundTrip performs an attempt for a request with the id x.
func roundTrip(ctx context.Context, upstream *httpUpstream) (policy.AttemptResult, *core.Response) {
	return upstream.RoundTrip(ctx, newTestMessage())
}

// getConnection takes a connection to an upstream from its pool.
func getConnection(t *testing.T, upstream *httpUpstream) *connection {
	t.Helper()
	conn, err := upstream.transport.pool.get(t.Context(), upstream)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// listenWithoutReading starts a server that accepts connections and never reads from them.
func listenWithoutReading(t *testing.T) (address string) {
	t.Helper()
	listener := peertest.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener.Addr().String()
}
