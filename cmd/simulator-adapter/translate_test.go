package main

import (
	"testing"
	"time"

	"mothridge/internal/wire"
	"mothridge/policy"
)

func TestPolicyAttemptResult(t *testing.T) {
	for result, want := range map[wire.Result]policy.AttemptResult{
		wire.ResultServed:           policy.Served,
		wire.ResultServerError:      policy.ServerError,
		wire.ResultRejected:         policy.Rejected,
		wire.ResultTimedOut:         policy.TimedOut,
		wire.ResultConnectionFailed: policy.ConnectionFailed,
		wire.ResultConnectionReset:  policy.ConnectionReset,
		wire.ResultCancelled:        policy.Cancelled,
		wire.ResultNotSent:          policy.NotSent,
		999:                         policy.ServerError,
	} {
		if got := policyAttemptResult(result); got != want {
			t.Errorf("result %d: got %v, want %v", result, got, want)
		}
	}
}

func TestPolicyUpdateKind(t *testing.T) {
	for kind, want := range map[wire.UpdateKind]policy.UpdateKind{
		wire.UpdateFull:   policy.FullUpdate,
		wire.UpdateDelta:  policy.DeltaUpdate,
		wire.UpdateCached: policy.CachedUpdate,
		wire.UpdateFailed: policy.FailedUpdate,
	} {
		if got, known := policyUpdateKind(kind); got != want || !known {
			t.Errorf("kind %d: got %v (known: %v), want %v (known: true)", kind, got, known, want)
		}
	}
	if _, known := policyUpdateKind(99); known {
		t.Error("kind 99: got known, want unknown")
	}
}

func TestPolicyRequest(t *testing.T) {
	received := wire.Request{ID: 7, Class: 1, Tenant: 2, Timeout: time.Second, ExpectedWork: time.Millisecond, Flags: 4}
	want := policy.Request{ID: 7, Class: 1, Tenant: 2, Timeout: time.Second}
	if got := policyRequest(received); got != want {
		t.Errorf("without flags: got %+v, want %+v", got, want)
	}
	received.Flags |= wire.FlagClientRetry | wire.FlagExpectedWork
	want.ClientRetry, want.ExpectedWork = true, time.Millisecond
	if got := policyRequest(received); got != want {
		t.Errorf("with flags: got %+v, want %+v", got, want)
	}
}

func TestPolicyEndpoints(t *testing.T) {
	got := policyEndpoints([]wire.ListEntry{
		{Endpoint: 9, Zone: 1, Cell: 3, Health: wire.HealthReady, Weight: 2.5, StartedAt: time.Second},
		{Health: wire.HealthRemoved}, {Health: wire.HealthDraining}, {Health: 77},
	})
	first := policy.Endpoint{ID: 9, Zone: 1, Cell: 3, Health: policy.Ready, Weight: 2.5, StartedAt: time.Second}
	if got[0] != first {
		t.Errorf("got endpoint %+v, want %+v", got[0], first)
	}
	for i, want := range []policy.Health{policy.Ready, policy.Removed, policy.Draining, policy.Draining} {
		if got[i].Health != want {
			t.Errorf("endpoint %d: got health %v, want %v", i, got[i].Health, want)
		}
	}
}
