package core

import (
	"testing"
	"time"

	"mothridge/policy"
)

// guarded is an attempt of a request of some effect, as a transport has it.
func guarded(t *testing.T, effect policy.Idempotency) (*Core, *Message) {
	t.Helper()
	l := newTestLoop(t, up("s-1", "127.0.0.1:7"))
	l.config.Policy.Classes = []policy.Class{{Idempotency: effect, DedupWindow: time.Second}}
	r := &Request{ID: "r", Deadline: time.Now().Add(time.Second)}
	return l, &Message{guard: &attemptGuard{core: l, request: r, host: l.hosts["s-1"]}}
}

// What has happened since the module decided keeps an attempt from beginning; the check
// behind the guard sees one that begins all the same.
func TestGuardAndCheck(t *testing.T) {
	now := time.Now()
	long := now.Add(-time.Minute)
	for name, c := range map[string]struct {
		effect   policy.Idempotency
		happened func(*Core, *Message)
		told     time.Duration
		withheld PreventedSends
		found    Violations
	}{
		"nothing":     {happened: func(*Core, *Message) {}},
		"drain":       {happened: func(_ *Core, m *Message) { m.guard.host.close(1) }, withheld: PreventedSends{Draining: 1}, found: Violations{SentToDraining: 1}},
		"client left": {happened: func(_ *Core, m *Message) { m.guard.request.history.complete(long, true) }, withheld: PreventedSends{ClientGone: 1}, found: Violations{SentAfterClientGone: 1}},
		"answered":    {happened: func(_ *Core, m *Message) { m.guard.request.history.complete(long, false) }, withheld: PreventedSends{Responded: 1}, found: Violations{SentAfterResponse: 1}},
		"window over": {happened: func(_ *Core, m *Message) { m.WriteDeadline = long }, withheld: PreventedSends{DedupWindow: 1}},
		"an unsafe one may have run": {
			effect: policy.NotIdempotent, happened: func(_ *Core, m *Message) { m.SendCompleted(now, 0) }, found: Violations{RetriedNotIdempotent: 1},
		},
		"an unsafe one never ran": {effect: policy.NotIdempotent, happened: func(_ *Core, m *Message) {
			m.SendCompleted(now, 0)
			m.guard.request.history.attemptEnded(0, policy.Rejected)
		}},
		"a keyed one within its window": {effect: policy.IdempotentByKey, happened: func(_ *Core, m *Message) { m.SendCompleted(now, 0) }},
		"a keyed one after its window": {
			effect: policy.IdempotentByKey, happened: func(_ *Core, m *Message) { m.SendCompleted(long, 0) }, found: Violations{RetriedAfterDedupWindow: 1},
		},
		"told too much": {told: 2 * time.Second, happened: func(*Core, *Message) {}, found: Violations{TimeoutTooLong: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l, m := guarded(t, c.effect)
			l.begin = long
			c.happened(l, m)
			if got := m.AllowSend(now); got != (c.withheld == PreventedSends{}) {
				t.Errorf("may begin: %v", got)
			}
			m.AllowSend(now)
			if got := l.PreventedSends(); got != c.withheld {
				t.Errorf("withheld %+v, want %+v", got, c.withheld)
			}
			m.SendCompleted(now, c.told)
			if got := l.Violations(); got != c.found {
				t.Errorf("checks %+v, want %+v", got, c.found)
			}
		})
	}
}
