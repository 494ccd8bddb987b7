package core

import (
	"testing"
	"time"

	"mothridge/policy"
)

// guarded is an attempt of a request of some effect, as a transport has it.
func guarded(t *testing.T, effect policy.Effect) (*Core, *Message) {
	t.Helper()
	l := newTestLoop(t, up("s-1", "127.0.0.1:7"))
	l.config.Policy.Classes = []policy.Class{{Effect: effect, Window: time.Second}}
	r := &Request{ID: "r", Until: time.Now().Add(time.Second)}
	return l, &Message{guard: &attemptGuard{core: l, request: r, host: l.hosts["s-1"]}}
}

// What has happened since the module decided keeps an attempt from beginning; the check
// behind the guard sees one that begins all the same.
func TestGuardAndCheck(t *testing.T) {
	now := time.Now()
	long := now.Add(-time.Minute)
	for name, c := range map[string]struct {
		effect   policy.Effect
		happened func(*Core, *Message)
		told     time.Duration
		withheld Withheld
		found    Checks
	}{
		"nothing":     {happened: func(*Core, *Message) {}},
		"drain":       {happened: func(_ *Core, m *Message) { m.guard.host.close(1) }, withheld: Withheld{Draining: 1}, found: Checks{SentToDraining: 1}},
		"client left": {happened: func(_ *Core, m *Message) { m.guard.request.history.end(long, true) }, withheld: Withheld{Left: 1}, found: Checks{SentForLeft: 1}},
		"answered":    {happened: func(_ *Core, m *Message) { m.guard.request.history.end(long, false) }, withheld: Withheld{Answered: 1}, found: Checks{SentAfterAnswer: 1}},
		"window over": {happened: func(_ *Core, m *Message) { m.By = long }, withheld: Withheld{Window: 1}},
		"an unsafe one may have run": {
			effect: policy.Unsafe, happened: func(_ *Core, m *Message) { m.Began(now, 0) }, found: Checks{RepeatedUnsafe: 1},
		},
		"an unsafe one never ran": {effect: policy.Unsafe, happened: func(_ *Core, m *Message) {
			m.Began(now, 0)
			m.guard.request.history.ended(0, policy.TurnedAway)
		}},
		"a keyed one within its window": {effect: policy.Keyed, happened: func(_ *Core, m *Message) { m.Began(now, 0) }},
		"a keyed one after its window": {
			effect: policy.Keyed, happened: func(_ *Core, m *Message) { m.Began(long, 0) }, found: Checks{RepeatedTooLate: 1},
		},
		"told too much": {told: 2 * time.Second, happened: func(*Core, *Message) {}, found: Checks{DeadlineTooLong: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l, m := guarded(t, c.effect)
			l.begin = long
			c.happened(l, m)
			if got := m.MayBegin(now); got != (c.withheld == Withheld{}) {
				t.Errorf("may begin: %v", got)
			}
			m.MayBegin(now)
			if got := l.Withheld(); got != c.withheld {
				t.Errorf("withheld %+v, want %+v", got, c.withheld)
			}
			m.Began(now, c.told)
			if got := l.Checks(); got != c.found {
				t.Errorf("checks %+v, want %+v", got, c.found)
			}
		})
	}
}
