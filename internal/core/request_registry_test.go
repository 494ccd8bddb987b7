package core

import (
	"fmt"
	"testing"
	"time"

	"mothridge/policy"
)

// The id of a request whose client has left stays in use while the request may run a second time.
func TestAbandonedIDsStayInUse(t *testing.T) {
	const idempotentClass, notIdempotentClass = 0, 2 // of newTestCore
	for _, tt := range []struct {
		name        string
		class       int
		written     bool
		result      policy.AttemptResult
		inUseDuring bool // while the attempt is in flight
		inUseAfter  bool // after it has ended
	}{
		{"idempotent", idempotentClass, true, policy.Cancelled, false, false},
		{"never written", notIdempotentClass, false, policy.NotSent, true, false},
		{"rejected by the upstream", notIdempotentClass, true, policy.Rejected, true, false},
		{"may have run", notIdempotentClass, true, policy.Cancelled, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			core := newTestCore(t)
			registry := &core.requests
			now := time.Now()
			request := &Request{ID: "x", Class: tt.class, inFlight: 1}
			registry.add(request, now)
			if tt.written {
				request.history.writes = []attemptWrite{{at: now}}
			}
			clientDisconnected{request}.handle(core)
			if got := registry.ids.contains("x", now); got != tt.inUseDuring {
				t.Errorf("during the attempt: got in use %v, want %v", got, tt.inUseDuring)
			}
			request.inFlight = 0
			request.history.attemptEnded(0, tt.result)
			registry.removeIfDone(request)
			if got := registry.ids.contains("x", now); got != tt.inUseAfter {
				t.Errorf("after the attempt: got in use %v, want %v", got, tt.inUseAfter)
			}
			if registry.ids.contains("x", time.Now().Add(abandonedIDRetention)) || len(registry.byID) > 0 {
				t.Error("want the id free after the retention, and the request removed")
			}
		})
	}
}

// The number of ids that are kept for abandoned requests is bounded: clients can leave at any rate.
func TestAbandonedIDsAreBounded(t *testing.T) {
	registry := newRequestRegistry()
	ids := &registry.ids
	now := time.Now()
	for i := range 3 * maxAbandonedIDs {
		ids.block(fmt.Sprint(i), now)
	}
	if len(ids.abandoned) != maxAbandonedIDs || len(ids.order) != maxAbandonedIDs {
		t.Errorf("got %d ids in an order of %d, want %d", len(ids.abandoned), len(ids.order), maxAbandonedIDs)
	}
}
