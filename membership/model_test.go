package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// model is a reference implementation of the rule table in the design document that evaluates all
// records for each query. It has no flap damping, no stale updates and no processes. Because of flap
// damping, the Set may drain an endpoint that is Ready in the model.
type model struct {
	now            time.Duration
	records        [2]map[string]*modelRecord // by source and instance ID
	windowStart    [2]time.Duration
	lossBaseline   [2]int
	lastResponseAt [2]time.Duration
	authoritative  bool // the platform
}

type modelRecord struct {
	instance Instance
	deleted  bool
	held     bool
	since    time.Duration // when the record became deleted or held
}

func newModel() *model {
	m := &model{}
	for source := range m.records {
		m.records[source] = make(map[string]*modelRecord)
	}
	return m
}

// live returns the number of live records of a source.
func (m *model) live(source int) int {
	n := 0
	for _, rec := range m.records[source] {
		if !rec.deleted && !rec.held {
			n++
		}
	}
	return n
}

func (m *model) lossAllowed(source, n int) bool {
	if m.authoritative && source == platform {
		return true
	}
	live := m.live(source)
	if m.now-m.windowStart[source] >= DefaultLossWindow || m.lossBaseline[source] < live {
		m.windowStart[source], m.lossBaseline[source] = m.now, live
	}
	if live-n < 1 {
		return false
	}
	lost := m.lossBaseline[source] - live + n
	return lost <= max(1, int(float64(m.lossBaseline[source])*DefaultMaxLoss))
}

func (m *model) put(source int, instance Instance) {
	m.records[source][instance.ID] = &modelRecord{instance: instance}
}

func (m *model) replaceList(source int, list []Instance) {
	present := make(map[string]bool)
	for _, instance := range list {
		present[instance.ID] = true
		m.put(source, instance)
	}
	var absent []string
	for id := range m.records[source] {
		if !present[id] {
			absent = append(absent, id)
		}
	}
	m.remove(source, absent)
}

func (m *model) remove(source int, ids []string) {
	var absent []*modelRecord
	for _, id := range ids {
		if rec := m.records[source][id]; rec != nil && !rec.deleted && !rec.held {
			absent = append(absent, rec)
		}
	}
	if len(absent) == 0 {
		return
	}
	allowed := m.lossAllowed(source, len(absent))
	for _, rec := range absent {
		rec.deleted, rec.held, rec.since = allowed, !allowed, m.now
	}
}

func (m *model) tick() {
	for source := range m.records {
		live := m.live(source)
		silent := source == eureka && m.now-m.lastResponseAt[source] >= DefaultSilentAfter
		for id, rec := range m.records[source] {
			if rec.deleted && m.now-rec.since >= DefaultTombstoneLifetime {
				delete(m.records[source], id)
			} else if rec.held && m.now-rec.since >= DefaultLossHold && live > 0 && !silent {
				rec.deleted, rec.held, rec.since = true, false, m.now
			}
		}
	}
}

// state returns the state that the rule table gives the endpoint at an address.
func (m *model) state(addr string) State {
	anyPresent, anyTombstone, strictest := false, false, Up
	for source := range m.records {
		present, tombstone := false, false
		for _, rec := range m.records[source] {
			switch {
			case rec.instance.Addr != addr:
			case rec.deleted:
				tombstone = true
			default:
				present = true
				strictest = max(strictest, rec.instance.Status)
			}
		}
		anyPresent = anyPresent || present
		anyTombstone = anyTombstone || tombstone && !present
	}
	switch {
	case !anyPresent:
		return Removed
	case strictest != Up || anyTombstone:
		return Draining
	}
	return Ready
}

// After random events the view must equal the model, except for endpoints that flap damping drains.
// No key may be used twice, and neither silence nor disappearing instances may empty the view.
func TestAgainstModel(t *testing.T) {
	seeds := 300
	first := uint64(1)
	if text := os.Getenv("MEMBERSHIP_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, seeds = n, 1
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		if !t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runAgainstModel(t, seed) }) {
			t.Fatalf("to reproduce the failure, set MEMBERSHIP_SEED=%d", seed)
		}
	}
}

// modelInstances is the number of instances in the random events.
const modelInstances = 12

// modelRun applies the same random events to a Set and to the model.
type modelRun struct {
	rng   *rand.Rand
	core  *fakeCore
	model *model
	dirty int64
}

func runAgainstModel(t *testing.T, seed uint64) {
	run := &modelRun{rng: rand.New(rand.NewPCG(seed, 9)), model: newModel()}
	run.model.authoritative = seed%2 == 0
	run.core = newFakeCore(t, Config{}, Source{Name: "platform", Authoritative: run.model.authoritative}, Source{Name: "eureka", Polled: true})
	for step := range 200 {
		source := run.rng.IntN(2)
		run.advance()
		run.model.lastResponseAt[source] = run.model.now
		switch run.rng.IntN(8) {
		case 0:
			list := run.randomList()
			run.model.replaceList(source, list)
			run.core.replaceList(source, list...)
		case 1, 2:
			id := fmt.Sprint("i", run.rng.IntN(modelInstances))
			run.model.remove(source, []string{id})
			run.core.delete(source, id)
		default:
			instance := run.randomInstance()
			run.model.put(source, instance)
			run.core.put(source, instance)
		}
		run.compare(t, step)
	}
}

func (run *modelRun) advance() {
	if run.rng.IntN(3) > 0 {
		pause := time.Duration(run.rng.IntN(5000)) * time.Millisecond
		if run.rng.IntN(40) == 0 {
			pause = time.Duration(run.rng.IntN(15)) * time.Minute
		}
		run.core.now += pause
	}
	run.model.now = run.core.now
	run.core.apply(run.core.set.Tick(run.core.now))
	run.model.tick()
}

func (run *modelRun) randomInstance() Instance {
	run.dirty++
	status := Up
	if run.rng.IntN(3) == 0 {
		status = Status(run.rng.IntN(5))
	}
	instance := testInstance(run.rng.IntN(modelInstances), status, run.dirty)
	instance.StartedAt = time.Minute // known; other tests cover unknown starts
	return instance
}

func (run *modelRun) randomList() []Instance {
	var list []Instance
	for id := range modelInstances {
		if run.rng.IntN(4) > 0 {
			instance := run.randomInstance()
			identity := testInstance(id, instance.Status, instance.LastDirty)
			instance.ID, instance.Name, instance.Addr = identity.ID, identity.Name, identity.Addr
			list = append(list, instance)
		}
	}
	if run.rng.IntN(5) == 0 {
		return nil
	}
	return list
}

// compare checks the state of each endpoint against the model.
func (run *modelRun) compare(t *testing.T, step int) {
	t.Helper()
	set := run.core.set
	modelReady := 0
	for id := range modelInstances {
		addr := testInstance(id, Up, 0).Addr
		want, got := run.model.state(addr), run.core.endpointAt(addr)
		if want == Ready {
			modelReady++
		}
		suppressed := set.endpoints[addr] != nil && set.endpoints[addr].suppressed
		damped := want == Ready && got.State == Draining && suppressed
		if got.State != want && !damped {
			t.Fatalf("step %d: %s: got state %d (%s), want %d as in the model", step, addr, got.State, got.Reason, want)
		}
	}
	if modelReady > 0 && set.Ready() == 0 {
		t.Fatalf("step %d: got no ready endpoint, the model has %d", step, modelReady)
	}
}
