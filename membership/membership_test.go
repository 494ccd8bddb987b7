package membership

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// An endpoint drains while its instance has any status other than Up, and becomes Ready again with Up.
func TestStatusDeterminesState(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(4, Up)...)
	for i, status := range []Status{OutOfService, Down, Starting, Unknown} {
		core.put(eureka, testInstance(i, status, 2))
		core.wantState(testInstance(i, Up, 0).Addr, Draining, status.String())
		core.put(eureka, testInstance(i, Up, 3))
		core.wantState(testInstance(i, Up, 0).Addr, Ready, "UP by eureka")
	}
	if len(core.removed) > 0 {
		t.Errorf("got the removed endpoints %v, want none", core.removed)
	}
}

// A faulty registry that sends empty lists or does not respond for an hour must not change the view.
func TestEmptyListAndSilence(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(5, Up)...)
	for range 100 {
		core.advance(30 * time.Second)
		core.replaceList(eureka)
	}
	if core.set.Ready() != 5 {
		t.Errorf("got %d ready endpoints after 100 empty lists, want 5", core.set.Ready())
	}
	core.wantState(testInstance(0, Up, 0).Addr, Ready, "held")
	core.replaceList(eureka, testInstances(5, Up)...)
	if src := core.set.Sources()[eureka]; src.Reason != "" || src.Live != 5 || src.Held != 0 {
		t.Errorf("after a complete list: got the source %+v, want 5 live, none held and no reason", src)
	}
	core.advance(time.Hour)
	if src := core.set.Sources()[eureka]; core.set.Ready() != 5 || !strings.Contains(src.Reason, "silent") {
		t.Errorf("after an hour of silence: got %d ready and source %+v, want 5 and silent", core.set.Ready(), src)
	}
	core.apply(core.set.SourceResponded(core.now, eureka))
	if src := core.set.Sources()[eureka]; src.Reason != "" {
		t.Errorf("after a response: got the source %+v, want no reason", src)
	}
}

// Guards against instances of an authoritative source that stay after their removal, in a list or by deltas, and against one
// that is listed again and stays away because its entries have no time.
func TestAuthoritativeSourceIsFollowedAtOnce(t *testing.T) {
	for name, lose := range map[string]func(core *fakeCore){
		"list":  func(core *fakeCore) { core.replaceList(platform, testInstances(1, Up)...) },
		"delta": func(core *fakeCore) { core.delete(platform, "i1", "i2", "i3", "i4", "i5") },
		"last":  func(core *fakeCore) { core.delete(platform, "i0", "i1", "i2", "i3", "i4", "i5") },
	} {
		t.Run(name, func(t *testing.T) {
			core := newFakeCore(t, Config{}, Source{Name: "platform", Authoritative: true}, Source{Name: "eureka", Polled: true})
			core.replaceList(eureka, testInstance(9, Up, 1))
			core.replaceList(platform, withoutTimes(testInstances(6, Up))...)
			lose(core)
			for i := 1; i < 6; i++ {
				if state := core.endpointAt(testInstance(i, Up, 0).Addr).State; state != Removed {
					t.Errorf("instance %d: got state %v, want removed", i, state)
				}
			}
			core.advance(time.Second)
			core.put(platform, withoutTimes(testInstances(6, Up))[3])
			core.wantState(testInstance(3, Up, 0).Addr, Ready, "")
		})
	}
}

// withoutTimes removes the times of registrations, which the platform's entries do not have.
func withoutTimes(instances []Instance) []Instance {
	for i := range instances {
		instances[i].LastDirty, instances[i].LastUpdated = 0, 0
	}
	return instances
}

