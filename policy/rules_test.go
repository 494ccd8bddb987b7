package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the rules of guard.go at every action.
type ruleChecker struct {
	t   testing.TB
	cfg Config
	now time.Duration

	requests       map[RequestID]*checkedRequest
	endpoints      map[EndpointID]Endpoint        // the list as the Balancer has it
	slowStartSends map[EndpointID][]time.Duration // within the last second, to endpoints in slow start

	timers        []time.Duration // when they are due
	pendingProbes []EndpointID
	trace         []string // all actions
}

// checkedRequest is what the checks know of a request.
type checkedRequest struct {
	received Request
	deadline time.Duration
	attempts []checkedAttempt
	answered bool
}

type checkedAttempt struct {
	to        Endpoint
	startedAt time.Duration
	result    AttemptResult
	inFlight  bool
}

func newRuleChecker(t testing.TB, cfg Config, now time.Duration) *ruleChecker {
	return &ruleChecker{
		t: t, cfg: cfg, now: now,
		requests:       map[RequestID]*checkedRequest{},
		endpoints:      map[EndpointID]Endpoint{},
		slowStartSends: map[EndpointID][]time.Duration{},
	}
}

// mayHaveRun returns the first attempt that may have run or still may, or nil.
func (r *checkedRequest) mayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		result := r.attempts[i].result
		if r.attempts[i].inFlight || (result != Rejected && result != ConnectionFailed && result != NotSent) {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *ruleChecker) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id RequestID, to EndpointID, timeout, writeWithin time.Duration) {
	c.record("send %d %d %v", id, to, timeout)
	request, endpoint := c.requests[id], c.endpoints[to]
	switch {
	case request == nil || request.answered:
		c.t.Fatalf("rule 1: attempt for request %d, which is answered", id)
	case endpoint.Health != Ready:
		c.t.Fatalf("rule 3: attempt at endpoint %d in state %d", to, endpoint.Health)
	case timeout <= 0 || c.now+timeout > request.deadline:
		c.t.Fatalf("rule 1: timeout %v at %v runs past the deadline %v", timeout, c.now, request.deadline)
	case len(request.attempts) >= c.cfg.MaxAttempts:
		c.t.Fatalf("attempt %d of at most %d", len(request.attempts)+1, c.cfg.MaxAttempts)
	}
	if first := request.mayHaveRun(); first != nil {
		c.checkRepeat(request, first, endpoint, writeWithin)
	}
	c.checkSlowStart(endpoint)
	request.attempts = append(request.attempts, checkedAttempt{to: endpoint, startedAt: c.now, inFlight: true})
}

// checkRepeat checks rule 2 for an attempt after one that may have run.
func (c *ruleChecker) checkRepeat(request *checkedRequest, first *checkedAttempt, endpoint Endpoint, writeWithin time.Duration) {
	id := request.received.ID
	class := c.cfg.Classes[request.received.Class]
	switch {
	case class.Idempotency == IdempotentByKey && (writeWithin <= 0 || c.now+writeWithin > first.startedAt+class.DedupWindow):
		c.t.Fatalf("rule 2: keyed request %d may be written %v later, past its window of %v from %v", id, writeWithin, class.DedupWindow, first.startedAt)
	case class.Idempotency == NotIdempotent:
		c.t.Fatalf("rule 2: request %d, not idempotent, retried though it may have run", id)
	case class.Idempotency == IdempotentByKey && c.now-first.startedAt >= class.DedupWindow:
		c.t.Fatalf("rule 2: keyed request %d retried %v after the first send", id, c.now-first.startedAt)
	case class.Idempotency == IdempotentByKey && class.DedupScope == ScopeZone && endpoint.Zone != first.to.Zone,
		class.Idempotency == IdempotentByKey && class.DedupScope == ScopeCell && endpoint.Cell != first.to.Cell:
		c.t.Fatalf("rule 2: keyed request %d retried outside its scope", id)
	}
}

// checkSlowStart checks that this balancer keeps to its even part of an endpoint's slow-start
// budget in any second, with one send of slack at each end of it.
func (c *ruleChecker) checkSlowStart(endpoint Endpoint) {
	if endpoint.StartedAt == 0 || c.now >= endpoint.StartedAt+c.cfg.SlowStartDuration {
		return
	}
	weight := func(e Endpoint) float64 { return max(e.Weight, 1) } // no weight counts as 1
	quota, total := 0.0, 0.0
	for _, tenant := range c.cfg.Tenants {
		quota += tenant.Quota
	}
	for _, other := range c.endpoints {
		if other.Health == Ready {
			total += weight(other)
		}
	}
	elapsed := float64(c.now-endpoint.StartedAt) / float64(c.cfg.SlowStartDuration)
	factor := c.cfg.SlowStartInitialShare + (1-c.cfg.SlowStartInitialShare)*elapsed
	budget := 2 + c.cfg.SlowStartOverloadFactor*factor*quota/float64(c.cfg.FleetSize)*weight(endpoint)/total
	recent := slices.DeleteFunc(c.slowStartSends[endpoint.ID], func(at time.Duration) bool { return at <= c.now-time.Second })
	c.slowStartSends[endpoint.ID] = append(recent, c.now)
	if sends := float64(len(c.slowStartSends[endpoint.ID])); sends > budget {
		c.t.Fatalf("rule 4: %v sends within a second to endpoint %d in slow start, the budget is %.1f", sends, endpoint.ID, budget)
	}
}

