package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the rules of guard.go at every action of a Balancer.
type ruleChecker struct {
	t   testing.TB
	cfg Config
	now time.Duration

	requests       map[RequestID]*checkedRequest
	endpoints      map[EndpointID]Endpoint        // the endpoint list that the Balancer has received
	slowStartSends map[EndpointID][]time.Duration // times of attempts in slow start within the last second

	timers        []time.Duration // times at which timers are due
	pendingProbes []EndpointID    // endpoints with a probe that has no result yet
	trace         []string        // all actions
}

// checkedRequest is the state of a request as the ruleChecker observes it.
type checkedRequest struct {
	received  Request
	deadline  time.Duration
	attempts  []checkedAttempt
	completed bool // has its response, or its client has disconnected
}

// checkedAttempt is the state of an attempt as the ruleChecker observes it.
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

// firstAttemptThatMayHaveRun returns the first attempt that may have run or may still run, or nil if
// there is none.
func (r *checkedRequest) firstAttemptThatMayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		result := r.attempts[i].result
		if r.attempts[i].inFlight || (result != Rejected && result != ConnectionFailed && result != NotSent) {
			return &r.attempts[i]
		}
	}
	return nil
}

// record appends an action to the trace.
func (c *ruleChecker) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id RequestID, to EndpointID, timeout, writeWithin time.Duration) {
	c.record("send %d %d %v", id, to, timeout)
	request, endpoint := c.requests[id], c.endpoints[to]
	switch {
	case request == nil || request.completed:
		c.t.Fatalf("rule 1: got an attempt for request %d, which is completed or unknown", id)
	case endpoint.Health != Ready:
		c.t.Fatalf("rule 3: got an attempt at endpoint %d with health %d, want Ready", to, endpoint.Health)
	case timeout <= 0 || c.now+timeout > request.deadline:
		c.t.Fatalf("rule 1: got timeout %v at %v, want above 0 and an end by the deadline %v",
			timeout, c.now, request.deadline)
	case len(request.attempts) >= c.cfg.MaxAttempts:
		c.t.Fatalf("got attempt %d of a request, want at most %d", len(request.attempts)+1, c.cfg.MaxAttempts)
	}
	if first := request.firstAttemptThatMayHaveRun(); first != nil {
		c.checkRepeat(request, first, endpoint, writeWithin)
	}
	c.checkSlowStart(endpoint)
	request.attempts = append(request.attempts, checkedAttempt{to: endpoint, startedAt: c.now, inFlight: true})
}

// checkRepeat checks rule 2 for an attempt of a request for which an earlier attempt may have run.
func (c *ruleChecker) checkRepeat(request *checkedRequest, first *checkedAttempt, endpoint Endpoint, writeWithin time.Duration) {
	id := request.received.ID
	class := c.cfg.Classes[request.received.Class]
	switch {
	case class.Idempotency == IdempotentByKey && (writeWithin <= 0 || c.now+writeWithin > first.startedAt+class.DedupWindow):
		c.t.Fatalf("rule 2: keyed request %d: got writeWithin %v, want above 0 and within the window of %v from %v",
			id, writeWithin, class.DedupWindow, first.startedAt)
	case class.Idempotency == NotIdempotent:
		c.t.Fatalf("rule 2: request %d is not idempotent and may have run: got a retry, want none", id)
	case class.Idempotency == IdempotentByKey && c.now-first.startedAt >= class.DedupWindow:
		c.t.Fatalf("rule 2: keyed request %d: got a retry %v after the first attempt, want it within the window",
			id, c.now-first.startedAt)
	case class.Idempotency == IdempotentByKey && class.DedupScope == ScopeZone && endpoint.Zone != first.to.Zone,
		class.Idempotency == IdempotentByKey && class.DedupScope == ScopeCell && endpoint.Cell != first.to.Cell:
		c.t.Fatalf("rule 2: keyed request %d: got a retry outside its deduplication scope", id)
	}
}

// checkSlowStart checks rule 4: in any second, this balancer sends no more attempts to an endpoint in
// slow start than its equal part of the budget, plus one attempt at each end of the second.
func (c *ruleChecker) checkSlowStart(endpoint Endpoint) {
	if endpoint.StartedAt == 0 || c.now >= endpoint.StartedAt+c.cfg.SlowStartDuration {
		return
	}
	weight := func(e Endpoint) float64 { return max(e.Weight, 1) } // a weight of 0 counts as 1
	totalQuota, totalWeight := 0.0, 0.0
	for _, tenant := range c.cfg.Tenants {
		totalQuota += tenant.Quota
	}
	for _, other := range c.endpoints {
		if other.Health == Ready {
			totalWeight += weight(other)
		}
	}
	elapsed := float64(c.now-endpoint.StartedAt) / float64(c.cfg.SlowStartDuration)
	factor := c.cfg.SlowStartInitialShare + (1-c.cfg.SlowStartInitialShare)*elapsed
	budget := 2 + c.cfg.SlowStartOverloadFactor*factor*totalQuota/
		float64(c.cfg.FleetSize)*weight(endpoint)/totalWeight
	recent := slices.DeleteFunc(c.slowStartSends[endpoint.ID], func(at time.Duration) bool { return at <= c.now-time.Second })
	c.slowStartSends[endpoint.ID] = append(recent, c.now)
	if sends := float64(len(c.slowStartSends[endpoint.ID])); sends > budget {
		c.t.Fatalf("rule 4: got %v attempts within a second at endpoint %d in slow start, want at most %.1f",
			sends, endpoint.ID, budget)
	}
}

