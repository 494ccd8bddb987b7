package membership

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestStatusesAreHonoured(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(4, Up)...)
	for i, status := range []Status{OutOfService, Down, Starting, Unknown} {
		core.put(eureka, testInstance(i, status, 2))
		core.wantState(testInstance(i, Up, 0).Addr, Draining, status.String())
		core.put(eureka, testInstance(i, Up, 3))
		core.wantState(testInstance(i, Up, 0).Addr, Ready, "UP by eureka")
	}
	if len(core.removed) > 0 {
		t.Errorf("%v were removed", core.removed)
	}
}

// A list with no instances, and silence for hours, leave the pool as it was.
func TestEmptyListAndSilence(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(5, Up)...)
	for range 100 {
		core.advance(30 * time.Second)
		core.replaceList(eureka)
	}
	if core.set.Ready() != 5 {
		t.Errorf("%d are ready after an hour of empty lists", core.set.Ready())
	}
	core.wantState(testInstance(0, Up, 0).Addr, Ready, "held")
	core.replaceList(eureka, testInstances(5, Up)...)
	if src := core.set.Sources()[eureka]; src.Reason != "" || src.Live != 5 || src.Held != 0 {
		t.Errorf("back to normal it is %+v", src)
	}
	core.advance(time.Hour)
	if src := core.set.Sources()[eureka]; core.set.Ready() != 5 || !strings.Contains(src.Reason, "silent") {
		t.Errorf("%d ready, source %+v", core.set.Ready(), src)
	}
	core.apply(core.set.SourceResponded(core.now, eureka))
	if src := core.set.Sources()[eureka]; src.Reason != "" {
		t.Errorf("once it has responded it is %+v", src)
	}
}

// Half the instances disappear at once, in a list or a delta: they are held, and removed if
// they stay away for LossHold.
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
				t.Errorf("%d are ready", core.set.Ready())
			}
			if src := core.set.Sources()[eureka]; !strings.Contains(src.Reason, "at once") {
				t.Errorf("source %+v", src)
			}
			core.wantState("10.0.0.9:80", Ready, "held")
			for range 25 { // the source goes on without them
				core.advance(30 * time.Second)
				core.replaceList(eureka, testInstances(5, Up)...)
			}
			if core.set.Ready() != 5 || core.endpointAt("10.0.0.9:80").State != Removed {
				t.Errorf("%d are ready after they were absent for more than %v", core.set.Ready(), DefaultLossHold)
			}
		})
	}
}

// A small loss removes its instances. Small losses within the window are summed, and the last
// instance stays.
func TestSmallLosses(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(10, Up)...)
	core.replaceList(eureka, testInstances(8, Up)...)
	if core.set.Ready() != 8 {
		t.Errorf("%d ready, though two of ten may be lost", core.set.Ready())
	}
	for n := 7; n > 0; n-- {
		core.replaceList(eureka, testInstances(n, Up)...)
	}
	if core.set.Ready() != 7 {
		t.Errorf("%d ready after one was lost after the other, want 7", core.set.Ready())
	}
	single := newFakeCore(t, Config{})
	single.replaceList(eureka, testInstances(1, Up)...)
	single.delete(eureka, "i0")
	if single.set.Ready() != 1 {
		t.Error("the last one was removed")
	}
}

// Updates that are older than what is held, as of a replica that lags, change nothing. A
// drain is honoured whatever the clocks say.
func TestStaleReplica(t *testing.T) {
	core := newFakeCore(t, Config{})
	newer, older := testInstance(1, OutOfService, 9), testInstance(1, Up, 5)
	second, third := testInstance(2, Up, 1), testInstance(3, Up, 1)
	core.replaceList(eureka, newer, second, third)
	changes, err := core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, second, third})
	if err != nil || len(changes) != 0 {
		t.Errorf("an older list changes %+v, %v", changes, err)
	}
	core.wantState(older.Addr, Draining, "OUT_OF_SERVICE")
	// The same registration, by a registry's clock an hour slow.
	slow := testInstance(2, OutOfService, 1)
	slow.Updated = -3600_000
	changes, _ = core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, slow, third})
	core.apply(changes)
	core.wantState(slow.Addr, Draining, "OUT_OF_SERVICE")
	// Back in service by the same replica's clock: applied at once.
	back := slow
	back.Status, back.Updated = Up, slow.Updated+1
	core.apply(core.set.ApplyDelta(core.now, eureka, "lagging", []Delta{{Put, back}}))
	core.wantState(back.Addr, Ready, "UP")
	// What is older and is repeated is applied in the end: the instance's own clock was set back.
	for range 40 {
		core.advance(time.Second)
		changes, _ = core.set.ReplaceList(core.now, eureka, "lagging", []Instance{older, back, third})
		core.apply(changes)
	}
	core.wantState(older.Addr, Ready, "UP")
}

// An older update does not bring back a deleted instance.
func TestTombstones(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(5, Up)...)
	core.delete(eureka, "i4")
	core.wantState("10.0.0.4:80", Removed, "")
	core.put(eureka, testInstance(4, Up, 1))
	core.wantState("10.0.0.4:80", Removed, "")
	core.put(eureka, testInstance(4, Up, 2)) // it registered again
	core.wantState("10.0.0.4:80", Ready, "UP")
	core.delete(eureka, "i4")
	core.advance(DefaultTombstoneLifetime + time.Second)
	if len(core.set.sources[eureka].records) != 4 || len(core.set.endpoints) != 4 {
		t.Errorf("%d records and %d endpoints are kept", len(core.set.sources[eureka].records), len(core.set.endpoints))
	}
}

