// Package metrics shows a running sidecar's figures in the Prometheus text
// format (version 0.0.4). It is off unless the operators' file turns it on, and
// counts nothing by itself but how long responses take: the rest is read at each scrape.
//
// The library is VictoriaMetrics' rather than Prometheus' own: linked in and not
// used, that one costs a sidecar 1.8 MB of its 32, through what its protocol
// buffers set up at the start; this one costs nothing that shows.
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

const latency = "mothridge_request_seconds"

// buckets are upper bounds in seconds, from the response of a fast upstream to the
// longest time that a request may take.
var buckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Metrics are a sidecar's figures.
type Metrics struct {
	set     *metrics.Set
	answers [][]*metrics.PrometheusHistogram // by class and ending

	mu      sync.Mutex
	sources []Source
}

// New makes Metrics for requests of classes that end with some result, each by number.
func New(classes, endings []string) *Metrics {
	m := &Metrics{set: metrics.NewSet(), answers: make([][]*metrics.PrometheusHistogram, len(classes))}
	for i, class := range classes {
		for _, ending := range endings {
			name := latency + labels([]string{"class", class, "ending", ending})
			m.answers[i] = append(m.answers[i], m.set.GetOrCreatePrometheusHistogramExt(name, buckets))
		}
	}
	return m
}

// Answered records a request's response. It may be called concurrently and does not block.
func (m *Metrics) Answered(class, ending int, took time.Duration) {
	m.answers[class][ending].Update(took.Seconds())
}

// Source adds its figures to one scrape. It is called on the goroutine of the scrape.
type Source func(*Show)

// Add adds a source.
func (m *Metrics) Add(s Source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources = append(m.sources, s)
}

// Show collects the figures of one scrape.
type Show struct {
	order    []string
	families map[string]*bytes.Buffer
}

// Count shows a number that only grows; labels are pairs of a name and a value.
func (s *Show) Count(name, help string, n float64, labels ...string) {
	s.show("counter", name, help, n, labels)
}

// Gauge shows a number that goes up and down.
func (s *Show) Gauge(name, help string, n float64, labels ...string) {
	s.show("gauge", name, help, n, labels)
}

// Counters shows each count of a struct, distinguished by the label by.
func (s *Show) Counters(name, help, by string, counts any, labels ...string) {
	counters.Each(counts, func(event string, n uint64) {
		s.Count(name, help, float64(n), append(labels[:len(labels):len(labels)], by, event)...)
	})
}

func (s *Show) show(kind, name, help string, n float64, pairs []string) {
	b := s.families[name]
	if b == nil {
		b = new(bytes.Buffer)
		fmt.Fprintf(b, "# HELP mothridge_%s %s\n# TYPE mothridge_%[1]s %[3]s\n", name, help, kind)
		s.families[name] = b
		s.order = append(s.order, name)
	}
	fmt.Fprintf(b, "mothridge_%s%s %s\n", name, labels(pairs), strconv.FormatFloat(n, 'g', -1, 64))
}

// escape escapes a label's value as the text format wants it.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func labels(pairs []string) string {
	if len(pairs) == 0 {
		return ""
	}
	var b strings.Builder
	separator := "{"
	for i := 0; i+1 < len(pairs); i += 2 {
		b.WriteString(separator)
		separator = ","
		b.WriteString(pairs[i] + `="` + escape.Replace(pairs[i+1]) + `"`)
	}
	return b.String() + "}"
}

// ServeHTTP answers with all figures.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	sources := m.sources
	m.mu.Unlock()
	s := &Show{families: make(map[string]*bytes.Buffer)}
	for _, source := range sources {
		source(s)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	for _, name := range s.order {
		if _, err := w.Write(s.families[name].Bytes()); err != nil {
			return // the client has disconnected
		}
	}
	fmt.Fprintf(w, "# HELP %s From when a request was taken to its final answer.\n# TYPE %[1]s histogram\n", latency)
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
