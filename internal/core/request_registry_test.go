package core

import (
	"fmt"
	"testing"
	"time"

	"mothridge/policy"
)

// The id of a request whose client has left stays in use while the request may run a second time.
func TestAbandonedIDsStayInUse(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name            string
		mustNotRunAgain bool
		written         bool
		result          policy.AttemptResult
		inUseDuring     bool // while the attempt is in flight
		inUseAfter      bool // after it has ended
	}{
		{"idempotent", false, true, policy.Cancelled, false, false},
		{"never written", true, false, policy.NotSent, true, false},
		{"rejected by the upstream", true, true, policy.Rejected, true, false},
		{"may have run", true, true, policy.Cancelled, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			registry := newRequestRegistry()
			request := &Request{ID: "x", mustNotRunAgain: tt.mustNotRunAgain, inFlight: 1}
			registry.add(request, now)
			if tt.written {
				request.history.writes = []attemptWrite{{at: now}}
			}
			registry.abandon(request, now)
			if got := registry.ids.contains("x", now); got != tt.inUseDuring {
				t.Errorf("during the attempt: got in use %v, want %v", got, tt.inUseDuring)
			}
			request.inFlight = 0
			request.history.attemptEnded(0, tt.result)
			registry.removeIfDone(request, now)
			if got := registry.ids.contains("x", now); got != tt.inUseAfter {
				t.Errorf("after the attempt: got in use %v, want %v", got, tt.inUseAfter)
			}
			if registry.ids.contains("x", now.Add(abandonedIDRetention)) || len(registry.byID) > 0 {
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
