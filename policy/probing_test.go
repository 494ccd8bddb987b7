package policy

import (
	"testing"
	"time"
)

// A balancer with low traffic can detect an overloaded endpoint, or an endpoint that does not respond,
// only by probes. A request uses one slot while it waits for its two probes.
func TestProbesBeforeDispatchWhileTrafficIsLow(t *testing.T) {
	tests := []struct {
		name            string
		withLoadReports bool
		reports         []LoadReport // of endpoints 1 and 2, in that order; nil if neither responds
		to              EndpointID   // expected endpoint; 0 if the request is rejected
	}{
		{"dispatch to the first that responds", false, []LoadReport{{InFlight: -1}}, 1},
		{"dispatch to the less loaded", true, []LoadReport{{InFlight: 9}, {InFlight: 2}}, 2},
		{"reject if none responds", false, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := lowTrafficConfig()
			cfg.ProbeLoadReports = tt.withLoadReports
			b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
			free := b.SlotsFree(0)
			receive(b, 0, 1, notIdempotentClass)
			if len(h.probes) != 2 || len(h.sends) != 0 || b.SlotsFree(0) != free-1 {
				t.Fatalf("got probes %v, sends %v and %d of %d slots free, want two probes that use one slot",
					h.probes, h.sends, b.SlotsFree(0), free)
			}
			for i, report := range tt.reports {
				b.ProbeCompleted(10*ms, EndpointID(i+1), true, report)
			}
			for now := 10 * ms; now <= 400*ms; now += 10 * ms {
				b.TimerFired(now)
			}
			_, rejected := h.rejected[1]
			switch {
			case tt.to == 0 && (!rejected || len(h.sends) > 0 || b.SlotsFree(0) != free):
				t.Fatalf("got sends %v and rejected %v, want a rejection within 400ms and the slot free",
					h.sends, rejected)
			case tt.to != 0 && (len(h.sends) != 1 || h.sends[0].to != tt.to):
				t.Fatalf("got sends %v, want one to endpoint %d", h.sends, tt.to)
			}
		})
	}
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2)) // traffic is not low: no probes
	receive(b, 0, 1, notIdempotentClass)
	if len(h.probes) != 0 || len(h.sends) != 1 {
		t.Fatalf("traffic is not low: got probes %v and sends %v, want no probe and one send", h.probes, h.sends)
	}
}

// A request with almost no time left would time out while it waits for probes, so it must be rejected
// at once.
func TestNoProbeWithoutTimeLeft(t *testing.T) {
	b, h := newTestBalancer(t, lowTrafficConfig(), readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: idempotentClass, Timeout: ms})
	if _, rejected := h.rejected[1]; !rejected {
		t.Fatal("request without time for a probe: got no rejection, want one at once")
	}
}

// While all requests are served, two probes for each request cost more than the losses that they prevent.
func TestProbesOnlyIfCheaperThanLosses(t *testing.T) {
	cfg := lowTrafficConfig()
	cfg.ProbeCost = 0.05
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2, 3, 4))
	for id := range RequestID(20) {
		now := time.Duration(id) * 200 * ms
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+50*ms, id, 0, Served)
	}
	if len(h.probes) != 0 || len(h.sends) != 20 {
		t.Fatalf("all requests are served: got %d probes and %d sends for 20 requests, want 0 and 20",
			len(h.probes), len(h.sends))
	}
	for id := RequestID(20); id < 25; id++ {
		receive(b, 4*time.Second, id, idempotentClass)
		endAttempt(b, 6*time.Second, id, 0, TimedOut)
	}
	receive(b, 6*time.Second, 30, idempotentClass)
	if len(h.probes) == 0 {
		t.Fatal("got no probe after five failed requests, want probes")
	}
}
