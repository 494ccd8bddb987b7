package policy

import (
	"testing"
	"time"
)

// Two endpoints of one cell. A request that may have run at an endpoint whose process may be that of another
// cell, or that would be repeated at such an endpoint, could run a second time.
func TestKeyedRetryNeedsKnownProcess(t *testing.T) {
	reused := func(id EndpointID) func(*Balancer) {
		return func(b *Balancer) {
			b.EndpointsUpdated(0, DeltaUpdate, []Endpoint{{ID: id, Health: Ready, Weight: 1, AddressReused: true}})
		}
	}
	ended := func(at time.Duration, ids ...EndpointID) func(*Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.ProcessEnded(at, id)
			}
		}
	}
	const firstTo, lastTo = 1, 2
	for _, tt := range []struct {
		name    string
		class   int
		before  func(*Balancer) // between the two attempts
		at      time.Duration   // of the retry
		retried bool
		failed  bool // at once: the request may not be retried at any endpoint
	}{
		{"no sign", keyedInCellClass, func(*Balancer) {}, 100 * ms, true, false},
		{"the first endpoint's process has ended", keyedInCellClass, ended(50*ms, firstTo), 100 * ms, false, true},
		{"the first endpoint's address is reused", keyedInCellClass, reused(firstTo), 100 * ms, false, true},
		{"the other endpoint's process has ended", keyedInCellClass, ended(50*ms, lastTo), 100 * ms, false, false},
		{"the other endpoint's address is reused", keyedInCellClass, reused(lastTo), 100 * ms, false, false},
		{"deduplication in the zone", keyedInZoneClass, ended(50*ms, firstTo), 100 * ms, false, true},
		{"deduplication at all endpoints", keyedClass, ended(50*ms, firstTo, lastTo), 100 * ms, true, false},
		{"idempotent", idempotentClass, ended(50*ms, firstTo, lastTo), 100 * ms, true, false},
		{"long after the sign", keyedInCellClass, ended(100*ms-ProcessUnknownFor, firstTo, lastTo), 100 * ms, true, false},
		{"the list has reported the start", keyedInCellClass, func(b *Balancer) {
			b.ProcessEnded(50*ms, firstTo)
			b.EndpointsUpdated(60*ms, DeltaUpdate, []Endpoint{{ID: firstTo, Health: Ready, Weight: 1, StartedAt: 55 * ms}})
		}, 100 * ms, true, false},
		{"the first endpoint has moved to another cell", keyedInCellClass, func(b *Balancer) {
			b.EndpointsUpdated(60*ms, DeltaUpdate, []Endpoint{{ID: firstTo, Health: Ready, Weight: 1, Cell: 7}})
		}, 100 * ms, false, true},
		{"all endpoints have moved to another cell", keyedInCellClass, func(b *Balancer) {
			b.EndpointsUpdated(60*ms, DeltaUpdate, []Endpoint{
				{ID: firstTo, Health: Ready, Weight: 1, Cell: 7}, {ID: lastTo, Health: Ready, Weight: 1, Cell: 7},
			})
		}, 100 * ms, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, h := newTestBalancer(t, testConfig(), readyEndpoints(firstTo))
			receive(b, 0, 1, tt.class)
			b.EndpointsUpdated(0, DeltaUpdate, readyEndpoints(lastTo))
			tt.before(b)
			endAttempt(b, tt.at, 1, 0, ConnectionReset)
			if retried := len(h.sends) == 2; retried != tt.retried {
				t.Errorf("got retried %v, want %v", retried, tt.retried)
			}
			if h.failed[1] != tt.failed {
				t.Errorf("got failed %v, want %v", h.failed[1], tt.failed)
			}
		})
	}
}
