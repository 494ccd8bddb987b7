package platform

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// slowDiscovery begins each answer some time after its call, and counts the calls
// that were given up before.
func slowDiscovery(t *testing.T, answerIn time.Duration) (addr string, calls, abandoned *atomic.Int64) {
	t.Helper()
	calls, abandoned = new(atomic.Int64), new(atomic.Int64)
	ln := peertest.Listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		select {
		case <-time.After(answerIn):
		case <-r.Context().Done():
			abandoned.Add(1)
			return
		}
		io.WriteString(w, peertest.ListText(7, true, peertest.HostText("s-1", "127.0.0.1:7", "up", 0))+"\n")
		if r.URL.Query().Get("watch") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), calls, abandoned
}

// A discovery that takes its time is heard, at whatever speed.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	for name, c := range map[string]struct {
		ask      bool
		answerIn time.Duration
	}{
		"pushed, 1.2 s": {answerIn: 1200 * time.Millisecond},
		"pushed, 4 s":   {answerIn: 4 * time.Second},
		"asked, 3.5 s":  {ask: true, answerIn: 3500 * time.Millisecond},
		"asked, 7 s":    {ask: true, answerIn: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls, _ := slowDiscovery(t, c.answerIn)
			news := make(chan core.EndpointUpdate, 10)
			d := New(addr, nil, func(n core.EndpointUpdate) { news <- n })
			if c.ask {
				asks := make(chan struct{}, 1)
				asks <- struct{}{}
				d.WatchOnRequest(asks, func() { asks <- struct{}{} }, 1)
			}
			go d.Run(t.Context())
			select {
			case n := <-news:
				if n.Version != 7 || len(n.Endpoints) != 1 {
					t.Errorf("delivered %+v", n)
				}
			case <-time.After(2*c.answerIn + time.Second):
				t.Fatalf("never heard, with %d calls", calls.Load())
			}
		})
	}
}
