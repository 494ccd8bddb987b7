package core

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// A transport asks MayBegin right before the first byte of an attempt and calls Began
// once the last one has been written. MayBegin is the guard: connections come up late,
// clients leave and servers drain after the module has decided. Began is the check that
// the guards hold: it counts what should not have happened, and changes nothing.

// Slacks of the checks: the operators' page allows an attempt to begin up to 0.1 s after
// its client has left, a deadline to be told 0.15 s too long, and the process to be held
// up for 0.15 s between reading its clock and writing.
const (
	leftSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	heldUpSlack   = 150 * time.Millisecond
	// DefaultDrainGrace is used where the settings name none.
	DefaultDrainGrace = time.Second
)

// Violations counts broken rules, as the run-time checks see them. All stay 0.
type Violations struct {
	SentToDraining          uint64 `metric:"sent_to_draining"`  // an attempt began later than the grace after a drain was told
	SentAfterClientGone     uint64 `metric:"sent_for_left"`     // an attempt began after its client had left
	SentAfterResponse       uint64 `metric:"sent_after_answer"` // an attempt began after its request had its final answer
	RetriedNotIdempotent    uint64 `metric:"repeated_unsafe"`   // an attempt began though one before it may have run
	RetriedAfterDedupWindow uint64 `metric:"repeated_too_late"` // a keyed repeat began after the servers' memory of the first
	TimeoutTooLong          uint64 `metric:"deadline_too_long"` // a server was told more time than its client has left
	RespondedTwice          uint64 `metric:"answered_twice"`    // a request got a second final answer
}

// PreventedSends counts attempts that a guard kept from beginning, by reason.
type PreventedSends struct {
	Draining    uint64 `metric:"draining"` // the server was told to drain, or has gone
	ClientGone  uint64 `metric:"left"`     // the client has left
	Responded   uint64 `metric:"answered"` // the request has its final answer
	DedupWindow uint64 `metric:"window"`   // the servers' memory of an earlier attempt has ended
}

// checks are the counters in use.
type checks struct {
	sentToDraining, sentForLeft, sentAfterAnswer, repeatedUnsafe, repeatedTooLate, deadlineTooLong, answeredTwice atomic.Uint64

	draining, left, answered, window atomic.Uint64
}

// Violations returns what the run-time checks have counted.
func (l *Core) Violations() Violations {
	c := &l.checks
	return Violations{
		c.sentToDraining.Load(), c.sentForLeft.Load(), c.sentAfterAnswer.Load(), c.repeatedUnsafe.Load(),
		c.repeatedTooLate.Load(), c.deadlineTooLong.Load(), c.answeredTwice.Load(),
	}
}

// PreventedSends returns what the guards have withheld.
func (l *Core) PreventedSends() PreventedSends {
	c := &l.checks
	return PreventedSends{c.draining.Load(), c.left.Load(), c.answered.Load(), c.window.Load()}
}

func violated(count *atomic.Uint64, rule, request string) {
	count.Add(1)
	slog.Error("a rule was broken", "rule", rule, "request", request)
}

// history is what has become of a request's attempts and of its client, for the guard
// and the checks.
type history struct {
	mu       sync.Mutex
	over     time.Time // it was answered, or its client left; zero: neither
	left     bool      // over: the client left
	begun    []begun   // attempts whose last byte was written
	answered bool
}

// begun is one of them.
type begun struct {
	number int
	at     time.Time
	never  bool // it is known that it has not run
}

// end notes that nothing more is to be sent.
func (h *history) end(now time.Time, left bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over.IsZero() {
		h.over, h.left = now, left
	}
}

// ended notes how an attempt has ended.
func (h *history) ended(number int, ending policy.AttemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.begun {
		if h.begun[i].number == number {
			h.begun[i].never = ending == policy.Rejected || ending == policy.ConnectionFailed || ending == policy.NotSent
		}
	}
}

// attemptGuard guards one attempt.
type attemptGuard struct {
	core     *Core
	request  *Request
	host     *host
	number   int
	withheld atomic.Bool // it was counted
}

// withhold says by which counter an attempt may not begin now; nil: it may.
func (m *Message) withhold(now time.Time) (why func(*checks) *atomic.Uint64) {
	if !m.WriteDeadline.IsZero() && !now.Before(m.WriteDeadline) {
		return func(c *checks) *atomic.Uint64 { return &c.window }
	}
	if g := m.guard; g != nil {
		if g.host.closedAt.Load() != 0 {
			return func(c *checks) *atomic.Uint64 { return &c.draining }
		}
		h := &g.request.history
		h.mu.Lock()
		over, left := !h.over.IsZero(), h.left
		h.mu.Unlock()
		if over && !left {
			return func(c *checks) *atomic.Uint64 { return &c.answered }
		}
		if over {
			return func(c *checks) *atomic.Uint64 { return &c.left }
		}
	}
	if m.ClientGone != nil && m.ClientGone() {
		return func(c *checks) *atomic.Uint64 { return &c.left }
	}
	return nil
}

// AllowSend is asked by transports right before the first byte is written, as
// much may have happened since the module decided: connections come up late, servers
// drain and clients leave. What may not begin has ended as policy.NotSent.
func (m *Message) AllowSend(now time.Time) bool {
	why := m.withhold(now)
	if why == nil {
		return true
	}
	if g := m.guard; g != nil && !g.withheld.Swap(true) {
		why(&g.core.checks).Add(1)
	}
	return false
}

// SendCompleted takes that the last byte of an attempt was written, and how long the server was
// told that it will be waited for; 0: it was told nothing.
func (m *Message) SendCompleted(now time.Time, told time.Duration) {
	g := m.guard
	if g == nil {
		return
	}
	c, r := &g.core.checks, g.request
	if at := g.host.closedAt.Load(); at != 0 && now.Sub(g.core.begin)-time.Duration(at) > g.core.config.DrainGrace+heldUpSlack {
		violated(&c.sentToDraining, "sent_to_draining", r.ID)
	}
	if told > max(r.Deadline.Sub(now), 0)+deadlineSlack+heldUpSlack {
		violated(&c.deadlineTooLong, "deadline_too_long", r.ID)
	}
	class := &g.core.config.Policy.Classes[r.Class]
	h := &r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.over.IsZero() && now.Sub(h.over) > leftSlack+heldUpSlack {
		if h.left {
			violated(&c.sentForLeft, "sent_for_left", r.ID)
		} else {
			violated(&c.sentAfterAnswer, "sent_after_answer", r.ID)
		}
	}
	for _, b := range h.begun {
		switch {
		case b.never || class.Idempotency == policy.Idempotent:
		case class.Idempotency == policy.NotIdempotent:
			violated(&c.repeatedUnsafe, "repeated_unsafe", r.ID)
		case now.Sub(b.at) > class.DedupWindow+heldUpSlack:
			violated(&c.repeatedTooLate, "repeated_too_late", r.ID)
		}
	}
	h.begun = append(h.begun, begun{number: g.number, at: now})
}
