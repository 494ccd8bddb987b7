package policy

import (
	"testing"
	"time"
)

// The latency objective of a client's retry starts at the client's first request. If the objective of a
// retry started again, retries would wait in the queue and be served long after the client's first
// request had missed its objective. A retry that is too late for the objective is not queued.
func TestLateClientRetryIsNotQueued(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1, 2))
	receiveWith := func(id RequestID, timeout time.Duration) {
		b.RequestReceived(0, Request{ID: id, Class: idempotentClass, Timeout: timeout})
	}
	receiveWith(1, 2800*ms) // the usual timeout; the deadline of the class is 3 s
	receiveWith(2, 2500*ms) // a retry, 500 ms after the client's first request
	receiveWith(3, 1500*ms) // a retry, 1.5 s after the client's first request: too late, but a slot is free
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("got sends %v, want 3 with timeouts 1s, 500ms and 1.5s", h.sends)
	}
	receive(b, 0, 5, idempotentClass)
	receive(b, 0, 6, idempotentClass)
	receive(b, 0, 7, idempotentClass) // all slots of the tenant are in use
	receiveWith(4, 1500*ms)
	if _, rejected := h.rejected[4]; !rejected {
		t.Fatal("late retry while all slots are in use: got queued, want rejected")
	}
}

// If clients change permanently to a shorter timeout, their requests must not count as retries forever.
// The balancer would otherwise reduce the objective of all their requests.
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
		t.Fatalf("got timeout %v, want 1s: the objective of a first request is still reduced", last.timeout)
	}
}

// If clients mark their retries, a shorter timeout alone must not make a request count as a retry.
func TestUnmarkedRequestIsNotTreatedAsRetry(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: idempotentClass, Timeout: 2800 * ms})
	b.RequestReceived(0, Request{ID: 2, Class: idempotentClass, Timeout: 2500 * ms})
	b.RequestReceived(0, Request{ID: 3, Class: idempotentClass, Timeout: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("got sends %v, want a reduced timeout only for the marked request", h.sends)
	}
}

// A client must get a response before the objective if no endpoint becomes available.
func TestQueuedRequestIsRejectedBeforeItsObjective(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), nil) // without endpoints, a request is queued and later rejected
	receive(b, 0, 1, notIdempotentClass)
	if len(h.rejected) != 0 {
		t.Fatal("request was rejected at once, want it queued because the queue is not full")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, ok := h.rejected[1]; !ok {
		t.Fatal("request was not rejected by the time of its objective")
	}
}

// The wait in the queue must end early enough for an attempt. An attempt that starts with only about
// the usual latency left would probably time out at endpoints that have lost capacity.
func TestQueueWaitEndsAtStartDeadline(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), nil)
	receive(b, 0, 1, idempotentClass) // objective 1 s, smoothed latency 125 ms
	b.TimerFired(740 * ms)
	if len(h.rejected) != 0 {
		t.Fatal("request was rejected with more than twice the smoothed latency left")
	}
	b.EndpointsUpdated(760*ms, FullUpdate, readyEndpoints(1))
	if _, rejected := h.rejected[1]; !rejected {
		t.Fatalf("got sends %v, want a rejection with less than twice the smoothed latency left", h.sends)
	}
}

// An attempt must not use a slot after the time at which its response has no value any more.
func TestAttemptTimeoutEndsWhereResponseHasNoValue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateValueShare = 0.5
	b, h := newTestBalancer(t, cfg, readyEndpoints(1, 2))
	receive(b, 0, 1, idempotentClass)
	receive(b, 0, 2, keyedClass)
	b.RequestReceived(0, Request{ID: 3, Class: keyedInCellClass, Timeout: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("got timeout %v, want the objective of 1s", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("late responses have a value: got timeout %v, want the client's timeout of 2s", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("got timeout %v, want the client's timeout of 300ms", got)
	}
}
