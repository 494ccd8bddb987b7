package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomRun drives a Balancer with legal events in arbitrary order, while its ruleChecker
// checks the actions. It models no latencies: pick chooses what happens.
type randomRun struct {
	*ruleChecker
	b     *Balancer
	pick  func(n int) int // one of n possibilities
	last  RequestID
	order []RequestID // of the requests, so that a run can be repeated
	slots []int       // of each bulkhead
}

// runRandomEvents returns all actions of a run.
func runRandomEvents(t testing.TB, steps int, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true, pick(2) == 0
	cfg.FleetSize = []int{2, 1000}[pick(2)] // with many balancers traffic is low
	cfg.CrossZoneCost = float64(pick(2)) * 0.02
	run := &randomRun{ruleChecker: newRuleChecker(t, cfg, time.Hour), pick: pick}
	b, err := New(cfg, uint64(pick(1000)), run)
	if err != nil {
		t.Fatal(err)
	}
	run.b = b
	b.Start(run.now)
	for tenant := range cfg.Tenants {
		run.slots = append(run.slots, b.SlotsFree(tenant))
	}
	for range steps {
		run.step()
		run.checkSlots()
	}
	for range 600 { // everything left is answered in time
		run.now += 5 * ms
		run.passTime()
		run.checkSlots()
	}
	for id, request := range run.requests {
		if !request.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	for tenant, slots := range run.slots {
		if free := b.SlotsFree(tenant); free != slots {
			t.Fatalf("bulkhead %d: %d of %d slots free after all has ended", tenant, free, slots)
		}
	}
	return run.trace
}

func (run *randomRun) step() {
	run.now += time.Duration(run.pick(8)) * ms
	run.passTime()
	switch run.pick(10) {
	case 0, 1, 2:
		run.receiveRequest()
	case 3, 4, 5:
		run.endAnAttempt()
	case 6:
		run.b.TimerFired(run.now) // without a timer
	case 7:
		run.updateEndpoints()
	case 8:
		run.completeProbe()
	case 9:
		run.disconnectClient()
	}
}

func (run *randomRun) receiveRequest() {
	run.last++
	received := Request{ID: run.last, Class: run.pick(len(run.cfg.Classes)), Tenant: run.pick(2)}
	received.Timeout = time.Duration(1+run.pick(2000)) * ms
	if run.pick(8) == 0 {
		received.Timeout /= 1000 // almost no time left
	}
	run.requests[received.ID] = &checkedRequest{received: received, deadline: run.now + received.Timeout}
	run.order = append(run.order, received.ID)
	run.b.RequestReceived(run.now, received)
}

func (run *randomRun) completeProbe() {
	id := EndpointID(run.pick(8)) // at times one without a probe
	if n := len(run.pendingProbes); n > 0 && run.pick(8) > 0 {
		k := run.pick(n)
		id = run.pendingProbes[k]
		run.pendingProbes = slices.Delete(run.pendingProbes, k, k+1)
	}
	run.b.ProbeCompleted(run.now, id, run.pick(3) > 0, LoadReport{InFlight: float64(run.pick(40) - 1)})
}

func (run *randomRun) disconnectClient() {
	if len(run.order) == 0 {
		return
	}
	if id := run.order[run.pick(len(run.order))]; !run.requests[id].answered {
		run.requests[id].answered = true
		run.b.ClientDisconnected(run.now, id)
	}
}

// endAnAttempt ends one attempt that is in flight, if it finds one.
func (run *randomRun) endAnAttempt() {
	results := []AttemptResult{Served, ServerError, Rejected, ConnectionFailed, ConnectionReset, Cancelled, NotSent}
	for range 4 {
		if len(run.order) == 0 {
			return
		}
		id := run.order[run.pick(len(run.order))]
		for number := range run.requests[id].attempts {
			if run.requests[id].attempts[number].inFlight {
				run.endAttempt(id, number, results[run.pick(len(results))])
				return
			}
		}
	}
}

func (run *randomRun) endAttempt(id RequestID, number int, result AttemptResult) {
	request := run.requests[id]
	request.attempts[number].inFlight = false
	request.attempts[number].result = result
	request.answered = request.answered || result == Served
	run.b.AttemptEnded(run.now, AttemptOutcome{ID: id, Attempt: number, Result: result, Completed: request.answered})
}

// passTime fires the timers that are due, as often as they are, and ends the attempts whose
// deadline has come.
func (run *randomRun) passTime() {
	set := len(run.timers)
	run.timers = slices.DeleteFunc(run.timers, func(at time.Duration) bool { return at <= run.now })
	for range set - len(run.timers) {
		run.b.TimerFired(run.now)
	}
	for _, id := range run.order {
		for number := range run.requests[id].attempts {
			if request := run.requests[id]; request.attempts[number].inFlight && run.now >= request.deadline {
				run.endAttempt(id, number, TimedOut)
			}
		}
	}
}

func (run *randomRun) updateEndpoints() {
	kind := UpdateKind(run.pick(4))
	if kind == FailedUpdate {
		run.b.EndpointsUpdated(run.now, kind, nil)
		return
	}
	var entries []Endpoint
	if kind != DeltaUpdate {
		clear(run.endpoints)
	}
	for range run.pick(8) {
		entry := run.pickEndpoint()
		if slices.ContainsFunc(entries, func(other Endpoint) bool { return other.ID == entry.ID }) {
			continue
		}
		entries = append(entries, entry)
		run.endpoints[entry.ID] = entry
	}
	run.b.EndpointsUpdated(run.now, kind, entries)
}

func (run *randomRun) pickEndpoint() Endpoint {
	id := EndpointID(run.pick(8))
	entry := Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, Health: Health(run.pick(3)), Weight: float64(run.pick(4))}
	entry.Cell += entry.Zone // no two zones share a cell
	if run.pick(4) == 0 {
		entry.StartedAt = run.now - time.Duration(run.pick(10000))*ms
	}
	return entry
}

// checkSlots checks that no bulkhead has more attempts in flight than slots, and forgets
// requests that are done.
func (run *randomRun) checkSlots() {
	inFlight := make([]int, len(run.cfg.Tenants))
	for _, request := range run.requests {
		for _, attempt := range request.attempts {
			if attempt.inFlight {
				inFlight[request.received.Tenant]++
			}
		}
	}
	for tenant := range inFlight {
		if free := run.b.SlotsFree(tenant); free < 0 || inFlight[tenant] > run.slots[tenant]-free {
			run.t.Fatalf("bulkhead %d: %d attempts in flight, %d of %d slots free", tenant, inFlight[tenant], free, run.slots[tenant])
		}
	}
	if len(run.order) > 60 {
		run.order = slices.DeleteFunc(run.order, run.forgetIfDone)
	}
}

func (run *randomRun) forgetIfDone(id RequestID) bool {
	request := run.requests[id]
	done := request.answered && !slices.ContainsFunc(request.attempts, func(a checkedAttempt) bool { return a.inFlight })
	if done {
		delete(run.requests, id)
	}
	return done
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		runRandomEvents(t, 600, rng.IntN)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		first := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		second := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(first, second) {
			t.Fatalf("seed %d: two runs with the same events differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		runRandomEvents(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}
