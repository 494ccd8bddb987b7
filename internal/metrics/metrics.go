// Package metrics exports the metrics of a running sidecar in the Prometheus text format
// (version 0.0.4). It is off unless the operators' file turns it on. It records only the latency
// of responses itself; all other values are read at each scrape.
//
// The package uses the client library of VictoriaMetrics instead of Prometheus' own. Prometheus'
// library costs a sidecar 1.8 MB of its 32 MB even when it is linked in but not used, because its
// protocol buffers set up data at start-up. The library of VictoriaMetrics has no measurable cost.
package metrics

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mothridge/internal/counters"
)

// latencyName is the name of the latency histogram.
const latencyName = "mothridge_request_seconds"

// latencyBuckets are the upper bounds of the latency histogram in seconds, from the response of a
// fast upstream to the longest time that a request may take.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Metrics holds a sidecar's metrics and serves them over HTTP. It is safe for concurrent use.
type Metrics struct {
	set       *metrics.Set
	latencies [][]*metrics.PrometheusHistogram // latencies by class number and result number

	mu         sync.Mutex
	collectors []Collector
}

// New returns Metrics for requests of the given classes and results. Both are the names by number.
func New(classes, results []string) *Metrics {
	m := &Metrics{set: metrics.NewSet(), latencies: make([][]*metrics.PrometheusHistogram, len(classes))}
	for i, class := range classes {
		for _, result := range results {
			name := latencyName + formatLabels([]string{"class", class, "ending", result})
			m.latencies[i] = append(m.latencies[i], m.set.GetOrCreatePrometheusHistogramExt(name, latencyBuckets))
		}
	}
	return m
}

// ObserveLatency records the latency of a response. The class and the result are indexes of the
// names given to New. It may be called concurrently and does not block.
func (m *Metrics) ObserveLatency(class, result int, duration time.Duration) {
	m.latencies[class][result].Update(duration.Seconds())
}

// Collector adds its values to one scrape. It is called on the goroutine of the scrape.
type Collector func(*Scrape)

// Add registers a collector for all later scrapes.
func (m *Metrics) Add(c Collector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collectors = append(m.collectors, c)
}

// Scrape holds the values of one scrape. It is not safe for concurrent use.
type Scrape struct {
	order    []string
	families map[string]*bytes.Buffer
}

// Counter adds a sample of a counter, a value that only grows. The labels are pairs of a name and a
// value.
func (s *Scrape) Counter(name, help string, n float64, labels ...string) {
	s.add("counter", name, help, n, labels)
}

// Gauge adds a sample of a gauge, a value that can increase and decrease. The labels are pairs of
// a name and a value.
func (s *Scrape) Gauge(name, help string, n float64, labels ...string) {
	s.add("gauge", name, help, n, labels)
}

// Counters adds one counter sample for each uint64 field of the struct counts. label is the
// name of the label that contains the name of the field, see counters.Each.
func (s *Scrape) Counters(name, help, label string, counts any, labels ...string) {
	counters.Each(counts, func(event string, n uint64) {
		s.Counter(name, help, float64(n), append(labels[:len(labels):len(labels)], label, event)...)
	})
}

// add adds a sample to its family, with HELP and TYPE lines before the family's first sample.
func (s *Scrape) add(metricType, name, help string, value float64, pairs []string) {
	family := s.families[name]
	if family == nil {
		family = new(bytes.Buffer)
		fmt.Fprintf(family, "# HELP mothridge_%s %s\n# TYPE mothridge_%[1]s %[3]s\n", name, help, metricType)
		s.families[name] = family
		s.order = append(s.order, name)
	}
	fmt.Fprintf(family, "mothridge_%s%s %s\n", name, formatLabels(pairs), strconv.FormatFloat(value, 'g', -1, 64))
}

// labelEscaper escapes a label's value as the text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels formats pairs of a name and a value as the label set of a sample.
func formatLabels(pairs []string) string {
	if len(pairs) == 0 {
		return ""
	}
	var b strings.Builder
	separator := "{"
	for i := 0; i+1 < len(pairs); i += 2 {
		b.WriteString(separator)
		separator = ","
		b.WriteString(pairs[i] + `="` + labelEscaper.Replace(pairs[i+1]) + `"`)
	}
	return b.String() + "}"
}

// ServeHTTP responds with all metrics.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	collectors := m.collectors
	m.mu.Unlock()
	scrape := &Scrape{families: make(map[string]*bytes.Buffer)}
	for _, collector := range collectors {
		collector(scrape)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	for _, name := range scrape.order {
		if _, err := w.Write(scrape.families[name].Bytes()); err != nil {
			return // the client has disconnected
		}
	}
	fmt.Fprintf(w, "# HELP %s Time from the acceptance of a request to its response.\n# TYPE %[1]s histogram\n", latencyName)
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
