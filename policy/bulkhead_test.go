package policy

import (
	"math"
	"testing"
	"time"
)

func TestBulkheadSlotsAndQueue(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and a queue of 1
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("slots %d %d, queues %d %d", b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range RequestID(10) {
		receive(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("started %d, free in the queue %d; want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if pause, ok := h.rejected[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: rejected %v with pause %v; want a prompt rejection with a pause", ok, pause)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("tenant 1 lost slots to tenant 0")
	}
	b.RequestReceived(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, Timeout: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("the full bulkhead held up the other one")
	}
	endAttempt(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("a freed slot did not go to the first in the queue: %v", h.sends)
	}
}

func TestSlotsDerivedFromQuotas(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.FleetSize = balancers
		b, _ := newTestBalancer(t, cfg, readyEndpoints(1))
		most := 100*1*slotObjectiveShare + 2*burstDeviations*math.Sqrt(100*slotObjectiveShare) + 2
		if b.totalSlots < 2 || float64(b.totalSlots) > most {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.totalSlots, most)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: bulkheads %d and %d", balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.FleetSize = nil, 4 // no tenants and no quota: one bulkhead, sized by the first list
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Timeout: time.Second})
	if len(b.bulkheads) != 1 || b.totalSlots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d bulkheads, %d slots, %d sends", len(b.bulkheads), b.totalSlots, len(h.sends))
	}
}

func TestFreeCapacityOfUnknownTenant(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1))
	for _, tenant := range []int{-1, 2, 1 << 30} {
		if s, q := b.SlotsFree(tenant), b.QueueFree(tenant); s != 0 || q != 0 {
			t.Errorf("tenant %d: %d slots and %d in the queue free", tenant, s, q)
		}
	}
	if b.SlotsFree(0) == 0 || b.QueueFree(0) == 0 {
		t.Error("nothing free in an idle bulkhead")
	}
}
