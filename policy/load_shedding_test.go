package policy

import (
	"testing"
	"time"
)

// Endpoints that all balancers together overload stay so while each goes on with one
// request after the other.
func TestShedsLoadWhileFleetIsOverloaded(t *testing.T) {
	b, h := newTestBalancer(t, lowTrafficConfig(), readyEndpoints(1, 2))
	run := func(from time.Duration, first, n RequestID, took time.Duration) (started int) {
		before := len(h.sends)
		for id := first; id < first+n; id++ {
			now := from + time.Duration(id-first)*100*ms
			receive(b, now, id, idempotentClass)
			for k := len(h.probes) - 2; k >= 0 && k < len(h.probes); k++ {
				b.ProbeCompleted(now, h.probes[k], true, LoadReport{InFlight: -1})
			}
			if len(h.sends) > before+started {
				started++
				endAttempt(b, now+took, id, 0, Served)
			}
		}
		return started
	}
	if n := run(0, 0, 100, 50*ms); n != 100 {
		t.Fatalf("%d of 100 started while all were served in time", n)
	}
	if n := run(20*time.Second, 100, 200, 1500*ms); n > 100 {
		t.Fatalf("%d of 200 started though none is served within its objective", n)
	}
	run(60*time.Second, 300, 400, 50*ms) // more are admitted step by step
	if n := run(100*time.Second, 700, 100, 50*ms); n < 95 {
		t.Fatalf("%d of 100 started though the endpoints recovered 40 s ago", n)
	}
}
