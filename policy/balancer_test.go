package policy

import (
	"testing"
	"time"
)

// Events with unknown identifiers or repeated outcomes must not change the state, for example free a slot
// twice.
func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: 99, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 2, Class: -1, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 3, Tenant: 7, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 4, Timeout: 0})
	b.RequestReceived(0, Request{ID: 5, Timeout: -time.Second})
	if len(h.rejected) != 5 || len(h.sends) != 0 {
		t.Fatalf("got %d rejections and %d sends, want 5 and 0", len(h.rejected), len(h.sends))
	}
	receive(b, 0, 6, idempotentClass)
	receive(b, 0, 6, idempotentClass) // repeated ID of an open request
	endAttempt(b, 0, 6, 3, Served)
	endAttempt(b, 0, 6, -1, Served)
	endAttempt(b, 0, 77, 0, Served)
	b.ClientDisconnected(0, 77)
	b.ResponseStarted(77)
	if len(h.sends) != 1 || b.SlotsFree(0) != 5 {
		t.Fatalf("got %d sends and %d free slots, want 1 and 5", len(h.sends), b.SlotsFree(0))
	}
	endAttempt(b, ms, 6, 0, Served)
	endAttempt(b, ms, 6, 0, Served) // repeated outcome
	if b.SlotsFree(0) != 6 {
		t.Fatalf("after a repeated outcome: got %d free slots, want 6", b.SlotsFree(0))
	}
}

// After a client disconnects, its slot must stay in use until the attempt has ended, and no state may remain
// afterwards.
func TestClientDisconnectReleasesRequest(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	receive(b, 0, 1, idempotentClass)
	b.ClientDisconnected(ms, 1)
	if len(h.cancelled) != 1 || b.SlotsFree(0) != 5 {
		t.Fatal("want the attempt cancelled and its slot in use until the attempt ends")
	}
	endAttempt(b, 2*ms, 1, 0, Cancelled)
	if len(h.rejected)+len(h.failed) != 0 || len(b.requests) != 0 || b.SlotsFree(0) != 6 {
		t.Fatalf("got %d responses and %d requests with state, want 0 and 0",
			len(h.rejected)+len(h.failed), len(b.requests))
	}
}

// Once the response to the client has started, a retry or another response would conflict with that response.
func TestStreamingRequestGetsNoFurtherAction(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	receive(b, 0, 1, idempotentClass)
	b.ResponseStarted(1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if len(h.rejected)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("streaming request was rejected, failed, cancelled or retried; want no action")
	}
	b.AttemptEnded(11*time.Second, AttemptOutcome{ID: 1, Result: ConnectionReset, Completed: true})
	if len(b.requests) != 0 {
		t.Fatal("the state of the request was not deleted after its attempt ended")
	}
}

// The state of ended requests and removed endpoints must be deleted, or the memory of a sidecar would grow
// without limit.
func TestMemoryStaysBounded(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for id := range RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		receive(b, now, id, idempotentClass)
		switch id % 3 {
		case 0:
			endAttempt(b, now+ms, id, 0, Served)
		case 1:
			b.ClientDisconnected(now+ms, id)
			endAttempt(b, now+2*ms, id, 0, Cancelled)
		case 2:
			endAttempt(b, now+ms, id, 0, ConnectionReset)
			endAttempt(b, now+2*ms, id, 1, Served)
		}
		if id%100 == 0 {
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), Health: Ready, Weight: 1}})
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), Health: Removed}})
		}
		b.TimerFired(now + 3*ms)
	}
	b.TimerFired(time.Hour)
	if len(b.requests) > 3 || len(b.openRequests) > 3 || len(b.endpoints) != 2 || cap(b.openRequests) > 100 {
		t.Fatalf("got %d requests, %d open (capacity %d), %d endpoints; want at most 3, at most 3 (100), and 2",
			len(b.requests), len(b.openRequests), cap(b.openRequests), len(b.endpoints))
	}
}
