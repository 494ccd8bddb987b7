package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxViolations        = 20   // violations reported with their texts
	maxExplanationLines  = 500  // lines in the explanation of a request
	maxSamplesPerOutcome = 5    // samples of each outcome in a result
	maxWindows           = 3600 // longer runs have longer windows

	maxLatency             = time.Hour   // largest latency in the histogram of a run
	maxWindowLatency       = time.Minute // largest latency in the histogram of a window
	latencyDigits          = 3           // significant decimal digits in the histogram of a run
	windowLatencyDigits    = 2           // significant decimal digits in the histogram of a window
	minWindowLatencyMicros = 10
	medianPercentile       = 50
	tailPercentile         = 99
	minWindowLength        = time.Second
)

// recorder records the parts of a result that depend on time: counts of events, latencies and windows.
type recorder struct {
	*simulation
	windowLatency     *hdrhistogram.Histogram // latencies in the current window, in µs
	busyAtWindowStart []float64               // busyCoreSeconds of each node at the start of the current window
	window            int                     // index of the current window
}

func newRecorder(sim *simulation) *recorder {
	result, duration := &sim.result, sim.scenario.Duration
	result.Latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	result.Classes = make([]Tally, len(sim.scenario.Classes))
	result.Tenants = make([]Tally, sim.scenario.tenantCount())
	for _, tenant := range sim.scenario.Tenants {
		result.Quotas = append(result.Quotas, tenant.Quota*duration.Seconds())
	}
	result.WindowLength = max(minWindowLength, duration/maxWindows)
	result.Windows = make([]Window, int((duration+result.WindowLength-1)/result.WindowLength))
	created := &recorder{
		simulation:        sim,
		windowLatency:     hdrhistogram.New(minWindowLatencyMicros, maxWindowLatency.Microseconds(), windowLatencyDigits),
		busyAtWindowStart: make([]float64, sim.scenario.Nodes),
	}
	sim.scheduleEvent(result.WindowLength, created, onlyEvent)
	return created
}

// handleEvent ends the current window.
func (recorder *recorder) handleEvent(eventKind) {
	if recorder.window >= len(recorder.result.Windows) {
		return
	}
	window := &recorder.result.Windows[recorder.window]
	window.P50 = time.Duration(recorder.windowLatency.ValueAtQuantile(medianPercentile)) * time.Microsecond
	window.P99 = time.Duration(recorder.windowLatency.ValueAtQuantile(tailPercentile)) * time.Microsecond
	recorder.windowLatency.Reset()
	if recorder.scenario.RecordUtilisation {
		recorder.result.WindowUtilisation = append(recorder.result.WindowUtilisation, recorder.windowUtilisation())
	}
	recorder.window++
	recorder.scheduleEvent(recorder.result.WindowLength, recorder, onlyEvent)
}

// windowUtilisation returns each node's utilisation since the last call.
func (recorder *recorder) windowUtilisation() []float64 {
	utilisation := make([]float64, len(recorder.nodes))
	for i, node := range recorder.nodes {
		node.advance()
		busy := node.busyCoreSeconds - recorder.busyAtWindowStart[i]
		utilisation[i] = busy / recorder.result.WindowLength.Seconds() / float64(node.params.Cores)
		recorder.busyAtWindowStart[i] = node.busyCoreSeconds
	}
	return utilisation
}

// windowAt returns the window of the given time. Times after the end belong to the last window.
func (recorder *recorder) windowAt(at time.Duration) *Window {
	last := len(recorder.result.Windows) - 1
	return &recorder.result.Windows[min(int(at/recorder.result.WindowLength), last)]
}

// talliesOf returns the tallies that count a request: of all requests, of its class and of its tenant.
func (recorder *recorder) talliesOf(request *clientRequest) [3]*Tally {
	result := &recorder.result
	return [3]*Tally{&result.Tally, &result.Classes[request.class], &result.Tenants[request.tenant]}
}

// recordArrival counts a new request.
func (recorder *recorder) recordArrival(request *clientRequest) {
	for _, tally := range recorder.talliesOf(request) {
		tally.Requests++
	}
	recorder.windowAt(recorder.now).Requests++
}

// recordRejection counts a rejected submission.
func (recorder *recorder) recordRejection() {
	recorder.result.Rejected++
	recorder.windowAt(recorder.now).Rejected++
}

// recordFailure counts a failed submission.
func (recorder *recorder) recordFailure() {
	recorder.result.Failed++
	recorder.windowAt(recorder.now).Failed++
}

// recordServed counts a served submission, which completes its request.
func (recorder *recorder) recordServed(submission *submission) {
	now := recorder.now
	objective, latency := recorder.scenario.Classes[submission.class].LatencyObjective, now-submission.arrivedAt
	recorder.result.Served++
	recorder.windowAt(now).Served++
	recorder.recordLatency(latency)
	for _, tally := range recorder.talliesOf(submission.clientRequest) {
		tally.Served++
		if now-submission.submittedAt <= objective {
			tally.SubmissionsMetObjective++
		}
		if latency <= objective {
			tally.MetObjective++
		}
	}
	if latency <= objective {
		recorder.windowAt(submission.arrivedAt).MetObjective++
	} else {
		recorder.recordSample(submission, "served late", latency)
	}
}

func (recorder *recorder) recordLatency(latency time.Duration) {
	micros := latency.Microseconds()
	// RecordValue returns an error if the value is out of the histogram's range. Only a deadline above maxLatency can
	// lead to such a value.
	_ = recorder.result.Latency.RecordValue(micros)
	_ = recorder.windowLatency.RecordValue(min(micros, recorder.windowLatency.HighestTrackableValue()))
}

// recordSample keeps the first maxSamplesPerOutcome submissions of an outcome as samples to explain. Recorded digests
// include the outcomes.
func (recorder *recorder) recordSample(submission *submission, outcome string, took time.Duration) {
	count := 0
	for _, sample := range recorder.result.Samples {
		if sample.Outcome == outcome {
			count++
		}
	}
	if count < maxSamplesPerOutcome {
		recorder.result.Samples = append(recorder.result.Samples, Sample{submission.id, outcome, took})
	}
}

// sortSamples sorts the samples by outcome.
func (recorder *recorder) sortSamples() {
	slices.SortStableFunc(recorder.result.Samples, func(a, b Sample) int { return cmp.Compare(a.Outcome, b.Outcome) })
}
