package soak

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Rule names an invariant that the soak checks.
type Rule string

// The invariants. Each comment says how the invariant is violated.
const (
	Lost                Rule = "lost"      // A request got no final response in time.
	Duplicate           Rule = "duplicate" // The effect of a request was executed twice, or its client got two responses.
	Drain               Rule = "drain"     // A node got a request too long after its sidecar had received the node's drain.
	WarmUpOverload      Rule = "failback"  // A cold node got more requests than its budget.
	SentAfterDisconnect Rule = "left"      // An attempt began after its client had closed the connection.
	Deadline            Rule = "deadline"  // A node got a longer request timeout than its client had left.
	UnsafeRejection     Rule = "promise"   // A request was rejected although it had been executed and is not safe to repeat.
	PartialRequest      Rule = "owed"      // A client that stopped in the middle of a request got no error or close in time.
	Crash               Rule = "crash"     // A sidecar exited without SIGTERM, too late, or with an error.
	Check               Rule = "check"     // A sidecar's own run-time check reported a violation.
	Body                Rule = "body"      // A client got a body that no node sent for its request, or a node got an unknown request.
)

// Slacks and bounds. The operators' page allows 0.1 s for clients that disconnect, 0.15 s for deadlines, 0.15 s
// for a stalled process and 0.5 s for responses. schedulingSlack allows for a busy machine, where a stand-in
// may record an event late.
const (
	disconnectSlack       = 100 * time.Millisecond
	deadlineSlack         = 150 * time.Millisecond
	stallSlack            = 150 * time.Millisecond
	responseSlack         = 500 * time.Millisecond
	schedulingSlack       = 150 * time.Millisecond
	drainGrace            = 2 * time.Second
	partialRequestTimeout = 3 * time.Second
)

// Violation is one violated invariant.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the start of the soak
	Detail string
}

// String returns the violation's time in seconds, its rule and its detail on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// requestRecord is what clients and nodes have recorded of one request.
type requestRecord struct {
	id                   string
	class                class
	deadline             time.Time // when its client stops waiting
	clientDisconnectedAt time.Time // when its client closed the connection early; zero: it did not
	excused              bool      // its sidecar was killed or stalled during the request
	attempts             []attempt
	status               int // of the response; 0: none yet
}

// attempt is one complete arrival of a request at a node.
type attempt struct {
	readAt   time.Time // when the node read it; it may have been sent earlier
	executed bool      // the node executes the request's effect
	node     string
}

// checker records what clients and nodes observe and checks the invariants. It is safe for concurrent use.
type checker struct {
	startedAt time.Time // of the soak
	lag       LagMeter
	overflows overflowMeter

	mu           sync.Mutex
	records      map[string]*requestRecord // by request id
	violations   []Violation
	statusCounts map[int]int // responses by status
	requestCount int
}

func newChecker(startedAt time.Time) *checker {
	return &checker{startedAt: startedAt, records: make(map[string]*requestRecord), statusCounts: make(map[int]int)}
}

// addViolation adds a violation of a rule at the current time.
func (c *checker) addViolation(rule Rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

// addViolationLocked is addViolation for a caller that holds c.mu.
func (c *checker) addViolationLocked(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, time.Since(c.startedAt), fmt.Sprintf(format, args...)})
}

// recordRequest records a request that its client is about to send.
func (c *checker) recordRequest(id string, requestClass class, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[id] = &requestRecord{id: id, class: requestClass, deadline: deadline}
	c.requestCount++
}

// recordLastByte records that a client is about to send the last byte of a request, and the deadline that
// counts from there.
func (c *checker) recordLastByte(id string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[id].deadline = deadline
}

// recordClientDisconnected records that a request's client closes its connection now, before the response.
func (c *checker) recordClientDisconnected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[id].clientDisconnectedAt = time.Now()
}

// recordAttempt records a request that a node has read completely. timeout is the request timeout that the
// node got, executed says whether the node executes the effect, and delay is how long the request may have
// waited before the node read it.
// circumstances describes the arrival in violations.
func (c *checker) recordAttempt(
	nodeName, id string, timeout time.Duration, executed bool, delay time.Duration, circumstances string,
) {
	readAt := time.Now()
	now := readAt.Add(-delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	if r == nil {
		c.addViolationLocked(Body, "node %s got request %q, which no client sent", nodeName, id)
		return
	}
	if remaining := max(r.deadline.Sub(now), 0); timeout > remaining+deadlineSlack+stallSlack+c.lag.slack() && !r.excused {
		c.addViolationLocked(Deadline, "%s: the node %s got a request timeout of %v, the client had %v left; %s",
			id, nodeName, timeout, remaining, circumstances)
	}
	if !r.clientDisconnectedAt.IsZero() && now.Sub(r.clientDisconnectedAt) > disconnectSlack+stallSlack+c.lag.slack() {
		c.addViolationLocked(SentAfterDisconnect, "%s reached a node %v after its client had closed the connection",
			id, now.Sub(r.clientDisconnectedAt))
	}
	for _, earlier := range r.attempts {
		switch {
		case !earlier.executed || r.class.idempotency == idempotent:
		case r.class.idempotency == notIdempotent:
			c.addViolationLocked(Duplicate, "%s was executed by %s and by %s", id, earlier.node, nodeName)
		case now.Sub(earlier.readAt) > r.class.dedupWindow+stallSlack+c.lag.slack():
			c.addViolationLocked(Duplicate, "%s was executed again by %s %v after the first execution by %s; %s",
				id, nodeName, now.Sub(earlier.readAt), earlier.node, circumstances)
		}
	}
	r.attempts = append(r.attempts, attempt{readAt, executed, nodeName})
}

// recordResponse records a request's final response. late is how long after the deadline the response came,
// negative before the deadline. excused says that the request was allowed to get no response.
func (c *checker) recordResponse(id string, status int, body string, late time.Duration, excused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	r.excused = r.excused || excused
	if r.status != 0 {
		c.addViolationLocked(Duplicate, "%s got two responses, with status %d and %d", id, r.status, status)
	}
	r.status = status
	c.statusCounts[status]++
	executed := false
	for _, a := range r.attempts {
		executed = executed || a.executed
	}
	switch {
	case late > responseSlack+c.lag.slack() && !excused:
		c.addViolationLocked(Lost, "%s got status %d %v after its deadline", id, status, late)
	case status == 200 && (body != id || !executed):
		c.addViolationLocked(Body, "%s got body %q, executed: %v", id, body, executed)
	case (status == 503 || status == 429) && executed && r.class.idempotency == notIdempotent:
		c.addViolationLocked(UnsafeRejection, "%s was rejected although it had been executed", id)
	}
}

// recordNoResponse records a request that got no response. excused says that this was allowed.
func (c *checker) recordNoResponse(id string, reason error, excused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[id].excused = c.records[id].excused || excused
	if !excused {
		c.addViolationLocked(Lost, "%s: %v", id, reason)
	}
}

// requestBudget returns how many requests a node may get within a window for which the settings allow
// the given number (fourth rule of the operators' page).
func requestBudget(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
