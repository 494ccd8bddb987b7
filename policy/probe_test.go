package policy

import "testing"

// What this machine lacks is no word against a server, however often: probes and
// attempts that were not sent leave it its turn.
func TestNotSentIsNoStrike(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(100) {
		ask(b, 0, id, unsafeClass)
		for len(h.probes) > 0 {
			to := h.probes[0]
			h.probes = h.probes[1:]
			b.ProbeNotSent(0, to)
		}
		if h.refused[id] < 0 || len(h.sends) > 0 {
			t.Fatalf("request %d: sends %v", id, h.sends)
		}
	}
	b, h = start(t, testConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(100) {
		ask(b, 0, id, unsafeClass)
		for n := 0; len(h.sends) > n; n++ {
			end(b, 0, id, n, NotSent)
		}
		h.sends = nil
		if _, refused := h.refused[id]; !refused {
			t.Fatalf("request %d, which never ran, was not refused", id)
		}
	}
	for _, s := range b.endpoints {
		if s.ejected || s.consecutiveFailures > 0 || s.inFlight > 0 {
			t.Errorf("server %d is held to be unwell: %d strikes, %d out", s.ID, s.consecutiveFailures, s.inFlight)
		}
	}
}
