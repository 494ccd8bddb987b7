package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// world applies changes as a core would.
type world struct {
	t     *testing.T
	s     *Set
	now   time.Duration
	nodes map[string]Change // by key
	gone  map[string]bool   // keys that must not come again
	log   []Change
}

func newWorld(t *testing.T, cfg Config, sources ...Source) *world {
	t.Helper()
	if len(sources) == 0 {
		sources = []Source{{"platform", false}, {"eureka", true}}
	}
	s, err := New(cfg, sources...)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, s: s, now: time.Hour, nodes: make(map[string]Change), gone: make(map[string]bool)}
}

func (w *world) apply(changes []Change) {
	w.t.Helper()
	for _, c := range changes {
		w.log = append(w.log, c)
		if w.gone[c.Key] {
			w.t.Fatalf("key %s is used again", c.Key)
		}
		if c.State == Removed {
			if _, there := w.nodes[c.Key]; !there {
				w.t.Fatalf("%s has gone and never was", c.Key)
			}
			delete(w.nodes, c.Key)
			w.gone[c.Key] = true
			continue
		}
		w.nodes[c.Key] = c
	}
	ready, byAddr := 0, make(map[string]string)
	for _, c := range w.nodes {
		if c.State == Ready {
			ready++
		}
		if other := byAddr[c.Addr]; other != "" {
			w.t.Fatalf("%s and %s are both at %s", other, c.Key, c.Addr)
		}
		byAddr[c.Addr] = c.Key
	}
	if ready != w.s.Ready() {
		w.t.Fatalf("%d nodes are ready, the set says %d", ready, w.s.Ready())
	}
}

func (w *world) whole(source int, list ...Instance) {
	w.t.Helper()
	changes, err := w.s.ReplaceList(w.now, source, "r1", list)
	if err != nil {
		w.t.Fatal(err)
	}
	w.apply(changes)
}

func (w *world) put(source int, i Instance) {
	w.t.Helper()
	w.apply(w.s.ApplyDelta(w.now, source, "r1", []Delta{{Put, i}}))
}

func (w *world) del(source int, ids ...string) {
	w.t.Helper()
	var d []Delta
	for _, id := range ids {
		d = append(d, Delta{Delete, Instance{ID: id}})
	}
	w.apply(w.s.ApplyDelta(w.now, source, "r1", d))
}

func (w *world) pass(d time.Duration) {
	w.t.Helper()
	for end := w.now + d; w.now < end; {
		w.now += min(time.Second, end-w.now)
		w.apply(w.s.Tick(w.now))
	}
}

// at gives the node at an address.
func (w *world) at(addr string) Change {
	for _, c := range w.nodes {
		if c.Addr == addr {
			return c
		}
	}
	return Change{State: Removed}
}

func (w *world) want(addr string, state State, reason string) {
	w.t.Helper()
	c := w.at(addr)
	if c.State != state {
		w.t.Errorf("%s is in state %d (%s), want %d", addr, c.State, c.Reason, state)
	}
	got := c.Reason
	for _, m := range w.s.Members("", 1000) {
		if m.Addr == addr {
			got = m.Reason
		}
	}
	if !strings.Contains(got, reason) {
		w.t.Errorf("%s: reason %q, want %q in it", addr, got, reason)
	}
}

func inst(n int, status Status, dirty int64) Instance {
	return Instance{ID: fmt.Sprint("i", n), Name: fmt.Sprint("records-", n), Addr: fmt.Sprint("10.0.0.", n, ":80"), Status: status, Weight: 1, Cell: "c", Dirty: dirty}
}

func many(n int, status Status) []Instance {
	var all []Instance
	for i := range n {
		all = append(all, inst(i, status, 1))
	}
	return all
}

const (
	platform = 0
	eureka   = 1
)

