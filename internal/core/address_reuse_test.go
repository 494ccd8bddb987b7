package core

import (
	"testing"
	"time"

	"mothridge/policy"
)

// listedEndpoint is an entry at the address that all endpoints of a test share. started is the Unix time of its
// start in seconds; 0: long ago.
func listedEndpoint(name string, started time.Duration) Endpoint {
	entry := readyEndpoint(name, "127.0.0.1:7")
	entry.StartedAt = started * time.Second
	return entry
}

// Only one process listens at an address. If the list names two endpoints there, attempts at the one whose
// process has ended would reach the process of the other one.
func TestEndpointsAtOneAddress(t *testing.T) {
	type states = map[string]addressReuse
	delta := func(entries ...Endpoint) EndpointUpdate { return EndpointUpdate{Endpoints: entries} }
	complete := func(entries ...Endpoint) EndpointUpdate {
		return EndpointUpdate{Complete: true, Endpoints: entries}
	}
	removed := listedEndpoint("old", 0)
	removed.Health = Removed
	moved, elsewhere := readyEndpoint("new", "127.0.0.1:8"), readyEndpoint("old", "127.0.0.1:8")
	goneNew := listedEndpoint("new", 5)
	goneNew.Health = Removed
	for _, tt := range []struct {
		name    string
		updates []EndpointUpdate
		wait    time.Duration // before the last update
		want    states
	}{
		{"a later start in a later update", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)),
		}, 0, states{"old": addressSuperseded, "new": addressUnshared}},
		{"no start times, in different updates", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 0)),
		}, 0, states{"old": addressSuperseded, "new": addressUnshared}},
		{"an earlier start in a later update", []EndpointUpdate{
			delta(listedEndpoint("old", 7)), delta(listedEndpoint("new", 5)),
		}, 0, states{"old": addressShared, "new": addressShared}},
		{"one complete list, the later start first", []EndpointUpdate{
			complete(listedEndpoint("new", 5), listedEndpoint("old", 0)),
		}, 0, states{"old": addressSuperseded, "new": addressUnshared}},
		{"one complete list, the later start last", []EndpointUpdate{
			complete(listedEndpoint("old", 0), listedEndpoint("new", 5)),
		}, 0, states{"old": addressSuperseded, "new": addressUnshared}},
		{"one complete list without start times", []EndpointUpdate{
			complete(listedEndpoint("old", 0), listedEndpoint("new", 0)),
		}, 0, states{"old": addressShared, "new": addressShared}},
		{"replaced in one update", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(removed, listedEndpoint("new", 5)),
		}, 0, states{"new": addressUnshared}},
		{"the old endpoint is listed again at once", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)), complete(listedEndpoint("old", 0)),
		}, 0, states{"old": addressSuperseded}},
		{"the new endpoint was listed by mistake and has moved", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)), complete(moved, listedEndpoint("old", 0)),
		}, addressSettleTime, states{"old": addressUnshared, "new": addressUnshared}},
		{"the old endpoint comes back at its address after the new one has gone", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)), delta(goneNew), delta(listedEndpoint("old", 9)),
		}, 0, states{"old": addressUnshared}},
		{"the old endpoint is removed and comes back under its name", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)), delta(removed), delta(listedEndpoint("old", 9)),
		}, 0, states{"old": addressUnshared, "new": addressSuperseded}},
		{"two endpoints swap their addresses", []EndpointUpdate{
			delta(listedEndpoint("old", 0), moved), delta(elsewhere, listedEndpoint("new", 0)),
		}, 0, states{"old": addressUnshared, "new": addressUnshared}},
		{"the old endpoint restarts at its address", []EndpointUpdate{
			delta(listedEndpoint("old", 0)), delta(listedEndpoint("new", 5)), delta(listedEndpoint("old", 9)),
		}, 0, states{"old": addressUnshared, "new": addressSuperseded}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			core := newTestCore(t)
			for i, update := range tt.updates {
				if i == len(tt.updates)-1 {
					core.now += tt.wait
				}
				(endpointsUpdated{update}).handle(core)
			}
			if got := len(core.endpoints.byName); got != len(tt.want) {
				t.Errorf("got %d endpoints, want %d", got, len(tt.want))
			}
			for name, want := range tt.want {
				checkAddressReuse(t, core, name, want)
			}
		})
	}
}

// checkAddressReuse checks what an endpoint's state says to the Balancer and to the guard.
func checkAddressReuse(t *testing.T, core *Core, name string, want addressReuse) {
	t.Helper()
	endpoint := core.endpoints.byName[name]
	if endpoint == nil {
		t.Fatalf("%s is not in the table", name)
	}
	if endpoint.addressReuse != want {
		t.Errorf("%s: got address state %v, want %v", name, endpoint.addressReuse, want)
	}
	got := core.endpoints.policyEndpoint(endpoint)
	wantHealth := policy.Ready
	if want == addressSuperseded {
		wantHealth = policy.Draining
	}
	if got.Health != wantHealth || got.AddressReused != (want != addressUnshared) {
		t.Errorf("%s: got health %v and address reused %v for state %v", name, got.Health, got.AddressReused, want)
	}
	if prevented := endpoint.unavailableSince.Load() != 0; prevented != (want == addressSuperseded) {
		t.Errorf("%s: got attempts prevented %v for state %v", name, prevented, want)
	}
}

// The last known list of a process that starts may contain an endpoint whose address has been reused since.
func TestCachedEndpointAtReusedAddress(t *testing.T) {
	core := newTestCore(t, listedEndpoint("old", 0))
	endpointsUpdated{EndpointUpdate{Endpoints: []Endpoint{listedEndpoint("new", 5)}}}.handle(core)
	checkAddressReuse(t, core, "old", addressSuperseded)
	checkAddressReuse(t, core, "new", addressUnshared)
	endpointsUpdated{EndpointUpdate{Complete: true, Endpoints: []Endpoint{listedEndpoint("new", 5)}}}.handle(core)
	if core.endpoints.byName["old"] != nil {
		t.Error("the complete list does not contain the old endpoint, but the table does")
	}
}
