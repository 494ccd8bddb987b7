package policy

import (
	"testing"
	"time"
)

// A request that is not idempotent and may have run must not run again; all other requests may be retried.
func TestRetryByResult(t *testing.T) {
	for _, tt := range []struct {
		name    string
		class   int
		result  AttemptResult
		retried bool
		fails   bool // the request is failed and not rejected, if it is not retried
	}{
		{"idempotent after an error", idempotentClass, ServerError, true, false},
		{"keyed after a reset", keyedClass, ConnectionReset, true, false},
		{"not idempotent, rejected", notIdempotentClass, Rejected, true, false},
		{"not idempotent, without a connection", notIdempotentClass, ConnectionFailed, true, false},
		{"not idempotent, not started", notIdempotentClass, NotSent, true, false},
		{"not idempotent, after an error", notIdempotentClass, ServerError, false, true},
		{"not idempotent, after a reset", notIdempotentClass, ConnectionReset, false, true},
		{"not idempotent, after a timeout", notIdempotentClass, TimedOut, false, true},
		{"not idempotent, after an unknown result", notIdempotentClass, AttemptResult(99), false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3))
			receive(b, 0, 1, tt.class)
			endAttempt(b, 30*ms, 1, 0, tt.result)
			if retried := len(h.sends) == 2; retried != tt.retried {
				t.Fatalf("got retried %v, want %v", retried, tt.retried)
			}
			if !tt.retried && h.failed[1] != tt.fails {
				t.Fatalf("got failed %v, want %v (rejected: %v)", h.failed[1], tt.fails, h.rejected)
			}
			if tt.retried && h.sends[1].to == h.sends[0].to {
				t.Fatal("got a retry at the same endpoint, want another endpoint")
			}
		})
	}
}

// A request that has used all its attempts and never ran must be rejected, so that the client may retry.
func TestMaxAttemptsThenRejection(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3, 4, 5))
	receive(b, 0, 1, notIdempotentClass)
	for i := range 3 {
		endAttempt(b, time.Duration(i+1)*ms, 1, i, ConnectionFailed)
	}
	if _, ok := h.rejected[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("got %d sends and rejected %v, want 3 and true because the request never ran", len(h.sends), ok)
	}
}

// Only the endpoints in the deduplication scope of the first attempt drop a repeat. A retry at another
// endpoint could run the request twice.
func TestKeyedRetryStaysInDedupScope(t *testing.T) {
	list := []Endpoint{
		{ID: 1, Health: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, Health: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, Health: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, Health: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id EndpointID) Endpoint { return list[id-1] }
	for id := range RequestID(8) { // round robin sends the first attempt to each endpoint in turn
		for _, class := range []int{keyedInZoneClass, keyedInCellClass} {
			b, h := newTestBalancer(t, testConfig(), list)
			for warm := range id {
				receive(b, 0, 100+warm, idempotentClass)
				endAttempt(b, ms, 100+warm, 0, Served)
			}
			h.sends = nil
			receive(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			endAttempt(b, 30*ms, 1, 0, ConnectionReset)
			if len(h.sends) < 2 {
				if class == keyedInZoneClass || first.Zone == 1 {
					t.Fatalf("class %d, first attempt at endpoint %d: got no retry, want one", class, first.ID)
				}
				continue // no other endpoint is in the cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == keyedInCellClass && second.Cell != first.Cell) {
				t.Fatalf("class %d: got a retry from endpoint %d to %d, want one within the deduplication scope",
					class, first.ID, second.ID)
			}
		}
	}
}

// The deduplication scope depends on the first attempt that may have run, not on the first attempt.
// Otherwise a retry could run the request twice, or not be retried without a reason.
func TestDedupScopeCountsFromAttemptThatMayHaveRun(t *testing.T) {
	list := []Endpoint{{ID: 1, Health: Ready, Weight: 1, Zone: 0}, {ID: 2, Health: Ready, Weight: 1, Zone: 1},
		{ID: 3, Health: Ready, Weight: 1, Zone: 1}}
	b, h := newTestBalancer(t, testConfig(), list)
	for h.attemptsAt(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := RequestID(100 + len(h.sends))
		receive(b, 0, id, idempotentClass)
		endAttempt(b, ms, id, 0, Served)
	}
	b.EndpointsUpdated(ms, DeltaUpdate, []Endpoint{{ID: 3, Health: Removed}})
	h.sends = nil
	receive(b, 2*ms, 1, keyedInZoneClass) // the next endpoint of round robin is 2, in zone 1
	if h.sends[0].to != 2 {
		t.Fatalf("setup: got the first attempt at endpoint %d, want 2", h.sends[0].to)
	}
	endAttempt(b, 3*ms, 1, 0, Rejected) // the request did not run, so zone 1 is not its scope
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("got sends %v, want a second attempt at endpoint 1", h.sends)
	}
	endAttempt(b, 4*ms, 1, 1, ConnectionReset) // may have run in zone 0, so endpoint 2 is out of scope
	if len(h.sends) != 2 {
		t.Fatalf("got sends %v, want no retry outside the scope", h.sends)
	}
}

// After the deduplication window, a request that may have run must not be retried. The client may
// retry only if all endpoints drop repeats.
func TestDedupWindowThenRejectionOrFailure(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2, 3))
	receive(b, 0, 1, keyedClass)
	endAttempt(b, 700*ms, 1, 0, ServerError) // the window of 700 ms since the first attempt has ended
	if _, rejected := h.rejected[1]; len(h.sends) != 1 || !rejected {
		t.Fatalf("got %d sends and rejected %v, want 1 and true because all endpoints drop repeats",
			len(h.sends), rejected)
	}
	receive(b, 800*ms, 2, keyedInZoneClass)
	endAttempt(b, 1500*ms, 2, 0, ServerError)
	if !h.failed[2] {
		t.Fatal("request that may have run, with zone scope: got no failure, want it failed and not rejected")
	}
}
