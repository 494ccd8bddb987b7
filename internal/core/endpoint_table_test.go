package core

import (
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// An entry without a name or with an invalid address must not reach the table, where it would get an upstream
// without a valid address. The other entries of the update must still be applied.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	core := newTestCore(t)
	core.updateEndpoints(policy.FullUpdate, EndpointUpdate{Complete: true, Endpoints: []Endpoint{
		{},
		{Addr: "127.0.0.1:7", Health: Ready},
		readyEndpoint("s-2", "nowhere"),
		readyEndpoint("s-1", "127.0.0.1:7"),
		readyEndpoint("s-3", "127.0.0.1:8"),
	}})
	endpoints := core.endpoints.byName
	if len(endpoints) != 2 || endpoints["s-1"] == nil || endpoints["s-3"] == nil {
		t.Errorf("got endpoints %v, want s-1 and s-3", endpoints)
	}
}

// An endpoint must keep its ID when it moves, drains or is removed, and endpoints without a cell must not share
// one.
func TestEntriesBecomePolicyEndpoints(t *testing.T) {
	core := newTestCore(t)
	upsert := func(entry Endpoint) policy.Endpoint {
		endpoint := core.endpoints.upsert(entry, core.now, 0)
		if endpoint == nil {
			t.Fatalf("entry %+v was ignored, want a policy endpoint", entry)
		}
		return core.endpoints.policyEndpoint(endpoint)
	}
	cell := 3
	entry := Endpoint{Name: "s-1", Addr: "127.0.0.1:7", Zone: "a", Cell: &cell, Health: Ready, Weight: 1.5}
	first := upsert(entry)
	want := policy.Endpoint{ID: first.ID, Cell: 3, Health: policy.Ready, Weight: 1.5}
	if first != want {
		t.Errorf("got endpoint %+v, want %+v", first, want)
	}
	entry.Addr, entry.Health = "127.0.0.1:8", Draining
	moved := upsert(entry)
	if moved.ID != first.ID || moved.Health != policy.Draining || core.endpoints.byName["s-1"].entry.Addr != entry.Addr {
		t.Errorf("after a change of address: got %+v, before %+v; want the same ID, draining, at the new address",
			moved, first)
	}
	entry.Health = Health(99)
	if unknown := upsert(entry); unknown.Health != policy.Draining {
		t.Errorf("unknown health: got %v, want draining", unknown.Health)
	}
	entry.Health, entry.Addr = Removed, ""
	if removed := upsert(entry); removed.ID != first.ID || removed.Health != policy.Removed {
		t.Errorf("removed entry without an address: got %+v, want the same ID, removed", removed)
	}
	second := upsert(Endpoint{Name: "s-2", Addr: "127.0.0.1:9", Zone: "elsewhere", Health: Ready})
	third := upsert(Endpoint{Name: "s-3", Addr: "127.0.0.1:9", Zone: "elsewhere", Health: Ready})
	if second.ID == first.ID || second.Zone == 0 || second.Zone != third.Zone || second.Cell == third.Cell {
		t.Errorf("got endpoints %+v and %+v, want new IDs, one new zone and different cells", second, third)
	}
}

// An endpoint that started shortly before this process needs slow start. The Balancer skips slow start if
// the start time on its clock is not positive.
func TestStartBeforeThisProcess(t *testing.T) {
	core := newTestCore(t)
	startedAt := time.Duration(time.Now().Add(-2 * time.Second).UnixNano())
	entry := Endpoint{Name: "s-1", Addr: "127.0.0.1:7", Health: Ready, StartedAt: startedAt}
	endpoint := core.endpoints.upsert(entry, core.now, 0)
	if endpoint == nil {
		t.Fatal("entry was ignored, want an endpoint")
	}
	startedAt = core.endpoints.policyEndpoint(endpoint).StartedAt
	age := core.clock.now() - startedAt
	if startedAt <= 0 || age < time.Second || age > peertest.WaitTimeout {
		t.Errorf("got start time %v, %v ago on the Balancer's clock; want a positive time about 2 s ago",
			startedAt, age)
	}
}

// A reported start time in the future is limited to the present, and a later update with the same report
// does not move it.
func TestFutureStartTimeIsStable(t *testing.T) {
	core := newTestCore(t)
	startedAt := time.Duration(time.Now().Add(time.Hour).UnixNano())
	entry := Endpoint{Name: "s-2", Addr: "127.0.0.1:7", Health: Ready, StartedAt: startedAt}
	startTime := func() time.Duration {
		return core.endpoints.policyEndpoint(core.endpoints.upsert(entry, core.now, 0)).StartedAt
	}
	first := startTime()
	core.now = core.clock.now() + time.Second
	again := startTime()
	if first > core.now || again != first {
		t.Errorf("start time in the future: got %v, then %v; want the same time, at most the present",
			first, again)
	}
}