// recordResponse checks rule 1 for the response to a request, and marks the request as completed.
func (c *ruleChecker) recordResponse(id RequestID) *checkedRequest {
	request := c.requests[id]
	if request == nil || request.completed {
		c.t.Fatalf("rule 1: got a response to request %d, which is completed or unknown", id)
	}
	if c.now > request.deadline+20*ms {
		c.t.Fatalf("rule 1: got a response %v after the deadline, want at most 20ms", c.now-request.deadline)
	}
	request.completed = true
	return request
}

func (c *ruleChecker) Reject(id RequestID, pause time.Duration) {
	c.record("reject %d %v", id, pause)
	request := c.recordResponse(id)
	class := c.cfg.Classes[request.received.Class]
	if request.firstAttemptThatMayHaveRun() != nil && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != ScopeAll) {
		c.t.Fatalf("rule 2: request %d may have run and its repeat is unsafe: got a rejection, want a failure", id)
	}
	if pause < 0 || pause > c.cfg.MaxRetryAfter {
		c.t.Fatalf("got retryAfter %v, want between 0 and MaxRetryAfter", pause)
	}
}

func (c *ruleChecker) Fail(id RequestID) {
	c.record("fail %d", id)
	c.recordResponse(id)
}

func (c *ruleChecker) Cancel(id RequestID, attempt int) {
	c.record("cancel %d %d", id, attempt)
}

func (c *ruleChecker) SetTimer(delay time.Duration) {
	c.record("timer %v", delay)
	c.timers = append(c.timers, c.now+delay)
}

func (c *ruleChecker) Probe(to EndpointID) {
	c.record("probe %d", to)
	c.pendingProbes = append(c.pendingProbes, to)
}

func (c *ruleChecker) RequestWatch() {
	c.record("watch")
}

// recordingTB is a testing.TB whose Fatalf records the failure and panics, which ends the check.
type recordingTB struct {
	testing.TB
	failure string
}

func (r *recordingTB) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	panic(r)
}

// The ruleChecker must detect violations of the rules. Otherwise the tests that use it would pass
// without checking anything.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	tests := []struct {
		name, want string
		violate    func(checker *ruleChecker)
	}{
		{"a second response", "rule 1", func(checker *ruleChecker) { checker.Fail(1); checker.Fail(1) }},
		{"an attempt after the response", "rule 1", func(checker *ruleChecker) {
			checker.Fail(1)
			checker.Send(1, 1, ms, ms)
		}},
		{"a response after the deadline", "rule 1", func(checker *ruleChecker) {
			checker.now += 3 * time.Second
			checker.Fail(1)
		}},
		{"a second attempt of a request that is not idempotent", "rule 2", func(checker *ruleChecker) {
			checker.Send(1, 1, ms, ms)
			checker.Send(1, 1, ms, ms)
		}},
		{"a rejection of a request that may have run", "rule 2", func(checker *ruleChecker) {
			checker.Send(1, 1, ms, ms)
			checker.Reject(1, 0)
		}},
		{"a burst to an endpoint in slow start", "rule 4", func(checker *ruleChecker) {
			for id := RequestID(10); id < 60; id++ {
				checker.requests[id] = &checkedRequest{received: Request{ID: id}, deadline: checker.now + time.Second}
				checker.Send(id, 3, ms, ms)
			}
		}},
		{"an attempt at a draining endpoint", "rule 3", func(checker *ruleChecker) { checker.Send(1, 2, ms, ms) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recorder := &recordingTB{TB: t}
			checker := newRuleChecker(recorder, testConfig(), time.Minute)
			checker.endpoints[1] = Endpoint{ID: 1, Health: Ready}
			checker.endpoints[2] = Endpoint{ID: 2, Health: Draining}
			checker.endpoints[3] = Endpoint{ID: 3, Health: Ready, StartedAt: checker.now}
			checker.requests[1] = &checkedRequest{
				received: Request{ID: 1, Class: notIdempotentClass}, deadline: checker.now + 2*time.Second,
			}
			defer func() {
				if recovered := recover(); recovered != nil && recovered != any(recorder) {
					panic(recovered)
				}
				if !strings.HasPrefix(recorder.failure, tt.want) {
					t.Fatalf("got failure %q, want a violation of %s", recorder.failure, tt.want)
				}
			}()
			tt.violate(checker)
		})
	}
}
