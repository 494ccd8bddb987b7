package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/policy"
)

// Result is what became of a run.
type Result struct {
	Tally                                              // of all requests
	Submissions, Served, Rejected, Failed, Lost uint64 // tries of clients; lost are those whose sidecar ended
	Attempts                                    uint64 // that reached a node
	Handshakes                                  uint64
	OverloadCollapses                           uint64 // nodes that went into the slow state
	Events                                      uint64
	Latency                                     *hdrhistogram.Histogram // of requests served, from their first try on, µs
	Classes, Tenants                            []Tally
	Quotas                                      []float64 // requests that each tenant's quota lets through in the time
	Windows                                     []Window
	WindowLength                                time.Duration // of a window
	NodeServed                                  []uint64
	NodeUtilisation                             []float64   // share of its cores' time
	WindowUtilisation                           [][]float64 // the same by window and node, where it was observed
	Violations                                  []string    // rules, the first of them
	Truncated                                   string      // why the run was ended before its end
	Samples                                     []Sample
	Explanation                                 []ExplanationLine // of the request that was watched
}

// Tally counts requests, each over all tries of its client.
type Tally struct {
	Requests                uint64 // that came
	MetObjective            uint64 // served within the aim, from their first try on
	Served                  uint64 // whenever
	SubmissionsMetObjective uint64 // tries served within their aim, from their own beginning on
}

// Window counts what happened in a stretch of time.
type Window struct {
	Requests, MetObjective   uint64 // requests that came in it, and those of them that were good
	Served, Rejected, Failed uint64 // tries that ended in it
	Attempts                 uint64
	P50, P99                 time.Duration // of what was served in it
}

// Notable is a request that one may want explained.
type Sample struct {
	ID      policy.RequestID
	Outcome string
	Took    time.Duration
}

// Told is a line of what happened to a request.
type ExplanationLine struct {
	At   time.Duration
	Text string
}

const (
	maxViolations        = 20   // rules told
	maxExplanationLines  = 500  // lines of a request
	maxSamplesPerOutcome = 5    // of a kind
	maxWindows           = 3600 // more time makes them wider, not more
)

// Share is Good over First; 1 where nothing came.
func (t *Tally) ObjectiveShare() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.MetObjective) / float64(t.Requests)
}

// WorstWindow is the least share of good requests in ten windows on end (or all,
// where there are fewer).
func (r *Result) WorstWindowShare() float64 {
	worst, span := 1.0, min(10, len(r.Windows))
	for i := 0; i+span <= len(r.Windows); i++ {
		var t Tally
		for _, w := range r.Windows[i : i+span] {
			t.Requests, t.MetObjective = t.Requests+w.Requests, t.MetObjective+w.MetObjective
		}
		worst = min(worst, t.ObjectiveShare())
	}
	return worst
}

// observer fills the parts of a result that grow with time.
type recorder struct {
	*simulation
	windowLatency *hdrhistogram.Histogram // of this window
	lastBusy      []float64               // of each node, until this window
	window        int
}

func newRecorder(r *simulation) *recorder {
	c := &r.result
	c.Latency = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	c.Classes, c.Tenants = make([]Tally, len(r.scenario.Classes)), make([]Tally, max(1, len(r.scenario.Tenants)))
	for _, t := range r.scenario.Tenants {
		c.Quotas = append(c.Quotas, t.Quota*r.scenario.Duration.Seconds())
	}
	c.WindowLength = max(time.Second, r.scenario.Duration/maxWindows)
	c.Windows = make([]Window, int((r.scenario.Duration+c.WindowLength-1)/c.WindowLength))
	o := &recorder{simulation: r, windowLatency: hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 2), lastBusy: make([]float64, r.scenario.Nodes)}
	r.scheduleEvent(c.WindowLength, o, 0)
	return o
}

// act closes a window.
func (rec *recorder) handleEvent(eventKind) {
	if rec.window >= len(rec.result.Windows) {
		return
	}
	w := &rec.result.Windows[rec.window]
	w.P50 = time.Duration(rec.windowLatency.ValueAtQuantile(50)) * time.Microsecond
	w.P99 = time.Duration(rec.windowLatency.ValueAtQuantile(99)) * time.Microsecond
	rec.windowLatency.Reset()
	if rec.scenario.RecordUtilisation {
		row := make([]float64, len(rec.nodes))
		for i, n := range rec.nodes {
			n.advance()
			row[i] = (n.busyCoreSeconds - rec.lastBusy[i]) / rec.result.WindowLength.Seconds() / float64(n.params.Cores)
			rec.lastBusy[i] = n.busyCoreSeconds
		}
		rec.result.WindowUtilisation = append(rec.result.WindowUtilisation, row)
	}
	rec.window++
	rec.scheduleEvent(rec.result.WindowLength, rec, 0)
}

func (rec *recorder) sortSamples() {
	slices.SortStableFunc(rec.result.Samples, func(a, b Sample) int { return cmp.Compare(a.Outcome, b.Outcome) })
}

// at is the window of a time; the last one takes what comes after the end.
func (rec *recorder) windowAt(t time.Duration) *Window {
	return &rec.result.Windows[min(int(t/rec.result.WindowLength), len(rec.result.Windows)-1)]
}

// tallies are those that a request counts in.
func (rec *recorder) tallies(x *clientRequest) [3]*Tally {
	return [3]*Tally{&rec.result.Tally, &rec.result.Classes[x.class], &rec.result.Tenants[x.tenant]}
}

// came counts a request's first try.
func (rec *recorder) recordArrival(x *clientRequest) {
	for _, t := range rec.tallies(x) {
		t.Requests++
	}
	rec.windowAt(rec.now).Requests++
}

// served counts a good answer.
func (rec *recorder) recordServed(x *submission) {
	aim, took := rec.scenario.Classes[x.class].LatencyObjective, rec.now-x.arrivedAt
	rec.result.Served++
	rec.windowAt(rec.now).Served++
	rec.result.Latency.RecordValue(took.Microseconds())
	rec.windowLatency.RecordValue(min(took.Microseconds(), rec.windowLatency.HighestTrackableValue()))
	for _, t := range rec.tallies(x.clientRequest) {
		if rec.now-x.submittedAt <= aim {
			t.SubmissionsMetObjective++
		}
		t.Served++
		if took <= aim {
			t.MetObjective++
		}
	}
	if took <= aim {
		rec.windowAt(x.arrivedAt).MetObjective++
	} else {
		rec.recordSample(x, "served late", took)
	}
}

// notable keeps the first few requests of a kind, for 'explain'.
func (rec *recorder) recordSample(x *submission, what string, took time.Duration) {
	n := 0
	for _, y := range rec.result.Samples {
		if y.Outcome == what {
			n++
		}
	}
	if n < maxSamplesPerOutcome {
		rec.result.Samples = append(rec.result.Samples, Sample{x.id, what, took})
	}
}
