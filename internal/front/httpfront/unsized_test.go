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

// unsizedCore serves answers without a length.
type unsizedCore struct{ serving }

func (k *unsizedCore) Submit(r *core.Request) {
	r.Respond(core.Response{Result: core.Served, Body: k.body, DelimitedByClose: true})
}

// The client sees of an answer without a length what the sidecar saw: no length, and an
// orderly close behind the last byte.
func TestUnsizedAnswerStaysUnsized(t *testing.T) {
	for _, size := range []int{0, 5, 3 << 10, 300 << 10} {
		body := make([]byte, size)
		s := New(testConfig, &unsizedCore{serving{body: body}}, peertest.Listen(t))
		go s.Serve()
		t.Cleanup(func() { s.server.Close() })
		c, in := rawRequest(t, s.listener.Addr().String())
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.ContentLength != -1 || len(resp.TransferEncoding) > 0 || !resp.Close {
			t.Fatalf("%d bytes: got %+v, error %v", size, resp, err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || len(got) != size {
			t.Errorf("%d bytes: read %d, error %v", size, len(got), err)
		}
		c.Close()
	}
}

// Where its write fails the connection is reset: an orderly end would say that it is whole.
func TestUnsizedAnswerThatIsCutIsReset(t *testing.T) {
	s := New(testConfig, &unsizedCore{serving{body: make([]byte, 8<<20)}}, peertest.Listen(t))
	go s.Serve()
	t.Cleanup(func() { s.server.Close() })
	c, in := rawRequest(t, s.listener.Addr().String())
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	time.Sleep(3 * time.Second) // longer than its answer is held for a client that does not read
	if n, err := io.Copy(io.Discard, in); err == nil {
		t.Errorf("an orderly end after %d bytes", n)
	}
}