func TestStatusesAreHonoured(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(4, Up)...)
	for i, status := range []Status{OutOfService, Down, Starting, Unknown} {
		w.put(eureka, inst(i, status, 2))
		w.want(inst(i, Up, 0).Addr, Draining, status.String())
		w.put(eureka, inst(i, Up, 3))
		w.want(inst(i, Up, 0).Addr, Ready, "UP by eureka")
	}
	if len(w.gone) > 0 {
		t.Errorf("%v went", w.gone)
	}
}

// A list with no instances, and silence for hours, leave the pool as it was.
func TestEmptyListAndSilence(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(5, Up)...)
	for range 100 {
		w.pass(30 * time.Second)
		w.whole(eureka)
	}
	if w.s.Ready() != 5 {
		t.Errorf("%d are ready after an hour of empty lists", w.s.Ready())
	}
	w.want(inst(0, Up, 0).Addr, Ready, "held")
	w.whole(eureka, many(5, Up)...)
	if src := w.s.Sources()[eureka]; src.Reason != "" || src.Live != 5 || src.Held != 0 {
		t.Errorf("back to normal it is %+v", src)
	}
	w.pass(time.Hour)
	if src := w.s.Sources()[eureka]; w.s.Ready() != 5 || !strings.Contains(src.Reason, "silent") {
		t.Errorf("%d ready, source %+v", w.s.Ready(), src)
	}
	w.apply(w.s.SourceResponded(w.now, eureka))
	if src := w.s.Sources()[eureka]; src.Reason != "" {
		t.Errorf("heard again it is %+v", src)
	}
}

// Half the instances vanish at once, in a list or a delta: they are held; a few
// are believed, a few more and more are not; what stays away for long enough is
// believed, but never the last.
func TestMassDisappearance(t *testing.T) {
	for name, vanish := range map[string]func(w *world){
		"list":  func(w *world) { w.whole(eureka, many(5, Up)...) },
		"delta": func(w *world) { w.del(eureka, "i5", "i6", "i7", "i8", "i9") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, Config{})
			w.whole(eureka, many(10, Up)...)
			vanish(w)
			if name == "list" && w.s.Ready() != 10 || w.s.Ready() < 7 {
				t.Errorf("%d are ready", w.s.Ready())
			}
			if src := w.s.Sources()[eureka]; !strings.Contains(src.Reason, "at once") {
				t.Errorf("source %+v", src)
			}
			w.want("10.0.0.9:80", Ready, "held")
			for range 25 { // and the source keeps to it
				w.pass(30 * time.Second)
				w.whole(eureka, many(5, Up)...)
			}
			if w.s.Ready() != 5 || w.at("10.0.0.9:80").State != Removed {
				t.Errorf("%d are ready after it kept to it for over %v", w.s.Ready(), DefaultLossHold)
			}
		})
	}
	w := newWorld(t, Config{})
	w.whole(eureka, many(10, Up)...)
	w.whole(eureka, many(8, Up)...)
	if w.s.Ready() != 8 {
		t.Errorf("%d ready, though two of ten may go", w.s.Ready())
	}
	for n := 7; n > 0; n-- { // one after the other is as good as at once
		w.whole(eureka, many(n, Up)...)
	}
	if w.s.Ready() != 7 {
		t.Errorf("%d ready after one went after the other, want 7", w.s.Ready())
	}
	only := newWorld(t, Config{})
	only.whole(eureka, many(1, Up)...)
	only.del(eureka, "i0")
	if only.s.Ready() != 1 {
		t.Error("the last one went")
	}
}

