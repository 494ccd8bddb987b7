package core

import (
	"testing"
	"time"

	"mothridge/policy"
)

// guardedMessage returns an attempt's message, as passed to a transport. The class of its request has the
// given idempotency and a deduplication window of 1 s.
func guardedMessage(t *testing.T, idempotency policy.Idempotency) (*Core, *Message) {
	t.Helper()
	core := newTestCore(t, readyEndpoint("s-1", "127.0.0.1:7"))
	core.config.Policy.Classes = []policy.Class{{Idempotency: idempotency, DedupWindow: time.Second}}
	request := &Request{ID: "r", Deadline: time.Now().Add(time.Second)}
	guard := &attemptGuard{core: core, request: request, endpoint: core.endpoints.byName["s-1"]}
	return core, &Message{guard: guard}
}

// The guard prevents an attempt whose endpoint, client, request or write deadline no longer allows it,
// although the Balancer has decided to start it. The invariant checks report an attempt that is started
// nevertheless.
func TestGuardAndInvariantChecks(t *testing.T) {
	now := time.Now()
	longAgo := now.Add(-time.Minute)
	for _, tt := range []struct {
		name          string
		idempotency   policy.Idempotency
		before        func(*Core, *Message)
		statedTimeout time.Duration
		prevented     PreventedSends
		violations    Violations
	}{
		{name: "nothing"},
		{
			name: "draining",
			before: func(core *Core, m *Message) {
				m.guard.endpoint.markUnavailable(core.clock.at(longAgo))
			},
			prevented:  PreventedSends{Draining: 1},
			violations: Violations{SentToDraining: 1},
		},
		{
			name:       "client disconnected",
			before:     func(_ *Core, m *Message) { m.guard.request.history.complete(longAgo, true) },
			prevented:  PreventedSends{ClientDisconnected: 1},
			violations: Violations{SentAfterDisconnect: 1},
		},
		{
			name:       "response given",
			before:     func(_ *Core, m *Message) { m.guard.request.history.complete(longAgo, false) },
			prevented:  PreventedSends{Responded: 1},
			violations: Violations{SentAfterResponse: 1},
		},
		{
			name:      "write deadline passed",
			before:    func(_ *Core, m *Message) { m.WriteDeadline = longAgo },
			prevented: PreventedSends{DedupWindow: 1},
		},
		{
			name: "a repeat, and the process at the address has ended",
			before: func(core *Core, m *Message) {
				m.guard.needsKnownProcess = true
				core.processEnded(m.guard.endpoint, m.guard.endpoint.upstream)
			},
			prevented: PreventedSends{UnknownProcess: 1},
		},
		{
			name: "a repeat, and the process at the address ended long ago",
			before: func(core *Core, m *Message) {
				m.guard.needsKnownProcess = true
				m.guard.endpoint.processEndedAt.Store(int64(core.clock.at(now) - policy.ProcessUnknownFor))
			},
		},
		{
			name: "no repeat, and the process at the address has ended",
			before: func(core *Core, m *Message) {
				core.processEnded(m.guard.endpoint, m.guard.endpoint.upstream)
			},
		},
		{
			name:        "not idempotent, earlier attempt may have run",
			idempotency: policy.NotIdempotent,
			before:      func(_ *Core, m *Message) { m.SendCompleted(now, 0) },
			violations:  Violations{RetriedNotIdempotent: 1},
		},
		{
			name:        "not idempotent, earlier attempt did not run",
			idempotency: policy.NotIdempotent,
			before: func(_ *Core, m *Message) {
				m.SendCompleted(now, 0)
				m.guard.request.history.attemptEnded(0, policy.Rejected)
			},
		},
		{
			name:        "keyed, within the deduplication window",
			idempotency: policy.IdempotentByKey,
			before:      func(_ *Core, m *Message) { m.SendCompleted(now, 0) },
		},
		{
			name:        "keyed, after the deduplication window",
			idempotency: policy.IdempotentByKey,
			before:      func(_ *Core, m *Message) { m.SendCompleted(longAgo, 0) },
			violations:  Violations{RetriedAfterDedupWindow: 1},
		},
		{
			name:          "timeout longer than the client's",
			statedTimeout: 2 * time.Second,
			violations:    Violations{TimeoutTooLong: 1},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			core, message := guardedMessage(t, tt.idempotency)
			if tt.before != nil {
				tt.before(core, message)
			}
			if got, want := message.AllowSend(now), tt.prevented == (PreventedSends{}); got != want {
				t.Errorf("AllowSend: got %v, want %v", got, want)
			}
			message.AllowSend(now) // a second call is not counted again
			if got := core.PreventedSends(); got != tt.prevented {
				t.Errorf("prevented sends: got %+v, want %+v", got, tt.prevented)
			}
			message.SendCompleted(now, tt.statedTimeout)
			if got := core.Violations(); got != tt.violations {
				t.Errorf("violations: got %+v, want %+v", got, tt.violations)
			}
		})
	}
}
