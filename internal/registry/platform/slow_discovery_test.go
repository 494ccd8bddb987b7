package platform

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// startSlowDiscovery starts a discovery that responds to each call after responseTime, and counts
// the calls.
func startSlowDiscovery(t *testing.T, responseTime time.Duration) (addr string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	listener := peertest.Listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		select {
		case <-time.After(responseTime):
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, peertest.EndpointListJSON(7, true, endpointText("up"))+"\n")
		if r.URL.Query().Get("watch") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), calls
}
