package policy

import (
	"testing"
	"time"
)

// Guards against this: servers jammed by all balancers together stay jammed, as each
// goes on sending one request after the other.
func TestShedsWhatTheFleetCannotAnswer(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2))
	run := func(from time.Duration, first, n RequestID, took time.Duration) (sent int) {
		before := len(h.sends)
		for id := first; id < first+n; id++ {
			now := from + time.Duration(id-first)*100*ms
			ask(b, now, id, safeClass)
			for k := len(h.probes) - 2; k >= 0 && k < len(h.probes); k++ {
				b.ProbeCompleted(now, h.probes[k], true, LoadReport{InFlight: -1})
			}
			if len(h.sends) > before+sent {
				sent++
				end(b, now+took, id, 0, Served)
			}
		}
		return sent
	}
	if n := run(0, 0, 100, 50*ms); n != 100 {
		t.Fatalf("%d of 100 sent while all was answered in time", n)
	}
	if n := run(20*time.Second, 100, 200, 1500*ms); n > 100 {
		t.Fatalf("%d of 200 sent though nothing is answered within its aim", n)
	}
	run(60*time.Second, 300, 400, 50*ms) // it feels its way back
	if n := run(100*time.Second, 700, 100, 50*ms); n < 95 {
		t.Fatalf("%d of 100 sent though the servers recovered 40 s ago", n)
	}
}