// If half the instances disappear at once, in a list or a delta, they are held, and removed only if
// they are still absent after LossHold.
func TestMassDisappearance(t *testing.T) {
	for name, loseHalf := range map[string]func(core *fakeCore){
		"list":  func(core *fakeCore) { core.replaceList(eureka, testInstances(5, Up)...) },
		"delta": func(core *fakeCore) { core.delete(eureka, "i5", "i6", "i7", "i8", "i9") },
	} {
		t.Run(name, func(t *testing.T) {
			core := newFakeCore(t, Config{})
			core.replaceList(eureka, testInstances(10, Up)...)
			loseHalf(core)
			if name == "list" && core.set.Ready() != 10 || core.set.Ready() < 7 {
				t.Errorf("got %d ready endpoints, want 10 after a list, at least 7 after a delta", core.set.Ready())
			}
			if src := core.set.Sources()[eureka]; !strings.Contains(src.Reason, "at once") {
				t.Errorf("got the source %+v, want the loss as its reason", src)
			}
			core.wantState("10.0.0.9:80", Ready, "held")
			for range 25 { // the source keeps responding without the lost instances
				core.advance(30 * time.Second)
				core.replaceList(eureka, testInstances(5, Up)...)
			}
			if core.set.Ready() != 5 || core.endpointAt("10.0.0.9:80").State != Removed {
				t.Errorf("got %d ready after an absence of over %v, want 5 without 10.0.0.9:80",
					core.set.Ready(), DefaultLossHold)
			}
		})
	}
}

// A loss of at most MaxLoss removes the lost instances. Losses within LossWindow are summed, so that
// many small losses cannot empty the view, and the last instance of a source is never removed.
func TestSmallLosses(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(10, Up)...)
	core.replaceList(eureka, testInstances(8, Up)...)
	if core.set.Ready() != 8 {
		t.Errorf("got %d ready endpoints after a loss of 2 of 10, want 8", core.set.Ready())
	}
	for n := 7; n > 0; n-- {
		core.replaceList(eureka, testInstances(n, Up)...)
	}
	if core.set.Ready() != 7 {
		t.Errorf("got %d ready endpoints after losses of one instance at a time, want 7", core.set.Ready())
	}
	single := newFakeCore(t, Config{})
	single.replaceList(eureka, testInstances(1, Up)...)
	single.delete(eureka, "i0")
	if single.set.Ready() != 1 {
		t.Error("the last instance of the source was removed")
	}
}

// An update that is older than the current record, as from a replica that lags, must not change the
// view. A drain applies immediately, even if the clock of the registry is wrong.
func TestStaleReplica(t *testing.T) {
	core := newFakeCore(t, Config{})
	newer, older := testInstance(1, OutOfService, 9), testInstance(1, Up, 5)
	second, third := testInstance(2, Up, 1), testInstance(3, Up, 1)
	core.replaceList(eureka, newer, second, third)
	changes, err := core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, second, third})
	if err != nil || len(changes) != 0 {
		t.Errorf("older list: got the changes %+v and error %v, want none", changes, err)
	}
	core.wantState(older.Addr, Draining, "OUT_OF_SERVICE")
	// The same registration is drained by a registry whose clock is an hour slow.
	drained := testInstance(2, OutOfService, 1)
	drained.LastUpdated = -3600_000
	changes, _ = core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, drained, third})
	core.apply(changes)
	core.wantState(drained.Addr, Draining, "OUT_OF_SERVICE")
	// A later update from the same replica applies immediately.
	restored := drained
	restored.Status, restored.LastUpdated = Up, drained.LastUpdated+1
	core.apply(core.set.ApplyDelta(core.now, eureka, "lagging", []Delta{{Put, restored}}))
	core.wantState(restored.Addr, Ready, "UP")
	// An older update that is repeated for StaleUpdateHold applies: the instance's clock was set back.
	for range 40 {
		core.advance(time.Second)
		changes, _ = core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, restored, third})
		core.apply(changes)
	}
	core.wantState(older.Addr, Ready, "UP")
}

