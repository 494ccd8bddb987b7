package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// world drives a Balancer with legal events in arbitrary order and checks the
// rules at every action. It models no server timing: it picks what happens.
type world struct {
	t       testing.TB
	cfg     Config
	b       *Balancer
	now     time.Duration
	next    RequestID
	held    map[RequestID]*asked
	order   []RequestID // ids of held, in order, so that a run can be repeated
	listed  map[EndpointID]Endpoint
	trace   []string
	watches int
	cold    map[EndpointID][]time.Duration // sends to each cold server in the last second
	timers  []time.Duration
	probed  []EndpointID // not answered yet
	slots   []int        // of each compartment
}

// asked is what the world knows of one request.
type asked struct {
	q        Request
	deadline time.Duration
	tries    []tried
	answered bool
}

type tried struct {
	to   Endpoint
	sent time.Duration
	end  AttemptResult
	out  bool
}

func (a *asked) mayHaveRun() *tried {
	for i := range a.tries {
		if e := a.tries[i].end; a.tries[i].out || (e != Rejected && e != ConnectionFailed && e != NotSent) {
			return &a.tries[i]
		}
	}
	return nil
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *world) Send(id RequestID, to EndpointID, timeout, within time.Duration) {
	w.note("send %d %d %v", id, to, timeout)
	a, s := w.held[id], w.listed[to]
	switch {
	case a == nil || a.answered:
		w.t.Fatalf("rule 1: attempt for request %d, which is over", id)
	case s.Health != Ready:
		w.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.Health)
	case timeout <= 0 || w.now+timeout > a.deadline:
		w.t.Fatalf("rule 1: time-out %v at %v runs past the deadline %v", timeout, w.now, a.deadline)
	case len(a.tries) >= w.cfg.MaxAttempts:
		w.t.Fatalf("attempt %d of at most %d", len(a.tries)+1, w.cfg.MaxAttempts)
	}
	class := w.cfg.Classes[a.q.Class]
	if first := a.mayHaveRun(); first != nil {
		switch {
		case class.Idempotency == IdempotentByKey && (within <= 0 || w.now+within > first.sent+class.DedupWindow):
			w.t.Fatalf("rule 2: keyed request %d may be written %v later, past its window of %v from %v", id, within, class.DedupWindow, first.sent)
		case class.Idempotency == NotIdempotent:
			w.t.Fatalf("rule 2: unsafe request %d sent again though it may have run", id)
		case class.Idempotency == IdempotentByKey && w.now-first.sent >= class.DedupWindow:
			w.t.Fatalf("rule 2: keyed request %d sent again %v after the first send", id, w.now-first.sent)
		case class.Idempotency == IdempotentByKey && class.DedupScope == ScopeZone && s.Zone != first.to.Zone,
			class.Idempotency == IdempotentByKey && class.DedupScope == ScopeCell && s.Cell != first.to.Cell:
			w.t.Fatalf("rule 2: keyed request %d sent outside its group", id)
		}
	}
	w.watchCold(s)
	a.tries = append(a.tries, tried{to: s, sent: w.now, out: true})
}

// watchCold checks that this balancer keeps to its even part of a cold server's budget in any
// second, with one send of slack at each end of it.
func (w *world) watchCold(s Endpoint) {
	if s.StartedAt == 0 || w.now >= s.StartedAt+w.cfg.SlowStartDuration {
		return
	}
	weight := func(s Endpoint) float64 { return max(s.Weight, 1) } // no weight counts as 1
	quota, total := 0.0, 0.0
	for _, t := range w.cfg.Tenants {
		quota += t.Quota
	}
	for _, o := range w.listed {
		if o.Health == Ready {
			total += weight(o)
		}
	}
	warm := w.cfg.SlowStartInitialShare + (1-w.cfg.SlowStartInitialShare)*float64(w.now-s.StartedAt)/float64(w.cfg.SlowStartDuration)
	budget := 2 + w.cfg.SlowStartOverloadFactor*warm*quota/float64(w.cfg.FleetSize)*weight(s)/total
	recent := slices.DeleteFunc(w.cold[s.ID], func(at time.Duration) bool { return at <= w.now-time.Second })
	w.cold[s.ID] = append(recent, w.now)
	if n := float64(len(w.cold[s.ID])); n > budget {
		w.t.Fatalf("rule 4: %v sends within a second to cold server %d, the budget is %.1f", n, s.ID, budget)
	}
}

