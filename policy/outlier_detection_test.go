package policy

import (
	"testing"
	"time"
)

// An endpoint that never responds uses a slot until the timeout of each attempt. It must be ejected,
// so that only trial requests use slots there.
func TestUnresponsiveEndpointIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		receive(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			endAttempt(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.TimerFired(now)
		for i := range h.sends { // endpoint 1 never responds; its attempts time out at the objective
			if sent := h.sends[i]; sent.to == 1 && b.requests[sent.id] != nil &&
				b.requests[sent.id].attempts[0].startedAt+sent.timeout <= now {
				endAttempt(b, now, sent.id, 0, TimedOut)
			}
		}
	}
	if n := h.attemptsAt(1); n > 60 {
		t.Fatalf("got %d of 300 first attempts at an endpoint that never responds, want at most 60", n)
	}
	if b.Counters().TrialRequests == 0 {
		t.Fatalf("got counters %+v, want TrialRequests above 0", b.Counters())
	}
}

// An endpoint that responds to all attempts with errors must be ejected, although it neither rejects
// requests nor refuses connections.
func TestFailingEndpointIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for id := range RequestID(100) {
		now := time.Duration(id) * 20 * ms
		receive(b, now, id, notIdempotentClass) // never retried after an error
		endAttempt(b, now+5*ms, id, 0, map[bool]AttemptResult{true: ServerError, false: Served}[h.sends[len(h.sends)-1].to == 1])
	}
	if n := h.attemptsAt(1); n < 3 || n > 5 {
		t.Fatalf("got %d of 100 attempts at an endpoint that fails all attempts, want 3 to 5", n)
	}
}

// An ejected endpoint that has recovered must get its share of the attempts again.
func TestEjectedEndpointRecovers(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	id, now := RequestID(0), time.Duration(0)
	for ; h.attemptsAt(1) == 0; id++ {
		receive(b, now, id, idempotentClass)
		endAttempt(b, now, id, 0, map[bool]AttemptResult{true: ConnectionFailed, false: Served}[h.sends[len(h.sends)-1].to == 1])
		endAttempt(b, now, id, 1, Served)
	}
	if !b.endpointsByID[1].ejected {
		t.Fatal("endpoint was not ejected after a failed connection")
	}
	before := h.attemptsAt(1)
	for ; now < 3*time.Second; id++ {
		now += 20 * ms
		b.TimerFired(now)
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+5*ms, id, 0, Served)
	}
	if b.endpointsByID[1].ejected || h.attemptsAt(1) < before+10 {
		t.Fatalf("got ejected %v and %d sends since the recovery, want false and at least 10",
			b.endpointsByID[1].ejected, h.attemptsAt(1)-before)
	}
}

// While all endpoints are ejected, requests must still get attempts. Otherwise the balancer would serve
// no request until a trial request is due.
func TestRequestsAreSentWhileAllEndpointsAreEjected(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	receive(b, 0, 1, idempotentClass)
	endAttempt(b, 0, 1, 0, ConnectionFailed)
	endAttempt(b, 0, 1, 1, ConnectionFailed)
	if b.weights.healthy.weight != 0 {
		t.Fatal("setup: an endpoint is not ejected")
	}
	n := len(h.sends)
	receive(b, ms, 2, notIdempotentClass)
	if len(h.sends) != n+1 {
		t.Fatal("got no attempt while all endpoints are ejected, want 1")
	}
}

// A single connection reset says little about an endpoint. If each reset ejected the endpoint, a few
// resets at each endpoint would leave too few endpoints for the load. Two resets without a response in
// between eject it.
func TestSingleConnectionResetIsTolerated(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	receive(b, 0, 1, notIdempotentClass)
	endAttempt(b, ms, 1, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("endpoint was ejected by a single connection reset")
	}
	receive(b, 2*ms, 2, idempotentClass)
	endAttempt(b, 3*ms, 2, 0, Served)
	receive(b, 4*ms, 3, notIdempotentClass)
	endAttempt(b, 5*ms, 3, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("endpoint was ejected although it responded between two connection resets")
	}
	receive(b, 6*ms, 4, notIdempotentClass)
	endAttempt(b, 7*ms, 4, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected || len(h.sends) != 4 {
		t.Errorf("after two consecutive resets: got ejected %v and %d sends, want true and 4",
			b.endpointsByID[1].ejected, len(h.sends))
	}
}

// Connections that are reset at the same time count as one failure, whatever the number of attempts in
// flight. Otherwise a single event could eject an endpoint.
func TestSimultaneousConnectionResetsCountOnce(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	for id := range RequestID(3) {
		receive(b, 0, id, notIdempotentClass)
	}
	for id := range RequestID(3) {
		endAttempt(b, ms+time.Duration(id)*100*time.Microsecond, id, 0, ConnectionReset)
	}
	if len(h.sends) != 3 || b.endpointsByID[1].ejected {
		t.Errorf("got %d attempts and ejected %v after simultaneous resets, want 3 and false",
			len(h.sends), b.endpointsByID[1].ejected)
	}
	receive(b, 2*ms, 9, notIdempotentClass)
	endAttempt(b, 3*ms, 9, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected {
		t.Error("endpoint was not ejected after the next connection was reset too")
	}
}

// Probes and attempts that fail for a reason on this machine say nothing about the endpoint. They must
// not eject the endpoint, whatever their number.
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
			t.Fatalf("request %d: got sends %v, want no attempt and no negative pause", id, h.sends)
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
			t.Fatalf("request %d never ran: got no rejection, want one", id)
		}
	}
	for _, endpoint := range b.endpoints {
		if endpoint.ejected || endpoint.consecutiveFailures > 0 || endpoint.inFlight > 0 {
			t.Errorf("endpoint %d: got ejected, %d failures or %d attempts in flight; want not ejected, 0 and 0",
				endpoint.ID, endpoint.consecutiveFailures, endpoint.inFlight)
		}
	}
}
