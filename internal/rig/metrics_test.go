package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
)

// failNotIdempotent is a script that fails the requests that are not idempotent and serves the others.
func failNotIdempotent(call peers.Call) peers.Response {
	if call.Class == NonIdempotent {
		return peers.Response{Action: peers.Error}
	}
	return peers.Response{}
}

// The metrics match the requests that were sent, with either protocol. The test guards against counters that miss
// requests or count them twice.
func TestMetricsMatchRequests(t *testing.T) {
	for _, pair := range sameProtocol {
		t.Run(pair.String(), func(t *testing.T) { testMetrics(t, pair) })
	}
}

func testMetrics(t *testing.T, pair pairing) {
	socket := filepath.Join(t.TempDir(), "s")
	rig := start(t, Options{
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, Slots: 50, Script: failNotIdempotent,
		ConfigureOperator: func(file *operator.File) { file.Admin = operator.Admin{Socket: socket, Metrics: true} },
	})
	client := startClient(t, rig)
	for i := range 30 {
		doRequest(t, client, Request([]string{Read, Keyed, NonIdempotent}[i%3], fmt.Sprint("m", i), Tenant(i)))
	}
	if got := client.Do(t.Context(), Request(Read, "wrong", "nobody")); got.Outcome != peers.InvalidRequest {
		t.Errorf("request of an unknown tenant: got %+v, want an invalid request", got)
	}
	families := scrape(t, socket)
	for _, want := range wantedMetrics(string(pair.front)) {
		if got := valueOf(families[want.family], want.labels); got != want.value {
			t.Errorf("%s%v: got %v, want %v", want.family, want.labels, got, want.value)
		}
	}
	dialled := map[string]string{"event": "dials", "protocol": string(pair.nodes)}
	if dials := valueOf(families["mothridge_transport_total"], dialled); dials < 1 {
		t.Errorf("got %v dials, want at least 1", dials)
	}
	if families["go_goroutines"] == nil {
		t.Error("got no metric go_goroutines, want the metrics of the process")
	}
}

// wantedMetric is an expected value of the metrics of a family that have all the labels.
type wantedMetric struct {
	family string
	labels map[string]string
	value  float64
}

// wantedMetrics returns the expected metrics after ten requests of each class and one invalid request.
func wantedMetrics(front string) []wantedMetric {
	return []wantedMetric{
		{"mothridge_request_seconds", map[string]string{"class": Read, "ending": "served"}, 10},
		{"mothridge_request_seconds", map[string]string{"class": Keyed, "ending": "served"}, 10},
		{"mothridge_request_seconds", map[string]string{"class": NonIdempotent, "ending": "failed"}, 10},
		{"mothridge_request_seconds", map[string]string{"class": NonIdempotent, "ending": "served"}, 0},
		{"mothridge_front_total", map[string]string{"event": "taken", "protocol": front}, 30},
		{"mothridge_front_total", map[string]string{"event": "rejected", "protocol": front}, 1},
		{"mothridge_decisions_total", map[string]string{"decision": "failed"}, 10},
		{"mothridge_decisions_total", map[string]string{"decision": "refused"}, 0},
		{"mothridge_slots_free", map[string]string{"tenant": "south"}, 11},
		{"mothridge_nodes", nil, 2},
		{"mothridge_requests", nil, 0},
	}
}

// scrape fetches and parses the metrics from the admin socket.
func scrape(t *testing.T, socket string) map[string]*dto.MetricFamily {
	t.Helper()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", socket)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	response, err := client.Get("http://mothridge/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("metrics query: got status %d, error %v; want status 200 and no error", response.StatusCode, err)
	}
	return families
}

// valueOf returns the sum of the metrics of a family that have all the labels. A histogram's value is its
// number of samples.
func valueOf(family *dto.MetricFamily, labels map[string]string) (sum float64) {
	for _, metric := range family.GetMetric() {
		matching := 0
		for _, label := range metric.GetLabel() {
			if value, wanted := labels[label.GetName()]; wanted && value == label.GetValue() {
				matching++
			}
		}
		if matching == len(labels) {
			count := float64(metric.GetHistogram().GetSampleCount())
			sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + count
		}
	}
	return sum
}