func (w *world) answer(id RequestID) *asked {
	a := w.held[id]
	if a == nil || a.answered {
		w.t.Fatalf("rule 1: second answer for request %d, or one for a request not held", id)
	}
	if w.now > a.deadline+20*ms {
		w.t.Fatalf("rule 1: answered %v after the deadline", w.now-a.deadline)
	}
	a.answered = true
	return a
}

func (w *world) Reject(id RequestID, pause time.Duration) {
	w.note("refuse %d %v", id, pause)
	a := w.answer(id)
	class := w.cfg.Classes[a.q.Class]
	if a.mayHaveRun() != nil && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != ScopeAll) {
		w.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if pause < 0 || pause > w.cfg.MaxRetryAfter {
		w.t.Fatalf("pause %v", pause)
	}
}

func (w *world) Fail(id RequestID)                { w.note("fail %d", id); w.answer(id) }
func (w *world) Cancel(id RequestID, attempt int) { w.note("cancel %d %d", id, attempt) }
func (w *world) SetTimer(d time.Duration)         { w.note("wake %v", d); w.timers = append(w.timers, w.now+d) }
func (w *world) Probe(to EndpointID)              { w.note("probe %d", to); w.probed = append(w.probed, to) }
func (w *world) RequestWatch()                    { w.note("watch"); w.watches++ }

