package policy

import (
	"testing"
	"time"
)

// Guards against this: a balancer with little traffic sends to a jammed or silent
// server, as nothing it has seen tells it from a good one.
func TestKnocksWhereTrafficIsThin(t *testing.T) {
	tests := []struct {
		name    string
		reports bool
		answers []LoadReport // by server 1 and 2, in that order; nil: neither answers
		to      EndpointID
	}{
		{"the first to answer", false, []LoadReport{{InFlight: -1}}, 1},
		{"the less loaded", true, []LoadReport{{InFlight: 9}, {InFlight: 2}}, 2},
		{"nobody", false, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := thinConfig()
			cfg.ProbeLoadReports = tt.reports
			b, h := start(t, cfg, ready(1, 2))
			free := b.SlotsFree(0)
			ask(b, 0, 1, unsafeClass)
			if len(h.probes) != 2 || len(h.sends) != 0 || b.SlotsFree(0) != free-1 {
				t.Fatalf("probes %v, sends %v, %d of %d slots free: want two knocks within one slot",
					h.probes, h.sends, b.SlotsFree(0), free)
			}
			for i, l := range tt.answers {
				b.ProbeCompleted(10*ms, EndpointID(i+1), true, l)
			}
			for now := 10 * ms; now <= 400*ms; now += 10 * ms {
				b.TimerFired(now)
			}
			_, refused := h.refused[1]
			switch {
			case tt.to == 0 && (!refused || len(h.sends) > 0 || b.SlotsFree(0) != free):
				t.Fatalf("sends %v, refused %v: want a prompt refusal and the slot free", h.sends, refused)
			case tt.to != 0 && (len(h.sends) != 1 || h.sends[0].to != tt.to):
				t.Fatalf("sends %v, want one to server %d", h.sends, tt.to)
			}
		})
	}
	b, h := start(t, testConfig(), ready(1, 2)) // traffic enough: the ordinary path
	ask(b, 0, 1, unsafeClass)
	if len(h.probes) != 0 || len(h.sends) != 1 {
		t.Fatalf("probes %v, sends %v where traffic is not thin", h.probes, h.sends)
	}
}

// Guards against this: a request with as good as no time left is lost while it waits for a knock's answer.
func TestNoKnockWithoutTime(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: safeClass, Timeout: ms})
	if _, refused := h.refused[1]; !refused {
		t.Fatal("a request without time to knock was not refused at once")
	}
}

// Guards against this: on a quiet day two probes for every request cost more than all that goes wrong.
func TestKnocksOnlyWhereTheyPay(t *testing.T) {
	cfg := thinConfig()
	cfg.ProbeCost = 0.05
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	for id := range RequestID(20) {
		now := time.Duration(id) * 200 * ms
		ask(b, now, id, safeClass)
		end(b, now+50*ms, id, 0, Served)
	}
	if len(h.probes) != 0 || len(h.sends) != 20 {
		t.Fatalf("%d probes, %d sends for 20 requests that all went well", len(h.probes), len(h.sends))
	}
	for id := RequestID(20); id < 25; id++ {
		ask(b, 4*time.Second, id, safeClass)
		end(b, 6*time.Second, id, 0, TimedOut)
	}
	ask(b, 6*time.Second, 30, safeClass)
	if len(h.probes) == 0 {
		t.Fatal("no knock though five of the last requests went wrong")
	}
}
