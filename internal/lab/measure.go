package lab

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"mothridge/internal/fleet"
)

// Measures contains the names of the measures of every run, in the order of a row's values. A submission is a request as
// its client sends it once; shares of submissions include the retries of clients.
var Measures = []string{
	"good",        // share of requests served within the latency objective, from their first submission on
	"worst10",     // share of requests served within the objective, in the worst ten consecutive windows
	"tenant",      // share of requests served within the objective, of the tenant with the lowest share
	"class",       // share of requests served within the objective, of the class with the lowest share
	"served",      // share of submissions
	"refused",     // share of submissions
	"failed",      // share of submissions
	"lost",        // share of submissions, lost because their sidecar's process ended
	"p50",         // quantile of the latency in ms of served requests, from their first submission on
	"p99",         // the same
	"p999",        // the same
	"attempts",    // attempts per request that reached a node
	"handshakes",  // handshakes of new connections per request
	"busy",        // mean utilisation of the nodes, as a share of their cores' time
	"uneven",      // standard deviation of the nodes' utilisation divided by its mean
	"chokes",      // overload collapses: transitions of nodes into the slow state
	"broken",      // violations of the rules
	"cut",         // 1 if the run was truncated, otherwise 0
	"good_in_end", // the share "good" in the last quarter of the windows
	"over_quota",  // requests served divided by the quota, for the tenant with the highest ratio; 0 if no tenant has a quota
	"under_quota", // requests served divided by the smaller of quota and demand, for the lowest ratio; 1 if no tenant has a quota
}

// MeasureIndex returns the index of a measure's value in a row.
func MeasureIndex(name string) (int, error) {
	i := slices.Index(Measures, name)
	if i < 0 {
		return 0, fmt.Errorf("unknown measure %q, want one of %q", name, Measures)
	}
	return i, nil
}

// Measure returns the values of all Measures of a run.
func Measure(r *fleet.Result) []float64 {
	ratio := func(n, total uint64) float64 { return float64(n) / float64(max(1, total)) }
	worstShare := func(tallies []fleet.Tally) float64 {
		worst := 1.0
		for i := range tallies {
			worst = min(worst, tallies[i].ObjectiveShare())
		}
		return worst
	}
	latencyMS := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1e3 }
	mean, deviation := stat.PopMeanStdDev(r.NodeUtilisation, nil)
	truncated := 0.0
	if r.Truncated != "" {
		truncated = 1
	}
	var lastQuarter fleet.Tally
	for _, w := range r.Windows[len(r.Windows)*3/4:] {
		lastQuarter.Requests, lastQuarter.MetObjective = lastQuarter.Requests+w.Requests, lastQuarter.MetObjective+w.MetObjective
	}
	overQuota, underQuota := 0.0, 1.0
	for i, t := range r.Tenants {
		if i < len(r.Quotas) && r.Quotas[i] > 0 {
			overQuota = max(overQuota, float64(t.Served)/r.Quotas[i])
			underQuota = min(underQuota, float64(t.Served)/max(1, min(r.Quotas[i], float64(t.Requests))))
		}
	}
	return []float64{
		r.ObjectiveShare(), r.WorstWindowShare(), worstShare(r.Tenants), worstShare(r.Classes),
		ratio(r.Served, r.Submissions), ratio(r.Rejected, r.Submissions), ratio(r.Failed, r.Submissions), ratio(r.Lost, r.Submissions),
		latencyMS(50), latencyMS(99), latencyMS(99.9),
		ratio(r.Attempts, r.Requests), ratio(r.Handshakes, r.Requests), mean, deviation / max(mean, 1e-9),
		float64(r.OverloadCollapses), float64(len(r.Violations)), truncated, lastQuarter.ObjectiveShare(), overQuota, underQuota,
	}
}

// Interval is the mean of N values, with a confidence interval that extends HalfWidth to either side.
type Interval struct {
	Mean, HalfWidth float64
	N               int
}

// Estimate returns the mean of values with the confidence interval of Student's t-distribution. The interval is infinite
// for fewer than two values and has no width if all values are equal.
func Estimate(values []float64, confidence float64) Interval {
	n := len(values)
	if n == 0 {
		return Interval{HalfWidth: math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	if n < 2 {
		return Interval{mean, math.Inf(1), n}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.5 + confidence/2)
	return Interval{mean, t * deviation / math.Sqrt(float64(n)), n}
}

// ExcludesZero reports whether 0 lies outside the interval, so that a difference is significant.
func (i Interval) ExcludesZero() bool { return math.Abs(i.Mean) > i.HalfWidth }

// String returns the mean and the half width, or a question mark if the interval is infinite.
func (i Interval) String() string {
	if math.IsInf(i.HalfWidth, 1) {
		return fmt.Sprintf("%.4g ± ?", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.HalfWidth)
}
