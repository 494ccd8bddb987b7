package policy

import (
	"testing"
	"time"
)

// A balancer with little traffic knows an overloaded or silent endpoint only by probes.
func TestProbesBeforeDispatchWhereTrafficIsLow(t *testing.T) {
	tests := []struct {
		name     string
		withLoad bool
		reports  []LoadReport // of endpoints 1 and 2, in that order; nil: neither responds
		to       EndpointID
	}{
		{"the first that responds", false, []LoadReport{{InFlight: -1}}, 1},
		{"the less loaded", true, []LoadReport{{InFlight: 9}, {InFlight: 2}}, 2},
		{"none responds", false, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := lowTrafficConfig()
			cfg.ProbeLoadReports = tt.withLoad
			b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
			free := b.SlotsFree(0)
			receive(b, 0, 1, notIdempotentClass)
			if len(h.probes) != 2 || len(h.sends) != 0 || b.SlotsFree(0) != free-1 {
				t.Fatalf("probes %v, sends %v, %d of %d slots free: want two probes within one slot",
					h.probes, h.sends, b.SlotsFree(0), free)
			}
			for i, l := range tt.reports {
				b.ProbeCompleted(10*ms, EndpointID(i+1), true, l)
			}
			for now := 10 * ms; now <= 400*ms; now += 10 * ms {
				b.TimerFired(now)
			}
			_, rejected := h.rejected[1]
			switch {
			case tt.to == 0 && (!rejected || len(h.sends) > 0 || b.SlotsFree(0) != free):
				t.Fatalf("sends %v, rejected %v: want a prompt rejection and the slot free", h.sends, rejected)
			case tt.to != 0 && (len(h.sends) != 1 || h.sends[0].to != tt.to):
				t.Fatalf("sends %v, want one to endpoint %d", h.sends, tt.to)
			}
		})
	}
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2)) // enough traffic: no probes
	receive(b, 0, 1, notIdempotentClass)
	if len(h.probes) != 0 || len(h.sends) != 1 {
		t.Fatalf("probes %v, sends %v where traffic is not low", h.probes, h.sends)
	}
}

// A request with almost no time left would expire while it awaits probes.
func TestNoProbeWithoutTimeLeft(t *testing.T) {
	b, h := newTestBalancer(t, lowTrafficConfig(), readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: idempotentClass, Timeout: ms})
	if _, rejected := h.rejected[1]; !rejected {
		t.Fatal("a request without time for a probe was not rejected at once")
	}
}

// While all goes right, two probes for each request cost more than they bring.
func TestProbesOnlyWhereTheyPayOff(t *testing.T) {
	cfg := lowTrafficConfig()
	cfg.ProbeCost = 0.05
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2, 3, 4))
	for id := range RequestID(20) {
		now := time.Duration(id) * 200 * ms
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+50*ms, id, 0, Served)
	}
	if len(h.probes) != 0 || len(h.sends) != 20 {
		t.Fatalf("%d probes, %d sends for 20 requests that were all served", len(h.probes), len(h.sends))
	}
	for id := RequestID(20); id < 25; id++ {
		receive(b, 4*time.Second, id, idempotentClass)
		endAttempt(b, 6*time.Second, id, 0, TimedOut)
	}
	receive(b, 6*time.Second, 30, idempotentClass)
	if len(h.probes) == 0 {
		t.Fatal("no probe though five of the last requests failed")
	}
}