// drive runs a world; pick(n) chooses among n possibilities.
func drive(t testing.TB, steps int, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true, pick(2) == 0
	cfg.FleetSize = []int{2, 1000}[pick(2)] // many: traffic too thin to know servers by
	cfg.CrossZoneCost = float64(pick(2)) * 0.02
	w := &world{t: t, cfg: cfg, held: map[RequestID]*asked{}, listed: map[EndpointID]Endpoint{}, now: time.Hour}
	w.cold = map[EndpointID][]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	b.Start(w.now)
	for i := range cfg.Tenants {
		w.slots = append(w.slots, b.SlotsFree(i))
	}
	for range steps {
		w.step(pick)
		w.account()
	}
	for range 600 { // everything left is answered in time
		w.now += 5 * ms
		w.timeouts()
		w.account()
	}
	for id, a := range w.held {
		if !a.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	for i, slots := range w.slots {
		if free := b.SlotsFree(i); free != slots {
			t.Fatalf("compartment %d: %d of %d slots free after all has ended", i, free, slots)
		}
	}
	return w.trace
}

func (w *world) step(pick func(int) int) {
	w.now += time.Duration(pick(8)) * ms
	w.timeouts()
	switch pick(10) {
	case 0, 1, 2:
		w.next++
		q := Request{ID: w.next, Class: pick(len(w.cfg.Classes)), Tenant: pick(2)}
		q.Timeout = time.Duration(1+pick(2000)) * ms
		if pick(8) == 0 {
			q.Timeout /= 1000 // as good as none left
		}
		w.held[q.ID] = &asked{q: q, deadline: w.now + q.Timeout}
		w.order = append(w.order, q.ID)
		w.b.RequestReceived(w.now, q)
	case 3, 4, 5:
		w.finish(pick)
	case 6:
		w.b.TimerFired(w.now) // one that nobody asked for
	case 7:
		w.list(pick)
	case 8:
		id := EndpointID(pick(8)) // not asked for, now and then
		if n := len(w.probed); n > 0 && pick(8) > 0 {
			k := pick(n)
			id = w.probed[k]
			w.probed = slices.Delete(w.probed, k, k+1)
		}
		w.b.ProbeCompleted(w.now, id, pick(3) > 0, LoadReport{InFlight: float64(pick(40) - 1)})
	case 9:
		if len(w.order) > 0 {
			if id := w.order[pick(len(w.order))]; !w.held[id].answered {
				w.held[id].answered = true
				w.b.ClientDisconnected(w.now, id)
			}
		}
	}
}

// finish ends one attempt that is out.
func (w *world) finish(pick func(int) int) {
	for range 4 {
		if len(w.order) == 0 {
			return
		}
		id := w.order[pick(len(w.order))]
		for i := range w.held[id].tries {
			if w.held[id].tries[i].out {
				w.end(id, i, []AttemptResult{Served, ServerError, Rejected, ConnectionFailed, ConnectionReset, Cancelled, NotSent}[pick(7)])
				return
			}
		}
	}
}

func (w *world) end(id RequestID, i int, e AttemptResult) {
	a := w.held[id]
	a.tries[i].out, a.tries[i].end = false, e
	settled := a.answered || e == Served
	a.answered = settled
	w.b.AttemptEnded(w.now, AttemptOutcome{ID: id, Attempt: i, Result: e, Completed: settled})
}

// wake calls the Balancer as often as its timers have come due, and no more.
func (w *world) wake() {
	due := len(w.timers)
	w.timers = slices.DeleteFunc(w.timers, func(at time.Duration) bool { return at <= w.now })
	for range due - len(w.timers) {
		w.b.TimerFired(w.now)
	}
}

// timeouts ends the attempts whose request's deadline has come, and wakes the
// Balancer as its timers would.
func (w *world) timeouts() {
	w.wake()
	for _, id := range w.order {
		for i := range w.held[id].tries {
			if a := w.held[id]; a.tries[i].out && w.now >= a.deadline {
				w.end(id, i, TimedOut)
			}
		}
	}
}

func (w *world) list(pick func(int) int) {
	entry := func() Endpoint {
		id := EndpointID(pick(8))
		s := Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, Health: Health(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.StartedAt = w.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := UpdateKind(pick(4))
	if kind == FailedUpdate {
		w.b.EndpointsUpdated(w.now, kind, nil)
		return
	}
	var entries []Endpoint
	if kind != DeltaUpdate {
		clear(w.listed)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o Endpoint) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		w.listed[s.ID] = s
	}
	w.b.EndpointsUpdated(w.now, kind, entries)
}

// account checks that no compartment has more attempts out than slots, and forgets what is over.
func (w *world) account() {
	used := make([]int, len(w.cfg.Tenants))
	for _, a := range w.held {
		for _, tr := range a.tries {
			if tr.out {
				used[a.q.Tenant]++
			}
		}
	}
	for i := range used {
		if free := w.b.SlotsFree(i); free < 0 || used[i] > w.slots[i]-free {
			w.t.Fatalf("compartment %d: %d attempts out, %d of %d slots free", i, used[i], free, w.slots[i])
		}
	}
	if len(w.order) > 60 { // forget what is over
		w.order = slices.DeleteFunc(w.order, func(id RequestID) bool {
			a := w.held[id]
			over := a.answered && !slices.ContainsFunc(a.tries, func(tr tried) bool { return tr.out })
			if over {
				delete(w.held, id)
			}
			return over
		})
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		drive(t, 600, rng.IntN)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := drive(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := drive(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs over the same events differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		drive(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}

// caught is a testing.TB that stops at the first failure it is told of.
type caught struct {
	testing.TB
	what string
}

func (c *caught) Fatalf(format string, args ...any) {
	c.what = fmt.Sprintf(format, args...)
	panic(c)
}

// The watch over the rules is worth nothing unless it sees a rule broken.
func TestTheWatchSeesPlantedViolations(t *testing.T) {
	tests := []struct {
		name, want string
		act        func(w *world)
	}{
		{"a second answer", "rule 1", func(w *world) { w.Fail(1); w.Fail(1) }},
		{"a send after the answer", "rule 1", func(w *world) { w.Fail(1); w.Send(1, 1, ms, ms) }},
		{"an answer far too late", "rule 1", func(w *world) { w.now += 3 * time.Second; w.Fail(1) }},
		{"an unsafe request twice", "rule 2", func(w *world) { w.Send(1, 1, ms, ms); w.Send(1, 1, ms, ms) }},
		{"a refusal of what may have run", "rule 2", func(w *world) { w.Send(1, 1, ms, ms); w.Reject(1, 0) }},
		{"a burst to a cold server", "rule 4", func(w *world) {
			for id := RequestID(10); id < 60; id++ {
				w.held[id] = &asked{q: Request{ID: id}, deadline: w.now + time.Second}
				w.Send(id, 3, ms, ms)
			}
		}},
		{"a send to a draining server", "rule 3", func(w *world) { w.Send(1, 2, ms, ms) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &caught{TB: t}
			w := &world{t: c, cfg: testConfig(), held: map[RequestID]*asked{}, listed: map[EndpointID]Endpoint{}}
			w.now, w.cold = time.Minute, map[EndpointID][]time.Duration{}
			w.listed[3] = Endpoint{ID: 3, Health: Ready, StartedAt: w.now}
			w.listed[1], w.listed[2] = Endpoint{ID: 1, Health: Ready}, Endpoint{ID: 2, Health: Draining}
			w.held[1] = &asked{q: Request{ID: 1, Class: unsafeClass}, deadline: w.now + 2*time.Second}
			defer func() {
				if p := recover(); p != nil && p != any(c) {
					panic(p)
				}
				if !strings.HasPrefix(c.what, tt.want) {
					t.Fatalf("caught %q, want a breach of %s", c.what, tt.want)
				}
			}()
			tt.act(w)
		})
	}
}
