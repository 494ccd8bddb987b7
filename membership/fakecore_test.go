package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fakeCore stands in for the core: it applies the changes of a Set to a view of its own and checks
// that the changes are consistent.
type fakeCore struct {
	t         *testing.T
	set       *Set
	now       time.Duration
	endpoints map[string]Change // by key
	removed   map[string]bool   // keys of removed endpoints, which must not be used again
	changes   []Change          // all changes so far
}

// newFakeCore returns a fakeCore with a new Set. Without sources, the Set has the sources platform and
// eureka.
func newFakeCore(t *testing.T, cfg Config, sources ...Source) *fakeCore {
	t.Helper()
	if len(sources) == 0 {
		sources = []Source{{Name: "platform"}, {Name: "eureka", Polled: true}}
	}
	set, err := New(cfg, sources...)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeCore{t: t, set: set, now: time.Hour, endpoints: make(map[string]Change), removed: make(map[string]bool)}
}

func (core *fakeCore) apply(changes []Change) {
	core.t.Helper()
	for _, change := range changes {
		core.changes = append(core.changes, change)
		if core.removed[change.Key] {
			core.t.Fatalf("got a change of key %s, which was removed before", change.Key)
		}
		if change.State == Removed {
			core.remove(change.Key)
		} else {
			core.endpoints[change.Key] = change
		}
	}
	core.check()
}

func (core *fakeCore) remove(key string) {
	core.t.Helper()
	if _, present := core.endpoints[key]; !present {
		core.t.Fatalf("got the removal of %s, which is not in the view", key)
	}
	delete(core.endpoints, key)
	core.removed[key] = true
}

// check compares the number of ready endpoints with that of the Set, and checks that no two endpoints
// have the same address.
func (core *fakeCore) check() {
	core.t.Helper()
	ready, keyByAddr := 0, make(map[string]string)
	for _, endpoint := range core.endpoints {
		if endpoint.State == Ready {
			ready++
		}
		if other := keyByAddr[endpoint.Addr]; other != "" {
			core.t.Fatalf("the endpoints %s and %s have the same address %s", other, endpoint.Key, endpoint.Addr)
		}
		keyByAddr[endpoint.Addr] = endpoint.Key
	}
	if ready != core.set.Ready() {
		core.t.Fatalf("the view has %d ready endpoints, the Set reports %d", ready, core.set.Ready())
	}
}

func (core *fakeCore) replaceList(source int, list ...Instance) {
	core.t.Helper()
	changes, err := core.set.ReplaceList(core.now, source, "r1", list)
	if err != nil {
		core.t.Fatal(err)
	}
	core.apply(changes)
}

func (core *fakeCore) put(source int, instance Instance) {
	core.t.Helper()
	core.apply(core.set.ApplyDelta(core.now, source, "r1", []Delta{{Put, instance}}))
}

func (core *fakeCore) delete(source int, ids ...string) {
	core.t.Helper()
	var deltas []Delta
	for _, id := range ids {
		deltas = append(deltas, Delta{Delete, Instance{ID: id}})
	}
	core.apply(core.set.ApplyDelta(core.now, source, "r1", deltas))
}

// advance advances the time by d, with a Tick every second.
func (core *fakeCore) advance(d time.Duration) {
	core.t.Helper()
	for end := core.now + d; core.now < end; {
		core.now += min(time.Second, end-core.now)
		core.apply(core.set.Tick(core.now))
	}
}

// endpointAt returns the endpoint at an address, or a Change with the state Removed if there is none.
func (core *fakeCore) endpointAt(addr string) Change {
	for _, endpoint := range core.endpoints {
		if endpoint.Addr == addr {
			return endpoint
		}
	}
	return Change{State: Removed}
}

// wantState checks the state of the endpoint at an address, and that its reason contains the text
// reason.
func (core *fakeCore) wantState(addr string, state State, reason string) {
	core.t.Helper()
	endpoint := core.endpointAt(addr)
	if endpoint.State != state {
		core.t.Errorf("%s: got state %d (%s), want %d", addr, endpoint.State, endpoint.Reason, state)
	}
	got := endpoint.Reason
	for _, member := range core.set.Members("", 1000) {
		if member.Addr == addr {
			got = member.Reason
		}
	}
	if !strings.Contains(got, reason) {
		core.t.Errorf("%s: got the reason %q, want it to contain %q", addr, got, reason)
	}
}

// testInstance returns instance n with this status. Its ID, name and address follow from n.
func testInstance(n int, status Status, dirty int64) Instance {
	return Instance{
		ID:        fmt.Sprint("i", n),
		Name:      fmt.Sprint("records-", n),
		Addr:      fmt.Sprint("10.0.0.", n, ":80"),
		Status:    status,
		Weight:    1,
		Cell:      "c",
		LastDirty: dirty,
	}
}

// testInstances returns the instances 0 to n-1 with the same status.
func testInstances(n int, status Status) []Instance {
	var list []Instance
	for i := range n {
		list = append(list, testInstance(i, status, 1))
	}
	return list
}

// The indexes of the two default sources of a fakeCore.
const (
	platform = 0
	eureka   = 1
)
