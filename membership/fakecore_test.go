package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fakeCore keeps the view that the changes of a Set add up to, and checks that they are consistent.
type fakeCore struct {
	t         *testing.T
	set       *Set
	now       time.Duration
	endpoints map[string]Change // by key
	removed   map[string]bool   // keys that must not be used again
	changes   []Change          // all so far
}

func newFakeCore(t *testing.T, cfg Config, sources ...Source) *fakeCore {
	t.Helper()
	if len(sources) == 0 {
		sources = []Source{{"platform", false}, {"eureka", true}}
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
			core.t.Fatalf("key %s is used again", change.Key)
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
		core.t.Fatalf("%s is removed and was never there", key)
	}
	delete(core.endpoints, key)
	core.removed[key] = true
}

// check compares the view with the Set's own count, and its addresses with one another.
func (core *fakeCore) check() {
	core.t.Helper()
	ready, keyByAddr := 0, make(map[string]string)
	for _, endpoint := range core.endpoints {
		if endpoint.State == Ready {
			ready++
		}
		if other := keyByAddr[endpoint.Addr]; other != "" {
			core.t.Fatalf("%s and %s are both at %s", other, endpoint.Key, endpoint.Addr)
		}
		keyByAddr[endpoint.Addr] = endpoint.Key
	}
	if ready != core.set.Ready() {
		core.t.Fatalf("%d endpoints are ready, the set says %d", ready, core.set.Ready())
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

// advance lets time pass with a Tick every second.
func (core *fakeCore) advance(d time.Duration) {
	core.t.Helper()
	for end := core.now + d; core.now < end; {
		core.now += min(time.Second, end-core.now)
		core.apply(core.set.Tick(core.now))
	}
}

// endpointAt returns the endpoint at an address; its state is Removed if there is none.
func (core *fakeCore) endpointAt(addr string) Change {
	for _, endpoint := range core.endpoints {
		if endpoint.Addr == addr {
			return endpoint
		}
	}
	return Change{State: Removed}
}

// wantState checks the state at an address, and that its reason contains a text.
func (core *fakeCore) wantState(addr string, state State, reason string) {
	core.t.Helper()
	endpoint := core.endpointAt(addr)
	if endpoint.State != state {
		core.t.Errorf("%s is in state %d (%s), want %d", addr, endpoint.State, endpoint.Reason, state)
	}
	got := endpoint.Reason
	for _, member := range core.set.Members("", 1000) {
		if member.Addr == addr {
			got = member.Reason
		}
	}
	if !strings.Contains(got, reason) {
		core.t.Errorf("%s: reason %q, want %q in it", addr, got, reason)
	}
}

func testInstance(n int, status Status, dirty int64) Instance {
	return Instance{
		ID:     fmt.Sprint("i", n),
		Name:   fmt.Sprint("records-", n),
		Addr:   fmt.Sprint("10.0.0.", n, ":80"),
		Status: status,
		Weight: 1,
		Cell:   "c",
		Dirty:  dirty,
	}
}

// testInstances returns the instances 0 to n-1 of one status.
func testInstances(n int, status Status) []Instance {
	var all []Instance
	for i := range n {
		all = append(all, testInstance(i, status, 1))
	}
	return all
}

// The sources of a fakeCore.
const (
	platform = 0
	eureka   = 1
)
