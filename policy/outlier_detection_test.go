package policy

import (
	"testing"
	"time"
)

// An endpoint that hangs would use slots until each timeout.
func TestSilentEndpointIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		receive(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			endAttempt(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.TimerFired(now)
		for i := range h.sends { // endpoint 1 never responds: timeouts at the objective
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].startedAt+s.timeout <= now {
				endAttempt(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.attemptsAt(1); n > 60 {
		t.Fatalf("an endpoint that never responded got %d of 300 first attempts", n)
	}
	if b.Counters().TrialRequests == 0 {
		t.Fatalf("counters %+v: want trial requests", b.Counters())
	}
}

// An endpoint that fails all attempts is ejected also without a rejection or a failed connection.
func TestFailingEndpointIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for id := range RequestID(100) {
		now := time.Duration(id) * 20 * ms
		receive(b, now, id, notIdempotentClass) // never retried after an error
		endAttempt(b, now+5*ms, id, 0, map[bool]AttemptResult{true: ServerError, false: Served}[h.sends[len(h.sends)-1].to == 1])
	}
	if n := h.attemptsAt(1); n < 3 || n > 5 {
		t.Fatalf("an endpoint that only fails got %d of 100 attempts", n)
	}
}

// An endpoint that has recovered is used again.
func TestEjectedEndpointRecovers(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	id, now := RequestID(0), time.Duration(0)
	for ; h.attemptsAt(1) == 0; id++ {
		receive(b, now, id, idempotentClass)
		endAttempt(b, now, id, 0, map[bool]AttemptResult{true: ConnectionFailed, false: Served}[h.sends[len(h.sends)-1].to == 1])
		endAttempt(b, now, id, 1, Served)
	}
	if !b.endpointsByID[1].ejected {
		t.Fatal("not ejected without a connection")
	}
	before := h.attemptsAt(1)
	for ; now < 3*time.Second; id++ {
		now += 20 * ms
		b.TimerFired(now)
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+5*ms, id, 0, Served)
	}
	if b.endpointsByID[1].ejected || h.attemptsAt(1) < before+10 {
		t.Fatalf("ejected %v, sends since %d", b.endpointsByID[1].ejected, h.attemptsAt(1)-before)
	}
}

func TestAllEjectedStillServes(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	receive(b, 0, 1, idempotentClass)
	endAttempt(b, 0, 1, 0, ConnectionFailed)
	endAttempt(b, 0, 1, 1, ConnectionFailed)
	if b.weights.healthy.weight != 0 {
		t.Fatal("set-up: an endpoint is not ejected")
	}
	n := len(h.sends)
	receive(b, ms, 2, notIdempotentClass)
	if len(h.sends) != n+1 {
		t.Fatal("no attempt while all endpoints are ejected")
	}
}

// A connection that breaks now and then says little about an endpoint: if each ejected it, a
// few resets at each would leave too few for the load. Two in a row eject it.
func TestSingleConnectionResetIsTolerated(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	receive(b, 0, 1, notIdempotentClass)
	endAttempt(b, ms, 1, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("ejected by one broken connection")
	}
	receive(b, 2*ms, 2, idempotentClass)
	endAttempt(b, 3*ms, 2, 0, Served)
	receive(b, 4*ms, 3, notIdempotentClass)
	endAttempt(b, 5*ms, 3, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("ejected though it responded between two broken connections")
	}
	receive(b, 6*ms, 4, notIdempotentClass)
	endAttempt(b, 7*ms, 4, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected || len(h.sends) != 4 {
		t.Errorf("after two in a row: ejected %v, %d sends", b.endpointsByID[1].ejected, len(h.sends))
	}
}

// Connections that break at the same time are one event, however many attempts were in flight.
func TestSimultaneousConnectionResetsCountOnce(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	for id := range RequestID(3) {
		receive(b, 0, id, notIdempotentClass)
	}
	for id := range RequestID(3) {
		endAttempt(b, ms+time.Duration(id)*100*time.Microsecond, id, 0, ConnectionReset)
	}
	if len(h.sends) != 3 || b.endpointsByID[1].ejected {
		t.Errorf("%d in flight as the connections broke, ejected %v", len(h.sends), b.endpointsByID[1].ejected)
	}
	receive(b, 2*ms, 9, notIdempotentClass)
	endAttempt(b, 3*ms, 9, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected {
		t.Error("not ejected though the next one broke too")
	}
}

// Probes and attempts that failed for a reason of this machine are no evidence against an
// endpoint, however many.
func TestUnstartedAttemptIsNoFailure(t *testing.T) {
	b, h := newTestBalancer(t, lowTrafficConfig(), readyEndpoints(1, 2, 3, 4))
	for id := range RequestID(100) {
		receive(b, 0, id, notIdempotentClass)
		for len(h.probes) > 0 {
			to := h.probes[0]
			h.probes = h.probes[1:]
			b.ProbeNotSent(0, to)
		}
		if h.rejected[id] < 0 || len(h.sends) > 0 {
			t.Fatalf("request %d: sends %v", id, h.sends)
		}
	}
	b, h = newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3, 4))
	for id := range RequestID(100) {
		receive(b, 0, id, notIdempotentClass)
		for n := 0; len(h.sends) > n; n++ {
			endAttempt(b, 0, id, n, NotSent)
		}
		h.sends = nil
		if _, rejected := h.rejected[id]; !rejected {
			t.Fatalf("request %d, which never ran, was not rejected", id)
		}
	}
	for _, s := range b.endpoints {
		if s.ejected || s.consecutiveFailures > 0 || s.inFlight > 0 {
			t.Errorf("endpoint %d: ejected, %d failures or %d attempts in flight", s.ID, s.consecutiveFailures, s.inFlight)
		}
	}
}
