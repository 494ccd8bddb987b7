package soak

import (
	"flag"
	"math"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seed   = flag.Uint64("soak.seed", 1, "seed of the soak")
	length = flag.Duration("soak.length", 12*time.Second, "how long the soak lasts")
)

// TestSoak runs a short soak: real sidecar processes must violate no invariant under overlapping faults,
// and at least half of all requests must get status 200.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mothridge")
	if out, err := exec.Command("go", "build", "-o", program, "mothridge/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v\n%s", err, out)
	}
	t.Logf("seed %d for %v (-soak.seed, -soak.length)", *seed, *length)
	result, err := Run(Config{
		Program: program, Dir: t.TempDir(), Sidecars: 8, Nodes: 8, ClientsPerSidecar: 3, MeanPause: 150 * time.Millisecond,
		Length: *length, SocketLimit: 256, Seed: *seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, responses by status %v, faults %v", result.Requests, result.StatusCounts, result.FaultCounts)
	for _, v := range result.Violations {
		t.Error(v)
	}
	if result.StatusCounts[200] < result.Requests/2 {
		t.Errorf("got status 200 for %d of %d requests, want at least half", result.StatusCounts[200], result.Requests)
	}
}

// TestCheckerReportsViolations guards against a checker that overlooks a violation: each case violates one
// invariant of requests and responses, and the checker must report exactly that one.
func TestCheckerReportsViolations(t *testing.T) {
	const id = "0-0-1"
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for _, tt := range []struct {
		rule    Rule
		class   int // index into classes
		violate func(*checker)
	}{
		{Duplicate, 2, func(c *checker) {
			c.recordAttempt("a", id, 0, true, 0, "")
			c.recordAttempt("b", id, 0, true, 0, "")
		}},
		{Duplicate, 1, func(c *checker) {
			c.recordAttempt("a", id, 0, true, 0, "")
			c.records[id].attempts[0].readAt = ago(2 * time.Second)
			c.recordAttempt("b", id, 0, true, 0, "")
		}},
		{Duplicate, 0, func(c *checker) {
			c.recordResponse(id, 503, "", 0, false)
			c.recordResponse(id, 503, "", 0, false)
		}},
		{SentAfterDisconnect, 0, func(c *checker) {
			c.records[id].clientDisconnectedAt = ago(time.Second)
			c.recordAttempt("a", id, 0, true, 0, "")
		}},
		{Deadline, 0, func(c *checker) { c.recordAttempt("a", id, 3*time.Second, true, 0, "") }},
		{Lost, 0, func(c *checker) { c.recordResponse(id, 503, "", time.Second, false) }},
		{Lost, 0, func(c *checker) { c.recordNoResponse(id, errNoResponse, false) }},
		{UnsafeRejection, 2, func(c *checker) {
			c.recordAttempt("a", id, 0, true, 0, "")
			c.recordResponse(id, 503, "", 0, false)
		}},
		{Body, 0, func(c *checker) { c.recordResponse(id, 200, "another's", 0, false) }},
	} {
		c := newChecker(time.Now())
		c.recordRequest(id, classes[tt.class], time.Now().Add(time.Second))
		tt.violate(c)
		if len(c.violations) != 1 || c.violations[0].Rule != tt.rule {
			t.Errorf("rule %s: got violations %v, want exactly one, of this rule", tt.rule, c.violations)
		}
	}
	if math.Abs(requestBudget(16)-31) > 1e-9 || math.Abs(requestBudget(100)-122) > 1e-9 {
		t.Error("requestBudget: got another budget for 16 or 100 allowed requests, want 31 and 122, as on the operators' page")
	}
}
