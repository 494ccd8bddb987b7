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
	seed   = flag.Uint64("soak.seed", 1, "the soak's seed")
	length = flag.Duration("soak.length", 12*time.Second, "the soak's length")
)

// The short form of the soak: real processes, overlapping troubles, no broken rule.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mothridge")
	if out, err := exec.Command("go", "build", "-o", program, "mothridge/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Logf("seed %d for %v (-soak.seed, -soak.length)", *seed, *length)
	result, err := Run(Config{
		Program: program, Dir: t.TempDir(), Sidecars: 8, Nodes: 8, ClientsPerSidecar: 3, MeanPause: 150 * time.Millisecond,
		Duration: *length, SocketLimit: 256, Seed: *seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, answers %v, troubles %v", result.Requests, result.StatusCounts, result.FaultCounts)
	for _, v := range result.Violations {
		t.Error(v)
	}
	if result.StatusCounts[200] < result.Requests/2 {
		t.Errorf("%d of %d requests served", result.StatusCounts[200], result.Requests)
	}
}

// The judge sees each rule broken.
func TestCheckerReportsViolations(t *testing.T) {
	const id = "0-0-1"
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for _, tt := range []struct {
		rule  Rule
		class int
		play  func(*checker)
	}{
		{Duplicate, 2, func(j *checker) {
			j.recordAttempt("a", id, 0, true, 0)
			j.recordAttempt("b", id, 0, true, 0)
		}},
		{Duplicate, 1, func(j *checker) {
			j.recordAttempt("a", id, 0, true, 2*time.Second)
			j.recordAttempt("b", id, 0, true, 0)
		}},
		{Duplicate, 0, func(j *checker) {
			j.recordResponse(id, 503, "", 0, false)
			j.recordResponse(id, 503, "", 0, false)
		}},
		{Left, 0, func(j *checker) {
			j.records[id].clientLeftAt = ago(time.Second)
			j.recordAttempt("a", id, 0, true, 0)
		}},
		{Deadline, 0, func(j *checker) { j.recordAttempt("a", id, 3*time.Second, true, 0) }},
		{Lost, 0, func(j *checker) { j.recordResponse(id, 503, "", time.Second, false) }},
		{Lost, 0, func(j *checker) { j.recordNoResponse(id, errNoResponse, false) }},
		{Promise, 2, func(j *checker) {
			j.recordAttempt("a", id, 0, true, 0)
			j.recordResponse(id, 503, "", 0, false)
		}},
		{Body, 0, func(j *checker) { j.recordResponse(id, 200, "another's", 0, false) }},
	} {
		j := newChecker(time.Now())
		j.recordRequest(id, classes[tt.class], time.Now().Add(time.Second))
		tt.play(j)
		if len(j.violations) != 1 || j.violations[0].Rule != tt.rule {
			t.Errorf("%s: found %v", tt.rule, j.violations)
		}
	}
	if math.Abs(requestBudget(16)-31) > 1e-9 || math.Abs(requestBudget(100)-122) > 1e-9 {
		t.Error("the budget is not that of the operators' page")
	}
}