// News that are older than what is held, as of a replica that is behind, change
// nothing; but a drain is honoured whatever the clocks say.
func TestStaleReplica(t *testing.T) {
	w := newWorld(t, Config{})
	new1, old1 := inst(1, OutOfService, 9), inst(1, Up, 5)
	w.whole(eureka, new1, inst(2, Up, 1), inst(3, Up, 1))
	changes, err := w.s.ReplaceList(w.now, eureka, "behind", []Instance{old1, inst(2, Up, 1), inst(3, Up, 1)})
	if err != nil || len(changes) != 0 {
		t.Errorf("an older list changes %+v, %v", changes, err)
	}
	w.want(old1.Addr, Draining, "OUT_OF_SERVICE")
	// The same news of an instance, by a registry's clock an hour behind.
	behind := inst(2, OutOfService, 1)
	behind.Updated = -3600_000
	changes, _ = w.s.ReplaceList(w.now, eureka, "behind", []Instance{old1, behind, inst(3, Up, 1)})
	w.apply(changes)
	w.want(behind.Addr, Draining, "OUT_OF_SERVICE")
	// Back in service by the same clock: believed at once by the same replica.
	back := behind
	back.Status, back.Updated = Up, behind.Updated+1
	w.apply(w.s.ApplyDelta(w.now, eureka, "behind", []Delta{{Put, back}}))
	w.want(back.Addr, Ready, "UP")
	// What is older and stays so is believed in the end: the instance's own clock was set back.
	for range 40 {
		w.pass(time.Second)
		changes, _ = w.s.ReplaceList(w.now, eureka, "behind", []Instance{old1, back, inst(3, Up, 1)})
		w.apply(changes)
	}
	w.want(old1.Addr, Ready, "UP")
}

// What was deleted is not brought back by a list from before.
func TestTombstones(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(5, Up)...)
	w.del(eureka, "i4")
	w.want("10.0.0.4:80", Removed, "")
	w.put(eureka, inst(4, Up, 1))
	w.want("10.0.0.4:80", Removed, "")
	w.put(eureka, inst(4, Up, 2)) // it registered again
	w.want("10.0.0.4:80", Ready, "UP")
	w.del(eureka, "i4")
	w.pass(DefaultTombstoneLifetime + time.Second)
	if len(w.s.sources[eureka].records) != 4 || len(w.s.nodes) != 4 {
		t.Errorf("%d records and %d nodes are kept", len(w.s.sources[eureka].records), len(w.s.nodes))
	}
}

// A node registers again under a new id at the same address while the old one's
// work still runs: a new process, cold, that shares no keys for a while.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(3, Up)...)
	old := w.at("10.0.0.1:80")
	next := inst(1, Up, 7)
	next.ID = "i1-again"
	w.put(eureka, next) // the old lease is still listed
	fresh := w.at("10.0.0.1:80")
	if fresh.Key == old.Key || fresh.State != Ready || fresh.StartedAt != w.now || fresh.Cell != "" || old.Cell != "c" {
		t.Fatalf("old %+v, new %+v", old, fresh)
	}
	if last := w.log[len(w.log)-2]; last.Key != old.Key || last.State != Removed {
		t.Errorf("before it came %+v, want the old one's end", last)
	}
	w.del(eureka, "i1") // the old lease ends
	if got := w.at("10.0.0.1:80"); got.Key != fresh.Key || got.State != Ready {
		t.Errorf("after the old lease's end it is %+v", got)
	}
	w.pass(DefaultNewProcessPeriod + time.Second)
	if got := w.at("10.0.0.1:80"); got.Key != fresh.Key || got.Cell != "c" || got.StartedAt != fresh.StartedAt {
		t.Errorf("later it is %+v", got)
	}
	// The same id with a later start is another process too.
	restarted := next
	restarted.StartedAt, restarted.Dirty = w.now, 8
	w.put(eureka, restarted)
	if got := w.at("10.0.0.1:80"); got.Key == fresh.Key || got.StartedAt != w.now || got.Cell != "" {
		t.Errorf("restarted it is %+v", got)
	}
}

// Two instances claim one address: the later one counts, also where it says that
// it is out of service and the older one that it is up.
func TestTwoClaims(t *testing.T) {
	w := newWorld(t, Config{})
	older, newer := inst(1, Up, 5), inst(1, OutOfService, 6)
	newer.ID = "later"
	w.whole(eureka, older, newer, inst(2, Up, 1))
	w.want(older.Addr, Draining, "OUT_OF_SERVICE")
	if len(w.nodes) != 2 {
		t.Errorf("nodes %v", w.nodes)
	}
}