// An update that is not newer than a tombstone must not add the deleted instance again. The tombstone
// is deleted after TombstoneLifetime.
func TestTombstones(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(5, Up)...)
	core.delete(eureka, "i4")
	core.wantState("10.0.0.4:80", Removed, "")
	core.put(eureka, testInstance(4, Up, 1))
	core.wantState("10.0.0.4:80", Removed, "")
	core.put(eureka, testInstance(4, Up, 2)) // a new registration
	core.wantState("10.0.0.4:80", Ready, "UP")
	core.delete(eureka, "i4")
	core.advance(DefaultTombstoneLifetime + time.Second)
	if len(core.set.sources[eureka].records) != 4 || len(core.set.endpoints) != 4 {
		t.Errorf("got %d records and %d endpoints, want 4 of each",
			len(core.set.sources[eureka].records), len(core.set.endpoints))
	}
}

// If an instance registers with a new ID, or a later start, at an address that is already known, the
// endpoint is a new process with a new key and start time, and belongs to no cell for
// NewProcessPeriod. The end of the old lease must not affect the new process.
func TestNewProcessAtKnownAddress(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(3, Up)...)
	previous := core.endpointAt("10.0.0.1:80")
	next := testInstance(1, Up, 7)
	next.ID = "i1-again"
	core.put(eureka, next) // the old lease has not expired yet
	current := core.endpointAt("10.0.0.1:80")
	if current.Key == previous.Key || current.State != Ready || current.StartedAt != core.now || current.Cell != "" ||
		previous.Cell != "c" {
		t.Fatalf("old %+v: got %+v, want a new key, Ready, started now, no cell", previous, current)
	}
	if removal := core.changes[len(core.changes)-2]; removal.Key != previous.Key || removal.State != Removed {
		t.Errorf("got the change %+v before the new process, want the removal of the old one", removal)
	}
	core.delete(eureka, "i1") // the old lease expires
	if got := core.endpointAt("10.0.0.1:80"); got.Key != current.Key || got.State != Ready {
		t.Errorf("after the old lease expired: got %+v, want the new process, Ready", got)
	}
	core.advance(DefaultNewProcessPeriod + time.Second)
	if got := core.endpointAt("10.0.0.1:80"); got.Key != current.Key || got.Cell != "c" ||
		got.StartedAt != current.StartedAt {
		t.Errorf("after NewProcessPeriod: got %+v, want the new process in cell c", got)
	}
	// The same ID with a later start is a new process as well.
	restarted := next
	restarted.StartedAt, restarted.LastDirty = core.now, 8
	core.put(eureka, restarted)
	if got := core.endpointAt("10.0.0.1:80"); got.Key == current.Key || got.StartedAt != core.now || got.Cell != "" {
		t.Errorf("after the restart: got %+v, want a new key, started now, no cell", got)
	}
}

// If one source lists two instances at the same address, the later process determines the state,
// even if it is out of service and the earlier one is Up.
func TestTwoInstancesAtOneAddress(t *testing.T) {
	core := newFakeCore(t, Config{})
	older, newer := testInstance(1, Up, 5), testInstance(1, OutOfService, 6)
	newer.ID = "later"
	core.replaceList(eureka, older, newer, testInstance(2, Up, 1))
	core.wantState(older.Addr, Draining, "OUT_OF_SERVICE")
	if len(core.endpoints) != 2 {
		t.Errorf("got the endpoints %v, want 2", core.endpoints)
	}
}

// A modification of an unknown instance adds the instance; a deletion of an unknown instance has no
// effect.
func TestUnknownInstance(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(2, Up)...)
	core.put(eureka, testInstance(7, Up, 1))
	core.wantState("10.0.0.7:80", Ready, "UP")
	if got := core.endpointAt("10.0.0.7:80"); got.StartedAt != core.now {
		t.Errorf("instance listed after the first list: got the start %v, want now", got.StartedAt)
	}
	core.delete(eureka, "unknown")
	if core.set.Ready() != 3 {
		t.Errorf("got %d ready endpoints, want 3", core.set.Ready())
	}
}

