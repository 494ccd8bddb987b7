package metrics

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// What stands in names does not break the format, and comes back as it was.
func TestOddNamesReadBack(t *testing.T) {
	const odd = "a\"b\\c\nd{e=\"f\"} 1 \u2603"
	m := New([]string{odd}, []string{"served"})
	m.Answered(0, 0, 30*time.Millisecond)
	m.Add(func(s *Show) {
		s.Counters("events_total", "Events.", "event", struct{ RetryAfter, Taken uint64 }{3, 4}, "tenant", odd)
		s.Gauge("free", "Free.", -1.5)
		s.Gauge("free", "Free.", 7, "tenant", odd)
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	events := families["mothridge_events_total"].GetMetric()
	if len(events) != 2 || events[0].GetLabel()[0].GetValue() != odd || events[0].GetLabel()[1].GetValue() != "retry_after" ||
		events[0].GetCounter().GetValue() != 3 || events[1].GetCounter().GetValue() != 4 {
		t.Errorf("events %v", events)
	}
	if free := families["mothridge_free"].GetMetric(); len(free) != 2 || free[0].GetGauge().GetValue() != -1.5 || free[1].GetLabel()[0].GetValue() != odd {
		t.Errorf("free %v", free)
	}
	took := families[latency].GetMetric()
	if len(took) != 1 || took[0].GetHistogram().GetSampleCount() != 1 || took[0].GetHistogram().GetSampleSum() != 0.03 || took[0].GetLabel()[0].GetValue() != odd {
		t.Errorf("latency %v", took)
	}
}

func BenchmarkAnswered(b *testing.B) {
	m := New([]string{"a"}, []string{"served"})
	b.ReportAllocs()
	for range b.N {
		m.Answered(0, 0, 30*time.Millisecond)
	}
}
