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

// An attempt that times out closes its connection.
func TestTimeoutClosesTheConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(""))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.TimedOut {
		t.Errorf("got result %v, want timed out", got)
	}
	peertest.Await(t, "the connection to close", server.Closed)
}

// An attempt that is cancelled closes its connection.
func TestCancelClosesTheConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(""))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-server.Requests
		cancel()
	}()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.Cancelled {
		t.Errorf("got result %v, want cancelled", got)
	}
	peertest.Await(t, "the connection to close", server.Closed)
}

// A refused connection proves that the request never ran.
func TestRefusedConnectionFailsTheAttempt(t *testing.T) {
	listener := peertest.Listen(t)
	listener.Close()
	upstream := newTestUpstream(newTestPool(2), listener.Addr().String())
	if got, _ := roundTrip(t.Context(), upstream); got != policy.ConnectionFailed {
		t.Errorf("got result %v, want connection failed", got)
	}
}

// If a reused connection breaks during an attempt, the transport must not retry the request itself,
// even if the request is idempotent: only the balancer decides on retries.
func TestNoHiddenRetries(t *testing.T) {
	server := peertest.NewUpstream(t, func(request peertest.ReceivedRequest) (string, bool) {
		if request.Header.Get("Request-Id") == "breaks" {
			return "", true
		}
		return peertest.Response200("ok"), false
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
		t.Fatalf("first request: got result %v, want served", got)
	}
	upstream.idle[0].idleSince = time.Now().Add(-reuseDelay) // the reuseDelay has passed
	if got := send("breaks"); got != policy.ConnectionReset {
		t.Errorf("broken connection: got result %v, want connection reset", got)
	}
	if len(server.Requests) != 2 || len(server.Accepted) != 1 {
		t.Errorf("got %d requests on %d connections, want 2 on 1", len(server.Requests), len(server.Accepted))
	}
}
