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

// What the metrics say is what happened, over either protocol.
func TestMetricsTellWhatHappened(t *testing.T) {
	for p, pair := range pairings {
		if pair.front != pair.nodes {
			continue
		}
		t.Run(pairing(p), func(t *testing.T) {
			socket := filepath.Join(t.TempDir(), "s")
			r := start(t, Options{Front: pair.front, Nodes: pair.nodes, Slots: 50, Operators: func(f *operator.File) {
				f.Admin = operator.Admin{Socket: socket, Metrics: true}
			}, Script: func(c peers.Call) peers.Response {
				if c.Class == Once {
					return peers.Response{Action: peers.Error}
				}
				return peers.Response{}
			}})
			client := r.Client()
			defer client.Close()
			for i := range 30 {
				ask(t, client, Request([]string{Read, Entry, Once}[i%3], fmt.Sprint("m", i), Tenant(i)))
			}
			if got := client.Do(t.Context(), Request(Read, "wrong", "nobody")); got.Outcome != peers.InvalidRequest {
				t.Errorf("a wrong one: %+v", got)
			}
			families := scrape(t, socket)
			for _, want := range []struct {
				family string
				labels map[string]string
				n      float64
			}{
				{"mothridge_request_seconds", map[string]string{"class": Read, "ending": "served"}, 10},
				{"mothridge_request_seconds", map[string]string{"class": Entry, "ending": "served"}, 10},
				{"mothridge_request_seconds", map[string]string{"class": Once, "ending": "failed"}, 10},
				{"mothridge_request_seconds", map[string]string{"class": Once, "ending": "served"}, 0},
				{"mothridge_front_total", map[string]string{"event": "taken", "protocol": string(pair.front)}, 30},
				{"mothridge_front_total", map[string]string{"event": "rejected", "protocol": string(pair.front)}, 1},
				{"mothridge_decisions_total", map[string]string{"decision": "failed"}, 10},
				{"mothridge_decisions_total", map[string]string{"decision": "refused"}, 0},
				{"mothridge_slots_free", map[string]string{"tenant": "south"}, 11},
				{"mothridge_nodes", nil, 2},
				{"mothridge_requests", nil, 0},
			} {
				if got := valueOf(families[want.family], want.labels); got != want.n {
					t.Errorf("%s%v is %v, want %v", want.family, want.labels, got, want.n)
				}
			}
			if dials := valueOf(families["mothridge_transport_total"], map[string]string{"event": "dials", "protocol": string(pair.nodes)}); dials < 1 {
				t.Errorf("%v dials", dials)
			}
			if families["go_goroutines"] == nil {
				t.Error("nothing is told of the process")
			}
		})
	}
}

func scrape(t *testing.T, socket string) map[string]*dto.MetricFamily {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", socket)
	}}}
	resp, err := client.Get("http://mothridge/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	return families
}

// valueOf adds up the metrics of a family that have all the labels.
func valueOf(f *dto.MetricFamily, labels map[string]string) (sum float64) {
	for _, m := range f.GetMetric() {
		matching := 0
		for _, l := range m.GetLabel() {
			if v, asked := labels[l.GetName()]; asked && v == l.GetValue() {
				matching++
			}
		}
		if matching == len(labels) {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return sum
}