// An instance registers under a new ID at the address of another one: a new process with a
// key and a start of its own, in no cell for a while.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(3, Up)...)
	old := core.endpointAt("10.0.0.1:80")
	next := testInstance(1, Up, 7)
	next.ID = "i1-again"
	core.put(eureka, next) // the old lease has not run out
	fresh := core.endpointAt("10.0.0.1:80")
	if fresh.Key == old.Key || fresh.State != Ready || fresh.StartedAt != core.now || fresh.Cell != "" || old.Cell != "c" {
		t.Fatalf("old %+v, new %+v", old, fresh)
	}
	if last := core.changes[len(core.changes)-2]; last.Key != old.Key || last.State != Removed {
		t.Errorf("before it comes %+v, want the old one's removal", last)
	}
	core.delete(eureka, "i1") // the old lease ends
	if got := core.endpointAt("10.0.0.1:80"); got.Key != fresh.Key || got.State != Ready {
		t.Errorf("after the old lease's end it is %+v", got)
	}
	core.advance(DefaultNewProcessPeriod + time.Second)
	if got := core.endpointAt("10.0.0.1:80"); got.Key != fresh.Key || got.Cell != "c" || got.StartedAt != fresh.StartedAt {
		t.Errorf("later it is %+v", got)
	}
	// The same id with a later start is another process too.
	restarted := next
	restarted.StartedAt, restarted.Dirty = core.now, 8
	core.put(eureka, restarted)
	if got := core.endpointAt("10.0.0.1:80"); got.Key == fresh.Key || got.StartedAt != core.now || got.Cell != "" {
		t.Errorf("restarted it is %+v", got)
	}
}

// Of two instances of one source at an address the later process counts, also where it is
// out of service and the older one is up.
func TestTwoInstancesAtOneAddress(t *testing.T) {
	core := newFakeCore(t, Config{})
	older, newer := testInstance(1, Up, 5), testInstance(1, OutOfService, 6)
	newer.ID = "later"
	core.replaceList(eureka, older, newer, testInstance(2, Up, 1))
	core.wantState(older.Addr, Draining, "OUT_OF_SERVICE")
	if len(core.endpoints) != 2 {
		t.Errorf("endpoints %v", core.endpoints)
	}
}

// A MODIFIED for an unknown instance adds it; a DELETED for one does nothing.
func TestUnknownInstance(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(2, Up)...)
	core.put(eureka, testInstance(7, Up, 1))
	core.wantState("10.0.0.7:80", Ready, "UP")
	if got := core.endpointAt("10.0.0.7:80"); got.StartedAt != core.now {
		t.Errorf("one that came after the first list started at %v, want now", got.StartedAt)
	}
	core.delete(eureka, "unknown")
	if core.set.Ready() != 3 {
		t.Errorf("%d ready", core.set.Ready())
	}
}

// Where sources disagree the stricter status wins, and a tombstone of one source makes an
// endpoint drain that another one lists.
func TestStricterSourceWins(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(platform, testInstances(3, Up)...)
	core.replaceList(eureka, testInstances(3, Up)...)
	core.put(eureka, testInstance(1, OutOfService, 2))
	core.wantState("10.0.0.1:80", Draining, "OUT_OF_SERVICE by eureka")
	core.put(platform, testInstance(2, Down, 2))
	core.wantState("10.0.0.2:80", Draining, "DOWN by platform")
	core.delete(eureka, "i0")
	core.wantState("10.0.0.0:80", Draining, "deleted by eureka, though UP by platform")
	core.advance(DefaultTombstoneLifetime + time.Second)
	core.wantState("10.0.0.0:80", Ready, "UP by platform")
	if len(core.removed) > 0 {
		t.Errorf("%v were removed", core.removed)
	}
}

// An endpoint that flaps drains until its penalty has decayed, unless there is no other. Its
// drains are never delayed.
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
		t.Error("all flap, and none is ready")
	}
	core.advance(time.Minute * 2)
	if core.set.Ready() != 3 {
		t.Errorf("%d ready at the end", core.set.Ready())
	}
}

func TestTooLongListIsRejected(t *testing.T) {
	core := newFakeCore(t, Config{MaxNodes: 3})
	core.replaceList(eureka, testInstances(3, Up)...)
	_, err := core.set.ReplaceList(core.now, eureka, "r1", testInstances(4, OutOfService))
	var tooLong *ListTooLongError
	if !errors.As(err, &tooLong) || tooLong.Source != "eureka" || tooLong.Instances != 4 || tooLong.Max != 3 {
		t.Errorf("error %v", err)
	}
	if core.set.Ready() != 3 {
		t.Errorf("%d are ready, want 3", core.set.Ready())
	}
}

// An instance gets another address: the endpoint at the old one is removed.
func TestAddressChange(t *testing.T) {
	core := newFakeCore(t, Config{})
	core.replaceList(eureka, testInstances(3, Up)...)
	update := testInstance(1, Up, 2)
	update.Addr = "10.0.0.99:80"
	core.put(eureka, update)
	core.wantState("10.0.0.1:80", Removed, "")
	core.wantState("10.0.0.99:80", Ready, "UP")
}

func TestConfig(t *testing.T) {
	for name, c := range map[string]Config{"loss": {MaxLoss: 1}, "negative": {LossHold: -1}} {
		if _, err := New(c, Source{"a", false}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(Config{}); !errors.Is(err, ErrNoSource) {
		t.Errorf("without a source: error %v", err)
	}
}
