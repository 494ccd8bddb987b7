package httpnode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

func TestTimeoutClosesTheConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(""))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.TimedOut {
		t.Errorf("result %v, want timed out", got)
	}
	peertest.Await(t, "the connection's end", server.Closed)
}

func TestCancelClosesTheConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(""))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-server.Requests
		cancel()
	}()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.Cancelled {
		t.Errorf("result %v, want cancelled", got)
	}
	peertest.Await(t, "the connection's end", server.Closed)
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	listener := peertest.Listen(t)
	listener.Close()
	upstream := newTestUpstream(newTestPool(2), listener.Addr().String())
	if got, _ := roundTrip(t.Context(), upstream); got != policy.ConnectionFailed {
		t.Errorf("result %v, want connection failed", got)
	}
}

// No request is retried inside the transport, not even an idempotent one, when a reused
// connection breaks under it.
func TestNoHiddenRetries(t *testing.T) {
	server := peertest.NewUpstream(t, func(request peertest.Received) (string, bool) {
		if request.Header.Get("Request-Id") == "breaks" {
			return "", true
		}
		return peertest.Answer200("ok"), false
	})
	upstream := newTestUpstream(newTestPool(2), server.Addr)
	send := func(id string) policy.AttemptResult {
		result, _ := upstream.RoundTrip(t.Context(), &core.Message{
			Method: "GET",
			Target: "/",
			Host:   "x",
			Fields: http.Header{"Request-Id": {id}, "Idempotency-Key": {"k"}},
		})
		return result
	}
	if got := send("first"); got != policy.Served {
		t.Fatalf("first: result %v", got)
	}
	upstream.idle[0].idleSince = time.Now().Add(-reuseDelay) // so that it is reused
	if got := send("breaks"); got != policy.ConnectionReset {
		t.Errorf("on a breaking connection: result %v, want connection reset", got)
	}
	if len(server.Requests) != 2 || len(server.Accepted) != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", len(server.Requests), len(server.Accepted))
	}
}