// A MODIFIED for an instance never seen is one more instance; a DELETED for such
// a one is nothing.
func TestNeverSeen(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(2, Up)...)
	w.put(eureka, inst(7, Up, 1))
	w.want("10.0.0.7:80", Ready, "UP")
	if got := w.at("10.0.0.7:80"); got.StartedAt != w.now {
		t.Errorf("one that came later started at %v, want now: nothing is known of it", got.StartedAt)
	}
	w.del(eureka, "never")
	if w.s.Ready() != 3 {
		t.Errorf("%d ready", w.s.Ready())
	}
}

// Sources disagree: the stricter status wins; and a source that has just taken a
// node out is heard for as long as its tombstone stands.
func TestStricterSourceWins(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(platform, many(3, Up)...)
	w.whole(eureka, many(3, Up)...)
	w.put(eureka, inst(1, OutOfService, 2))
	w.want("10.0.0.1:80", Draining, "OUT_OF_SERVICE by eureka")
	w.put(platform, inst(2, Down, 2))
	w.want("10.0.0.2:80", Draining, "DOWN by platform")
	w.del(eureka, "i0")
	w.want("10.0.0.0:80", Draining, "deleted by eureka, though UP by platform")
	w.pass(DefaultTombstoneLifetime + time.Second)
	w.want("10.0.0.0:80", Ready, "UP by platform")
	if len(w.gone) > 0 {
		t.Errorf("%v went", w.gone)
	}
}

// A node that flaps is drained until it has kept up for a while, but not where
// there is no other. Its drains are never put off.
func TestFlaps(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(3, Up)...)
	dirty := int64(1)
	flap := func(n int) {
		for _, status := range []Status{OutOfService, Up} {
			dirty++
			w.put(eureka, inst(n, status, dirty))
			if status != Up {
				w.want(inst(n, Up, 0).Addr, Draining, "OUT_OF_SERVICE")
			}
		}
	}
	flap(0)
	w.want("10.0.0.0:80", Ready, "UP")
	for range 3 {
		flap(0)
	}
	w.want("10.0.0.0:80", Draining, "flaps")
	w.pass(3 * halfLife)
	w.want("10.0.0.0:80", Ready, "UP")
	for range 5 {
		flap(1)
		flap(0)
		flap(2)
	}
	if w.s.Ready() == 0 {
		t.Error("all flap, and none is left")
	}
	w.pass(time.Minute * 2)
	if w.s.Ready() != 3 {
		t.Errorf("%d ready at the end", w.s.Ready())
	}
}

func TestTooLargeAListIsRefusedWhole(t *testing.T) {
	w := newWorld(t, Config{MaxNodes: 3})
	w.whole(eureka, many(3, Up)...)
	if _, err := w.s.ReplaceList(w.now, eureka, "r1", many(4, OutOfService)); err == nil || w.s.Ready() != 3 {
		t.Errorf("error %v, %d ready", err, w.s.Ready())
	}
}

// An instance moves to another address: the old address has gone.
func TestMoved(t *testing.T) {
	w := newWorld(t, Config{})
	w.whole(eureka, many(3, Up)...)
	moved := inst(1, Up, 2)
	moved.Addr = "10.0.0.99:80"
	w.put(eureka, moved)
	w.want("10.0.0.1:80", Removed, "")
	w.want("10.0.0.99:80", Ready, "UP")
}

func TestConfig(t *testing.T) {
	for name, c := range map[string]Config{"loss": {MaxLoss: 1}, "negative": {LossHold: -1}} {
		if _, err := New(c, Source{"a", false}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(Config{}); err == nil {
		t.Error("without a source: no error")
	}
}
