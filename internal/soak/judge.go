package soak

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Rule names an invariant of the soak.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"      // a request got no final answer in time
	Duplicate Rule = "duplicate" // an effect ran twice
	Drain     Rule = "drain"     // a node was sent something too long after its drain was told
	Failback  Rule = "failback"  // a cold node was sent more than its budget
	Left      Rule = "left"      // an attempt began after its client had left
	Deadline  Rule = "deadline"  // a node was told more time than the client had
	Promise   Rule = "promise"   // a refusal of what has run, and is not safe to repeat
	Owed      Rule = "owed"      // a client that stopped in the middle of a request got no word in time
	Crash     Rule = "crash"     // a sidecar ended that was not told to, or late, or with an error
	Check     Rule = "check"     // a sidecar's own run-time check counted a broken rule
	Body      Rule = "body"      // a client got a body that no node made for its request
)

// Slacks. The operators' page grants 0.1 s for clients that leave, 0.15 s for deadlines,
// 0.15 s for a process that is held up, and 0.5 s for answers; schedulingSlack is for a busy
// machine, where a stand-in may note late what it saw.
const (
	leftSlack             = 100 * time.Millisecond
	deadlineSlack         = 150 * time.Millisecond
	stallSlack            = 150 * time.Millisecond
	responseSlack         = 500 * time.Millisecond
	schedulingSlack       = 150 * time.Millisecond
	drainGrace            = 2 * time.Second
	partialRequestTimeout = 3 * time.Second
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the soak's begin
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// requestRecord is what is known of one request.
type requestRecord struct {
	id           string
	class        class
	deadline     time.Time // its client's deadline
	clientLeftAt time.Time // its client has left; zero: it has not
	excused      bool      // its sidecar was killed or stopped meanwhile
	attempts     []attempt
	status       int
}

// attempt is one time that a request reached a node whole.
type attempt struct {
	at       time.Time
	executed bool // the effect ran
	node     string
}

// checker notes what clients and nodes see, and holds it against the rules.
type checker struct {
	startedAt time.Time
	lag       lagMeter

	mu           sync.Mutex
	records      map[string]*requestRecord
	violations   []Violation
	statusCounts map[int]int // by status
	requestCount int
}

func newChecker(begin time.Time) *checker {
	return &checker{startedAt: begin, records: make(map[string]*requestRecord), statusCounts: make(map[int]int)}
}

func (j *checker) addViolation(rule Rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolationLocked(rule, format, args...)
}

func (j *checker) addViolationLocked(rule Rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, time.Since(j.startedAt), fmt.Sprintf(format, args...)})
}

// recordRequest notes a request that is about to be sent.
func (j *checker) recordRequest(id string, c class, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[id] = &requestRecord{id: id, class: c, deadline: until}
	j.requestCount++
}

// recordLastByte notes that the last byte of a request is about to be written.
func (j *checker) recordLastByte(id string, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[id].deadline = until
}

// recordClientLeft notes that a request's client closes its connection now.
func (j *checker) recordClientLeft(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[id].clientLeftAt = time.Now()
}

// recordAttempt notes a request that a node has read whole, with the time that it was told;
// ran says whether its effect runs, and delay for how long it may have waited.
func (j *checker) recordAttempt(node, id string, told time.Duration, ran bool, delay time.Duration) {
	now := time.Now().Add(-delay)
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.records[id]
	if c == nil {
		j.addViolationLocked(Body, "node %s got request %q, which no client sent", node, id)
		return
	}
	if left := max(c.deadline.Sub(now), 0); told > left+deadlineSlack+stallSlack+j.lag.slack() && !c.excused {
		j.addViolationLocked(Deadline, "%s: %v told, %v left", id, told, left)
	}
	if !c.clientLeftAt.IsZero() && now.Sub(c.clientLeftAt) > leftSlack+stallSlack+j.lag.slack() {
		j.addViolationLocked(Left, "%s began %v after its client had left", id, now.Sub(c.clientLeftAt))
	}
	for _, before := range c.attempts {
		switch {
		case !before.executed || c.class.idempotency == idempotent:
		case c.class.idempotency == notIdempotent:
			j.addViolationLocked(Duplicate, "%s ran at %s and at %s", id, before.node, node)
		case now.Sub(before.at) > c.class.dedupWindow+stallSlack+j.lag.slack():
			j.addViolationLocked(Duplicate, "%s ran again %v after the first", id, now.Sub(before.at))
		}
	}
	c.attempts = append(c.attempts, attempt{now, ran, node})
}

// recordResponse notes a request's final answer; excused says that it need not have come.
func (j *checker) recordResponse(id string, status int, body string, late time.Duration, excused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.records[id]
	c.excused = c.excused || excused
	if c.status != 0 {
		j.addViolationLocked(Duplicate, "%s was answered %d and %d", id, c.status, status)
	}
	c.status = status
	j.statusCounts[status]++
	ran := false
	for _, r := range c.attempts {
		ran = ran || r.executed
	}
	switch {
	case late > responseSlack+j.lag.slack() && !excused:
		j.addViolationLocked(Lost, "%s was answered %d %v after its time", id, status, late)
	case status == 200 && (body != id || !ran):
		j.addViolationLocked(Body, "%s got %q, ran: %v", id, body, ran)
	case (status == 503 || status == 429) && ran && c.class.idempotency == notIdempotent:
		j.addViolationLocked(Promise, "%s was refused, and has run", id)
	}
}

// recordNoResponse notes a request that got no answer.
func (j *checker) recordNoResponse(id string, why error, excused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[id].excused = j.records[id].excused || excused
	if !excused {
		j.addViolationLocked(Lost, "%s: %v", id, why)
	}
}

// requestBudget is how many requests a node may get within a window in which the settings
// allow it n (the operators' page, fourth rule).
func requestBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
