package policy

import (
	"testing"
	"time"
)

// Endpoints that all balancers together overload stay overloaded if each balancer continues to send
// one request after another. The balancers must shed load until the endpoints recover.
func TestShedsLoadWhileFleetIsOverloaded(t *testing.T) {
	b, h := newTestBalancer(t, lowTrafficConfig(), readyEndpoints(1, 2))
	receiveAndServe := func(from time.Duration, first, n RequestID, latency time.Duration) (started int) {
		before := len(h.sends)
		for id := first; id < first+n; id++ {
			now := from + time.Duration(id-first)*100*ms
			receive(b, now, id, idempotentClass)
			for i := len(h.probes) - 2; i >= 0 && i < len(h.probes); i++ {
				b.ProbeCompleted(now, h.probes[i], true, LoadReport{InFlight: -1})
			}
			if len(h.sends) > before+started {
				started++
				endAttempt(b, now+latency, id, 0, Served)
			}
		}
		return started
	}
	if n := receiveAndServe(0, 0, 100, 50*ms); n != 100 {
		t.Fatalf("all requests are served in time: got %d of 100 started, want all", n)
	}
	if n := receiveAndServe(20*time.Second, 100, 200, 1500*ms); n > 100 {
		t.Fatalf("no request is served within its objective: got %d of 200 started, want at most 100", n)
	}
	receiveAndServe(60*time.Second, 300, 400, 50*ms) // the share of admitted requests grows again
	if n := receiveAndServe(100*time.Second, 700, 100, 50*ms); n < 95 {
		t.Fatalf("40 s after the endpoints recovered: got %d of 100 started, want at least 95", n)
	}
}