// If sources disagree, the strictest status applies. A tombstone of one source makes an endpoint
// drain that another source still lists.
func TestStrictestSourceApplies(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(platform, testInstances(3, Up)...)
	core.replaceList(eureka, testInstances(3, Up)...)
	core.put(eureka, testInstance(1, OutOfService, 2))
	core.wantState("10.0.0.1:80", Draining, "OUT_OF_SERVICE by eureka")
	core.put(platform, testInstance(2, Down, 2))
	core.wantState("10.0.0.2:80", Draining, "DOWN by platform")
	core.delete(eureka, "i0")
	core.wantState("10.0.0.0:80", Draining, "deleted by eureka, but UP by platform")
	core.advance(DefaultTombstoneLifetime + time.Second)
	core.wantState("10.0.0.0:80", Ready, "UP by platform")
	if len(core.removed) > 0 {
		t.Errorf("got the removed endpoints %v, want none", core.removed)
	}
}

// An endpoint that flaps drains until its penalty has decayed, unless no other endpoint is Ready.
// Damping never delays a drain.
func TestFlapDamping(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(3, Up)...)
	dirty := int64(1)
	flap := func(n int) {
		for _, status := range []Status{OutOfService, Up} {
			dirty++
			core.put(eureka, testInstance(n, status, dirty))
			if status != Up {
				core.wantState(testInstance(n, Up, 0).Addr, Draining, "OUT_OF_SERVICE")
			}
		}
	}
	flap(0)
	core.wantState("10.0.0.0:80", Ready, "UP")
	for range 3 {
		flap(0)
	}
	core.wantState("10.0.0.0:80", Draining, "flaps")
	core.advance(3 * penaltyHalfLife)
	core.wantState("10.0.0.0:80", Ready, "UP")
	for range 5 {
		flap(1)
		flap(0)
		flap(2)
	}
	if core.set.Ready() == 0 {
		t.Error("all endpoints flap: got no ready endpoint, want at least one")
	}
	core.advance(time.Minute * 2)
	if core.set.Ready() != 3 {
		t.Errorf("got %d ready endpoints after the penalties decayed, want 3", core.set.Ready())
	}
}

// A list with more than MaxInstances instances is rejected and the previous list stays in use.
func TestTooLongListIsRejected(t *testing.T) {
	core := newFakeCore(t, Config{MaxInstances: 3})
	core.replaceList(eureka, testInstances(3, Up)...)
	_, err := core.set.ReplaceList(core.now, eureka, "r1", testInstances(4, OutOfService))
	var tooLong *ListTooLongError
	if !errors.As(err, &tooLong) || tooLong.Source != "eureka" || tooLong.Instances != 4 || tooLong.Max != 3 {
		t.Errorf("got error %v, want a ListTooLongError for 4 instances of eureka, maximum 3", err)
	}
	if core.set.Ready() != 3 {
		t.Errorf("got %d ready endpoints, want 3", core.set.Ready())
	}
}

// If the address of an instance changes, the endpoint at the old address is removed.
func TestAddressChange(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(3, Up)...)
	update := testInstance(1, Up, 2)
	update.Addr = "10.0.0.99:80"
	core.put(eureka, update)
	core.wantState("10.0.0.1:80", Removed, "")
	core.wantState("10.0.0.99:80", Ready, "UP")
}

// New returns an error for a field that is out of bounds and for a Set without sources.
func TestConfig(t *testing.T) {
	for name, c := range map[string]Config{"loss": {MaxLoss: 1}, "negative": {LossHold: -1}} {
		if _, err := New(c, Source{Name: "a"}); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
	if _, err := New(Config{}); !errors.Is(err, ErrNoSource) {
		t.Errorf("without a source: got error %v, want ErrNoSource", err)
	}
}
