package policy

import (
	"testing"
	"time"
)

// A client's retry counts from its first request: it gets what is left of the objective, and no place in the queue
// once it is too late.
func TestLateClientRetryIsNotQueued(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	receiveWith := func(id RequestID, timeout time.Duration) {
		b.RequestReceived(0, Request{ID: id, Class: idempotentClass, Timeout: timeout})
	}
	receiveWith(1, 2800*ms) // the usual timeout, within the class's deadline of 3 s
	receiveWith(2, 2500*ms) // its first request came half a second ago
	receiveWith(3, 1500*ms) // its first request came 1.5 s ago: too late, but a slot is free
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v: want the second limited to what is left of its objective, and the third served", h.sends)
	}
	receive(b, 0, 5, idempotentClass)
	receive(b, 0, 6, idempotentClass)
	receive(b, 0, 7, idempotentClass) // all slots of the tenant are used
	receiveWith(4, 1500*ms)
	if _, rejected := h.rejected[4]; !rejected {
		t.Fatal("a late retry was queued")
	}
}

// Clients that change to a shorter timeout do not count as retrying for good.
func TestUsualTimeoutFollowsShorterOnes(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		timeout := 2800 * ms
		if id >= 20 {
			timeout = 2200 * ms
		}
		b.RequestReceived(now, Request{ID: id, Class: idempotentClass, Timeout: timeout})
		endAttempt(b, now+5*ms, id, 0, Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("timeout %v: the objective of a first request is still reduced", last.timeout)
	}
}

func TestUnmarkedRequestIsNoRetryWhereClientsMark(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: idempotentClass, Timeout: 2800 * ms})
	b.RequestReceived(0, Request{ID: 2, Class: idempotentClass, Timeout: 2500 * ms})
	b.RequestReceived(0, Request{ID: 3, Class: idempotentClass, Timeout: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v: want only the marked one reduced", h.sends)
	}
}

func TestQueuedRequestIsRejectedBeforeItsObjective(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), nil) // no endpoint at all: queued, then rejected in time
	receive(b, 0, 1, notIdempotentClass)
	if len(h.rejected) != 0 {
		t.Fatal("rejected at once, though the queue is not full")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, ok := h.rejected[1]; !ok {
		t.Fatal("still held when its objective had passed")
	}
}

// A request that started with about the usual latency left would probably time out at
// endpoints that have lost capacity.
func TestQueueWaitEndsAtStartDeadline(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), nil)
	receive(b, 0, 1, idempotentClass) // an objective of 1 s and a smoothed latency of 125 ms
	b.TimerFired(740 * ms)
	if len(h.rejected) != 0 {
		t.Fatal("rejected with more than twice the smoothed latency left")
	}
	b.EndpointsUpdated(760*ms, FullUpdate, readyEndpoints(1))
	if _, rejected := h.rejected[1]; !rejected {
		t.Fatalf("started %v with less than twice the smoothed latency left", h.sends)
	}
}

func TestAttemptTimeoutEndsWhereResponseHasNoValue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateValueShare = 0.5
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	receive(b, 0, 1, idempotentClass)
	receive(b, 0, 2, keyedClass)
	b.RequestReceived(0, Request{ID: 3, Class: keyedInCellClass, Timeout: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("timeout %v, want the objective", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("timeout %v where late responses have a value, want all the time left", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("timeout %v, want the client's time left", got)
	}
}
