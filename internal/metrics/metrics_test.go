package metrics

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names come from configuration and may contain any character. A label value that is not escaped
// would break the text format; a parser must read each name back unchanged.
func TestServeHTTP_EscapesLabelValues(t *testing.T) {
	const special = "a\"b\\c\nd{e=\"f\"} 1 \u2603"
	m := New([]string{special}, []string{"served"})
	m.ObserveLatency(0, 0, 30*time.Millisecond)
	m.Add(func(s *Scrape) {
		s.Counters("events_total", "Events.", "event", struct{ RetryAfter, Taken uint64 }{3, 4}, "tenant", special)
		s.Gauge("free", "Free.", -1.5)
		s.Gauge("free", "Free.", 7, "tenant", special)
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	events := families["mothridge_events_total"].GetMetric()
	if len(events) != 2 || events[0].GetLabel()[0].GetValue() != special || events[0].GetLabel()[1].GetValue() != "retry_after" ||
		events[0].GetCounter().GetValue() != 3 || events[1].GetCounter().GetValue() != 4 {
		t.Errorf("events_total: got %v, want retry_after 3 and taken 4", events)
	}
	if free := families["mothridge_free"].GetMetric(); len(free) != 2 || free[0].GetGauge().GetValue() != -1.5 || free[1].GetLabel()[0].GetValue() != special {
		t.Errorf("free: got %v, want -1.5 without a tenant, and 7", free)
	}
	latencies := families[latencyName].GetMetric()
	if len(latencies) != 1 || latencies[0].GetHistogram().GetSampleCount() != 1 || latencies[0].GetHistogram().GetSampleSum() != 0.03 || latencies[0].GetLabel()[0].GetValue() != special {
		t.Errorf("latency: got %v, want one response of 0.03 s", latencies)
	}
}

func BenchmarkAnswered(b *testing.B) {
	m := New([]string{"a"}, []string{"served"})
	b.ReportAllocs()
	for range b.N {
		m.ObserveLatency(0, 0, 30*time.Millisecond)
	}
}
