package fleet

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/policy"
)

// Result is the result of a run.
type Result struct {
	// Tally of all requests.
	Tally
	// Submissions of clients, and how they ended; lost are those whose sidecar's process ended.
	Submissions, Served, Rejected, Failed, Lost uint64
	// Attempts that reached a node.
	Attempts uint64
	// Handshakes of new connections.
	Handshakes uint64
	// OverloadCollapses of all nodes.
	OverloadCollapses uint64
	// Events that were processed.
	Events uint64
	// Latency of served requests from their first submission on, in µs.
	Latency *hdrhistogram.Histogram
	// Classes and Tenants are the tallies by class and by tenant.
	Classes, Tenants []Tally
	// Quotas are the requests that each tenant's quota admits in the scenario's duration.
	Quotas []float64
	// Windows of WindowLength; what happens after the last one counts there.
	Windows []Window
	// WindowLength is 1 s, or more in a run of more than maxWindows seconds.
	WindowLength time.Duration
	// NodeServed are the requests that each node completed.
	NodeServed []uint64
	// NodeUtilisation is the share of its cores' time that each node was busy.
	NodeUtilisation []float64
	// WindowUtilisation is the same by window and node, if Scenario.RecordUtilisation is set.
	WindowUtilisation [][]float64
	// Violations of the rules, the first maxViolations of them.
	Violations []string
	// Truncated is why the run was ended before its end; empty: it was not.
	Truncated string
	// Samples of submissions to explain, by outcome.
	Samples []Sample
	// Explanation of Scenario.ExplainRequest.
	Explanation []ExplanationLine
}

// Tally counts requests, each with all its submissions.
type Tally struct {
	// Requests that arrived.
	Requests uint64
	// MetObjective are those served within the latency objective from their first submission on.
	MetObjective uint64
	// Served are those served at any time.
	Served uint64
	// SubmissionsMetObjective are the submissions served within the objective from their own start on.
	SubmissionsMetObjective uint64
}

// Window counts what happened in a part of the run.
type Window struct {
	// Requests that arrived in it, and those of them that met their latency objective.
	Requests, MetObjective uint64
	// Submissions that ended in it.
	Served, Rejected, Failed uint64
	// Attempts is not filled.
	Attempts uint64
	// P50 and P99 are quantiles of the latency of what was served in it.
	P50, P99 time.Duration
}

// Sample is a submission that a user may want explained.
type Sample struct {
	ID      policy.RequestID
	Outcome string
	Took    time.Duration // since the request's first submission
}

// ExplanationLine is an event of an explained request.
type ExplanationLine struct {
	At   time.Duration // since the start of the run
	Text string
}

// ObjectiveShare returns the share of requests that met their latency objective; 1 if there are none.
func (tally *Tally) ObjectiveShare() float64 {
	if tally.Requests == 0 {
		return 1
	}
	return float64(tally.MetObjective) / float64(tally.Requests)
}

// worstSpan is the number of windows of which WorstWindowShare takes the share.
const worstSpan = 10

// WorstWindowShare returns the least ObjectiveShare of ten windows in a row, or of all if there are fewer.
func (result *Result) WorstWindowShare() float64 {
	worst, span := 1.0, min(worstSpan, len(result.Windows))
	for i := 0; i+span <= len(result.Windows); i++ {
		var tally Tally
		for _, window := range result.Windows[i : i+span] {
			tally.Requests += window.Requests
			tally.MetObjective += window.MetObjective
		}
		worst = min(worst, tally.ObjectiveShare())
	}
	return worst
}
