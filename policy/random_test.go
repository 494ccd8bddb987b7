package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomRun drives a Balancer with valid events in random order, while its ruleChecker checks the actions of
// the Balancer. It does not model latencies. The function pick makes all random choices.
type randomRun struct {
	*ruleChecker
	b            *Balancer
	pick         func(n int) int // returns a number from 0 to n-1
	lastID       RequestID       // ID of the last request
	requestOrder []RequestID     // IDs of the requests in order of arrival, so that a run can be repeated
	slots        []int           // number of slots of each bulkhead
}

// runRandomEvents runs a number of random events and returns all actions of the Balancer. It fails the
// test if a rule is violated, a request is not completed, or a slot is not freed.
func runRandomEvents(t testing.TB, steps int, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true, pick(2) == 0
	cfg.FleetSize = []int{2, 1000}[pick(2)] // with 1000 balancers, traffic counts as low
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
	for range 600 { // all open requests must be completed in time
		run.now += 5 * ms
		run.processDueEvents()
		run.checkSlots()
	}
	for id, request := range run.requests {
		if !request.completed {
			t.Fatalf("rule 1: request %d was not completed", id)
		}
	}
	for tenant, slots := range run.slots {
		if free := b.SlotsFree(tenant); free != slots {
			t.Fatalf("bulkhead %d: got %d of %d slots free after all requests ended, want all", tenant, free, slots)
		}
	}
	return run.trace
}

// step advances the time and triggers one random event.
func (run *randomRun) step() {
	run.now += time.Duration(run.pick(8)) * ms
	run.processDueEvents()
	switch run.pick(10) {
	case 0, 1, 2:
		run.receiveRequest()
	case 3, 4, 5:
		run.endRandomAttempt()
	case 6:
		run.b.TimerFired(run.now) // a call without a timer that is due
	case 7:
		run.updateEndpoints()
	case 8:
		run.completeProbe()
	case 9:
		run.disconnectClient()
	}
}

// receiveRequest delivers a request with a random class, tenant and timeout.
func (run *randomRun) receiveRequest() {
	run.lastID++
	received := Request{ID: run.lastID, Class: run.pick(len(run.cfg.Classes)), Tenant: run.pick(2)}
	received.Timeout = time.Duration(1+run.pick(2000)) * ms
	if run.pick(8) == 0 {
		received.Timeout /= 1000 // almost no time left
	}
	run.requests[received.ID] = &checkedRequest{received: received, deadline: run.now + received.Timeout}
	run.requestOrder = append(run.requestOrder, received.ID)
	run.b.RequestReceived(run.now, received)
}

// completeProbe delivers the result of a random probe that is pending, or of a probe that was never sent.
func (run *randomRun) completeProbe() {
	id := EndpointID(run.pick(8)) // used if there is no pending probe, and at random otherwise
	if n := len(run.pendingProbes); n > 0 && run.pick(8) > 0 {
		index := run.pick(n)
		id = run.pendingProbes[index]
		run.pendingProbes = slices.Delete(run.pendingProbes, index, index+1)
	}
	run.b.ProbeCompleted(run.now, id, run.pick(3) > 0, LoadReport{InFlight: float64(run.pick(40) - 1)})
}

// disconnectClient disconnects the client of a random request, if the request is not completed.
func (run *randomRun) disconnectClient() {
	if len(run.requestOrder) == 0 {
		return
	}
	if id := run.requestOrder[run.pick(len(run.requestOrder))]; !run.requests[id].completed {
		run.requests[id].completed = true
		run.b.ClientDisconnected(run.now, id)
	}
}

// endRandomAttempt ends an attempt in flight of a random request, if it finds one in four tries.
func (run *randomRun) endRandomAttempt() {
	results := []AttemptResult{Served, ServerError, Rejected, ConnectionFailed, ConnectionReset, Cancelled, NotSent}
	for range 4 {
		if len(run.requestOrder) == 0 {
			return
		}
		id := run.requestOrder[run.pick(len(run.requestOrder))]
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
	request.completed = request.completed || result == Served
	run.b.AttemptEnded(run.now, AttemptOutcome{ID: id, Attempt: number, Result: result, Completed: request.completed})
}

// processDueEvents calls TimerFired once for each timer that is due, and ends the attempts in flight of
// requests whose deadline has passed.
func (run *randomRun) processDueEvents() {
	set := len(run.timers)
	run.timers = slices.DeleteFunc(run.timers, func(at time.Duration) bool { return at <= run.now })
	for range set - len(run.timers) {
		run.b.TimerFired(run.now)
	}
	for _, id := range run.requestOrder {
		for number := range run.requests[id].attempts {
			if request := run.requests[id]; request.attempts[number].inFlight && run.now >= request.deadline {
				run.endAttempt(id, number, TimedOut)
			}
		}
	}
}

// updateEndpoints delivers an update of a random kind with random entries.
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

// pickEndpoint returns a random entry for one of eight endpoints.
func (run *randomRun) pickEndpoint() Endpoint {
	id := EndpointID(run.pick(8))
	entry := Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, Health: Health(run.pick(3)), Weight: float64(run.pick(4))}
	entry.Cell += entry.Zone // each cell belongs to one zone
	if run.pick(4) == 0 {
		entry.StartedAt = run.now - time.Duration(run.pick(10000))*ms
	}
	return entry
}

// checkSlots checks that no bulkhead has more attempts in flight than slots in use. It also removes
// requests that are completed and have no attempt in flight from the list of requests if the list is
// long.
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
			run.t.Fatalf("bulkhead %d: got %d attempts in flight with %d of %d slots free",
				tenant, inFlight[tenant], free, run.slots[tenant])
		}
	}
	if len(run.requestOrder) > 60 {
		run.requestOrder = slices.DeleteFunc(run.requestOrder, run.deleteIfDone)
	}
}

// deleteIfDone removes a request that is completed and has no attempt in flight, and reports whether it did.
func (run *randomRun) deleteIfDone(id RequestID) bool {
	request := run.requests[id]
	done := request.completed && !slices.ContainsFunc(request.attempts, func(a checkedAttempt) bool { return a.inFlight })
	if done {
		delete(run.requests, id)
	}
	return done
}

// No order of events may lead to an action that violates a rule.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		runRandomEvents(t, 600, rng.IntN)
	}
}

// A Balancer must be deterministic: the same configuration, seed and events give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		first := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		second := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(first, second) {
			t.Fatalf("seed %d: got different actions in two runs with the same events", seed)
		}
	}
}

// FuzzRules lets the fuzzer choose the events, to find an order that violates a rule.
func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		position := 0
		runRandomEvents(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			value := int(data[position%len(data)]) + 251*(position/len(data)) + position
			position++
			return value % n
		})
	})
}
