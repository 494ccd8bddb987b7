package policy

import (
	"math"
	"testing"
	"time"
)

// A tenant that sends too many requests must not use the slots of another tenant.
func TestBulkheadSlotsAndQueue(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	// Tenant 0 has 6 slots and a queue of 1.
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("got slots %d and %d, queues %d and %d; want 6 and 2, 1 and 1",
			b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range RequestID(10) {
		receive(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("got %d sends and %d free places in the queue, want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if pause, ok := h.rejected[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: got rejected %v with pause %v, want true with a pause between 0 and 1s", ok, pause)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("tenant 0 uses slots of tenant 1")
	}
	b.RequestReceived(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, Timeout: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("request of tenant 1 was not started while the bulkhead of tenant 0 is full")
	}
	endAttempt(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("got sends %v, want the first queued request to get the free slot", h.sends)
	}
}

// Without Config.Slots, the number of slots must fit the quotas whatever the size of the fleet, and the
// endpoint list if there are no quotas.
func TestSlotsDerivedFromQuotas(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.FleetSize = balancers
		b, _ := newTestBalancer(t, cfg, readyEndpoints(1))
		maxSlots := 100*1*slotObjectiveShare + 2*burstDeviations*math.Sqrt(100*slotObjectiveShare) + 2
		if b.totalSlots < 2 || float64(b.totalSlots) > maxSlots {
			t.Errorf("%d balancers: got %d slots, want 2 to %.0f", balancers, b.totalSlots, maxSlots)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: got %d and %d slots, want no fewer for tenant 0 and a queue for tenant 1",
				balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.FleetSize = nil, 4 // without tenants and quotas: one bulkhead, sized by the first list
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Timeout: time.Second})
	if len(b.bulkheads) != 1 || b.totalSlots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: got %d bulkheads, %d slots and %d sends, want 1, 7 and 1",
			len(b.bulkheads), b.totalSlots, len(h.sends))
	}
}

// SlotsFree and QueueFree must accept any tenant number.
func TestFreeCapacityOfUnknownTenant(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1))
	for _, tenant := range []int{-1, 2, 1 << 30} {
		if slots, places := b.SlotsFree(tenant), b.QueueFree(tenant); slots != 0 || places != 0 {
			t.Errorf("tenant %d: got %d free slots and %d free places in the queue, want 0 and 0", tenant, slots, places)
		}
	}
	if b.SlotsFree(0) == 0 || b.QueueFree(0) == 0 {
		t.Error("idle bulkhead: got no free slot or no free place in the queue")
	}
}
