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
// 0.15 s for a process that is held up, and 0.5 s for answers; scheduling is for a busy
// machine, where a stand-in may note late what it saw.
const (
	leftSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	heldUp        = 150 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
	scheduling    = 150 * time.Millisecond
	drainGrace    = 2 * time.Second
	owedIn        = 3 * time.Second
)

// Violation is one broken rule.
type Violation struct {
	Rule Rule
	At   time.Duration // since the soak's begin
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.At.Seconds(), v.Rule, v.What)
}

// call is what is known of one request.
type call struct {
	id      string
	class   class
	until   time.Time // its client's deadline
	left    time.Time // its client has left; zero: it has not
	excused bool      // its sidecar was killed or stopped meanwhile
	runs    []run
	answer  int
}

// run is one time that a request reached a node whole.
type run struct {
	at   time.Time
	ran  bool // the effect ran
	node string
}

// judge notes what clients and nodes see, and holds it against the rules.
type judge struct {
	begin time.Time
	lag   lagMeter

	mu         sync.Mutex
	calls      map[string]*call
	violations []Violation
	answers    map[int]int // by status
	requests   int
}

func newJudge(begin time.Time) *judge {
	return &judge{begin: begin, calls: make(map[string]*call), answers: make(map[int]int)}
}

func (j *judge) breaks(rule Rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaksLocked(rule, format, args...)
}

func (j *judge) breaksLocked(rule Rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, time.Since(j.begin), fmt.Sprintf(format, args...)})
}

// begins notes a request that is about to be sent.
func (j *judge) begins(id string, c class, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id] = &call{id: id, class: c, until: until}
	j.requests++
}

// sent notes that the last byte of a request is about to be written.
func (j *judge) sent(id string, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id].until = until
}

// leaves notes that a request's client closes its connection now.
func (j *judge) leaves(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id].left = time.Now()
}

// reached notes a request that a node has read whole, with the time that it was told;
// ran says whether its effect runs, and delay for how long it may have waited.
func (j *judge) reached(node, id string, told time.Duration, ran bool, delay time.Duration) {
	now := time.Now().Add(-delay)
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.calls[id]
	if c == nil {
		j.breaksLocked(Body, "node %s got request %q, which no client sent", node, id)
		return
	}
	if left := max(c.until.Sub(now), 0); told > left+deadlineSlack+heldUp+j.lag.slack() && !c.excused {
		j.breaksLocked(Deadline, "%s: %v told, %v left", id, told, left)
	}
	if !c.left.IsZero() && now.Sub(c.left) > leftSlack+heldUp+j.lag.slack() {
		j.breaksLocked(Left, "%s began %v after its client had left", id, now.Sub(c.left))
	}
	for _, before := range c.runs {
		switch {
		case !before.ran || c.class.effect == safe:
		case c.class.effect == unsafe:
			j.breaksLocked(Duplicate, "%s ran at %s and at %s", id, before.node, node)
		case now.Sub(before.at) > c.class.window+heldUp+j.lag.slack():
			j.breaksLocked(Duplicate, "%s ran again %v after the first", id, now.Sub(before.at))
		}
	}
	c.runs = append(c.runs, run{now, ran, node})
}

// answered notes a request's final answer; excused says that it need not have come.
func (j *judge) answered(id string, status int, body string, late time.Duration, excused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.calls[id]
	c.excused = c.excused || excused
	if c.answer != 0 {
		j.breaksLocked(Duplicate, "%s was answered %d and %d", id, c.answer, status)
	}
	c.answer = status
	j.answers[status]++
	ran := false
	for _, r := range c.runs {
		ran = ran || r.ran
	}
	switch {
	case late > answerSlack+j.lag.slack() && !excused:
		j.breaksLocked(Lost, "%s was answered %d %v after its time", id, status, late)
	case status == 200 && (body != id || !ran):
		j.breaksLocked(Body, "%s got %q, ran: %v", id, body, ran)
	case (status == 503 || status == 429) && ran && c.class.effect == unsafe:
		j.breaksLocked(Promise, "%s was refused, and has run", id)
	}
}

// lost notes a request that got no answer.
func (j *judge) lost(id string, why error, excused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id].excused = j.calls[id].excused || excused
	if !excused {
		j.breaksLocked(Lost, "%s: %v", id, why)
	}
}

// budget is how many requests a node may get within a window in which the settings
// allow it n (the operators' page, fourth rule).
func budget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
