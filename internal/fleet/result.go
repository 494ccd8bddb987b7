package fleet

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/policy"
)

// Result is the result of a run.
type Result struct {
	// Tally counts all requests.
	Tally
	// Submissions is the number of submissions of all clients; Served, Rejected, Failed and Lost count how they ended.
	// A submission is lost if the process of its sidecar ends.
	Submissions, Served, Rejected, Failed, Lost uint64
	// Attempts is the number of attempts that reached a node.
	Attempts uint64
	// Handshakes is the number of handshakes of new connections.
	Handshakes uint64
	// OverloadCollapses is the number of overload collapses of all nodes.
	OverloadCollapses uint64
	// Events is the number of simulation events that were processed.
	Events uint64
	// Latency is a histogram of the latency of served requests from their first submission on, in µs.
	Latency *hdrhistogram.Histogram
	// Classes and Tenants are the tallies by class and by tenant.
	Classes, Tenants []Tally
	// Quotas are the numbers of requests that the tenants' quotas admit in the scenario's duration.
	Quotas []float64
	// Windows each cover WindowLength. Events after the end of the last window count in the last window.
	Windows []Window
	// WindowLength is 1 s, or more in a run of more than maxWindows seconds.
	WindowLength time.Duration
	// NodeServed is the number of jobs that each node completed, handshakes included.
	NodeServed []uint64
	// NodeUtilisation is the share of the time in which the cores of each node were busy.
	NodeUtilisation []float64
	// WindowUtilisation is the utilisation by window and node. It is empty unless Scenario.RecordUtilisation is set.
	WindowUtilisation [][]float64
	// Violations describes the first maxViolations violations of the rules.
	Violations []string
	// Truncated is the reason why the run was ended early; empty: the run is complete.
	Truncated string
	// Samples are submissions that a user may want explained, in order of outcome.
	Samples []Sample
	// Explanation contains the events of Scenario.ExplainRequest.
	Explanation []ExplanationLine
}

// Tally counts requests. A request with several submissions counts once.
type Tally struct {
	// Requests is the number of requests that arrived.
	Requests uint64
	// MetObjective is the number of requests served within the latency objective, from their first submission on.
	MetObjective uint64
	// Served is the number of requests served at any time.
	Served uint64
	// SubmissionsMetObjective is the number of submissions served within the objective, from their own start on.
	SubmissionsMetObjective uint64
}

// Window counts the events in a part of the run.
type Window struct {
	// Requests counts the requests that arrived in the window, MetObjective those of them that met their latency
	// objective.
	Requests, MetObjective uint64
	// Served, Rejected and Failed count the submissions that ended in the window.
	Served, Rejected, Failed uint64
	// Attempts is not recorded and always 0.
	Attempts uint64
	// P50 and P99 are quantiles of the latency of the requests served in the window.
	P50, P99 time.Duration
}

// Sample is a submission that a user may want explained.
type Sample struct {
	ID      policy.RequestID
	Outcome string
	Latency time.Duration // since the request's first submission
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

// worstShareWindows is the number of consecutive windows for which WorstWindowShare computes an ObjectiveShare.
const worstShareWindows = 10

// WorstWindowShare returns the lowest ObjectiveShare of ten consecutive windows, or of all windows if there are fewer.
func (result *Result) WorstWindowShare() float64 {
	worst, span := 1.0, min(worstShareWindows, len(result.Windows))
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