// recordAnswer checks rule 1 for an answer.
func (c *ruleChecker) recordAnswer(id RequestID) *checkedRequest {
	request := c.requests[id]
	if request == nil || request.answered {
		c.t.Fatalf("rule 1: second answer for request %d, or one for a request not held", id)
	}
	if c.now > request.deadline+20*ms {
		c.t.Fatalf("rule 1: answered %v after the deadline", c.now-request.deadline)
	}
	request.answered = true
	return request
}

func (c *ruleChecker) Reject(id RequestID, pause time.Duration) {
	c.record("reject %d %v", id, pause)
	request := c.recordAnswer(id)
	class := c.cfg.Classes[request.received.Class]
	if request.mayHaveRun() != nil && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != ScopeAll) {
		c.t.Fatalf("rule 2: request %d rejected though it may have run", id)
	}
	if pause < 0 || pause > c.cfg.MaxRetryAfter {
		c.t.Fatalf("pause %v", pause)
	}
}

func (c *ruleChecker) Fail(id RequestID) {
	c.record("fail %d", id)
	c.recordAnswer(id)
}

func (c *ruleChecker) Cancel(id RequestID, attempt int) {
	c.record("cancel %d %d", id, attempt)
}

func (c *ruleChecker) SetTimer(d time.Duration) {
	c.record("timer %v", d)
	c.timers = append(c.timers, c.now+d)
}

func (c *ruleChecker) Probe(to EndpointID) {
	c.record("probe %d", to)
	c.pendingProbes = append(c.pendingProbes, to)
}

func (c *ruleChecker) RequestWatch() {
	c.record("watch")
}

// recordingTB is a testing.TB that keeps the first failure and stops there.
type recordingTB struct {
	testing.TB
	failure string
}

func (r *recordingTB) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	panic(r)
}

// The checks prove something only if they see a broken rule.
func TestChecksDetectPlantedViolations(t *testing.T) {
	tests := []struct {
		name, want string
		act        func(c *ruleChecker)
	}{
		{"a second answer", "rule 1", func(c *ruleChecker) { c.Fail(1); c.Fail(1) }},
		{"an attempt after the answer", "rule 1", func(c *ruleChecker) { c.Fail(1); c.Send(1, 1, ms, ms) }},
		{"an answer far too late", "rule 1", func(c *ruleChecker) { c.now += 3 * time.Second; c.Fail(1) }},
		{"a request, not idempotent, twice", "rule 2", func(c *ruleChecker) { c.Send(1, 1, ms, ms); c.Send(1, 1, ms, ms) }},
		{"a rejection of what may have run", "rule 2", func(c *ruleChecker) { c.Send(1, 1, ms, ms); c.Reject(1, 0) }},
		{"a burst to an endpoint in slow start", "rule 4", func(c *ruleChecker) {
			for id := RequestID(10); id < 60; id++ {
				c.requests[id] = &checkedRequest{received: Request{ID: id}, deadline: c.now + time.Second}
				c.Send(id, 3, ms, ms)
			}
		}},
		{"an attempt at a draining endpoint", "rule 3", func(c *ruleChecker) { c.Send(1, 2, ms, ms) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recorder := &recordingTB{TB: t}
			c := newRuleChecker(recorder, testConfig(), time.Minute)
			c.endpoints[1] = Endpoint{ID: 1, Health: Ready}
			c.endpoints[2] = Endpoint{ID: 2, Health: Draining}
			c.endpoints[3] = Endpoint{ID: 3, Health: Ready, StartedAt: c.now}
			c.requests[1] = &checkedRequest{received: Request{ID: 1, Class: notIdempotentClass}, deadline: c.now + 2*time.Second}
			defer func() {
				if p := recover(); p != nil && p != any(recorder) {
					panic(p)
				}
				if !strings.HasPrefix(recorder.failure, tt.want) {
					t.Fatalf("failure %q, want a breach of %s", recorder.failure, tt.want)
				}
			}()
			tt.act(c)
		})
	}
}
