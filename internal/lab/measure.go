package lab

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"mothridge/internal/fleet"
)

// Measures names what is taken from every run, in the order of a row's values.
var Measures = []string{
	"good",        // share of requests served within the aim of their first try
	"worst10",     // the same in the worst ten windows on end
	"tenant",      // and of the worst-served tenant
	"class",       // and of the worst-served class
	"served",      // share of tries
	"refused",     //
	"failed",      //
	"lost",        // with their sidecar
	"p50",         // ms from the first try to the answer, of requests served
	"p99",         //
	"p999",        //
	"attempts",    // that reached a node, for each request
	"handshakes",  // for each request
	"busy",        // share of the nodes' time, mean
	"uneven",      // standard deviation of it over the mean
	"chokes",      // nodes that went into the slow state
	"broken",      // rules
	"cut",         // 1 where the run was ended before its end
	"good_in_end", // as good, in the last quarter of the windows
	"over_quota",  // the most that a tenant was served, over its quota; 0 where none has one
	"under_quota", // the least, over its quota or what it asked for, whichever is less; 1 where none has one
}

// MeasureNumber is a measure's place in a row.
func MeasureNumber(name string) (int, error) {
	i := slices.Index(Measures, name)
	if i < 0 {
		return 0, fmt.Errorf("measure %q is not known; there are %q", name, Measures)
	}
	return i, nil
}

// Measure takes the measures of a run.
func Measure(r *fleet.Result) []float64 {
	per := func(n, of uint64) float64 { return float64(n) / float64(max(1, of)) }
	least := func(ts []fleet.Tally) float64 {
		worst := 1.0
		for i := range ts {
			worst = min(worst, ts[i].ObjectiveShare())
		}
		return worst
	}
	at := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1e3 }
	mean, spread := stat.PopMeanStdDev(r.NodeUtilisation, nil)
	cut := 0.0
	if r.Truncated != "" {
		cut = 1
	}
	var end fleet.Tally
	for _, w := range r.Windows[len(r.Windows)*3/4:] {
		end.Requests, end.MetObjective = end.Requests+w.Requests, end.MetObjective+w.MetObjective
	}
	over, under := 0.0, 1.0
	for i, t := range r.Tenants {
		if i < len(r.Quotas) && r.Quotas[i] > 0 {
			over = max(over, float64(t.Served)/r.Quotas[i])
			under = min(under, float64(t.Served)/max(1, min(r.Quotas[i], float64(t.Requests))))
		}
	}
	return []float64{
		r.ObjectiveShare(), r.WorstWindowShare(), least(r.Tenants), least(r.Classes),
		per(r.Served, r.Submissions), per(r.Rejected, r.Submissions), per(r.Failed, r.Submissions), per(r.Lost, r.Submissions), at(50), at(99), at(99.9),
		per(r.Attempts, r.Requests), per(r.Handshakes, r.Requests), mean, spread / max(mean, 1e-9), float64(r.OverloadCollapses), float64(len(r.Violations)), cut, end.ObjectiveShare(), over, under,
	}
}

// Interval is a mean with how far its confidence interval reaches to either side.
type Interval struct {
	Mean, Half float64
	N          int
}

// Estimate gives the mean of values with Student's interval; of fewer than two
// values nothing is known, of equal ones it has no width.
func Estimate(values []float64, confidence float64) Interval {
	n := len(values)
	if n == 0 {
		return Interval{Half: math.Inf(1)}
	}
	mean, sd := stat.MeanStdDev(values, nil)
	if n < 2 {
		return Interval{mean, math.Inf(1), n}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.5 + confidence/2)
	return Interval{mean, t * sd / math.Sqrt(float64(n)), n}
}

// Shows says whether an interval of differences excludes that there is none.
func (i Interval) Shows() bool { return math.Abs(i.Mean) > i.Half }

func (i Interval) String() string {
	if math.IsInf(i.Half, 1) {
		return fmt.Sprintf("%.4g ± ?", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.Half)
}
