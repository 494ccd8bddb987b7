package sidecar

import (
	"context"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
)

// stateTimeout limits how long a scrape waits for the state of the core, and again for the
// state of the merger.
const stateTimeout = 2 * time.Second

// newMetrics returns the metrics, or nil unless the operators' file turns them on.
func (c *Config) newMetrics() *metrics.Metrics {
	if !c.Operator.Admin.Metrics {
		return nil
	}
	return metrics.New(c.Classes, core.ResultNames())
}

// observeLatency returns the function that the core calls for each response, or nil if metrics are
// off.
func observeLatency(m *metrics.Metrics) func(int, core.Result, time.Duration) {
	if m == nil {
		return nil
	}
	return func(class int, result core.Result, duration time.Duration) {
		m.ObserveLatency(class, int(result), duration)
	}
}

// addStateMetrics adds the metrics that are read from the core, the merger and the log at each scrape.
func (s *service) addStateMetrics() {
	s.metrics.Add(s.collectCore)
	if s.config.LostLogLines != nil {
		s.metrics.Add(func(scrape *metrics.Scrape) {
			scrape.Counter("log_lines_lost_total", "Log lines lost because they could not be written.", float64(s.config.LostLogLines()))
		})
	}
	if s.merger != nil {
		s.metrics.Add(s.collectSources)
	}
}

// collectCore adds the counters of the decisions and the state of the core to a scrape. It adds nothing
// after the core has stopped or if the core does not respond within stateTimeout.
func (s *service) collectCore(scrape *metrics.Scrape) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := s.core.State(ctx)
	if err != nil {
		return
	}
	scrape.Counters("decisions_total", "Decisions of the decision module, as described in the README.", "decision", state.Counters)
	scrape.Counters("violations_total", "Violations of rules that the run-time checks detected, by rule.", "rule", s.core.Violations())
	scrape.Counters("withheld_total", "Attempts that the guard prevented, by reason.", "reason", s.core.PreventedSends())
	for reason, n := range s.core.RejectionsByReason() {
		scrape.Counter("given_up_total", "Requests rejected or failed by the decision module, by reason.", float64(n), "reason", reason)
	}
	for result, n := range s.core.AttemptsByResult() {
		scrape.Counter("attempts_total", "Attempts that ended, by result.", float64(n), "ending", result)
	}
	scrape.Gauge("requests", "Requests being handled.", float64(state.Requests))
	scrape.Gauge("nodes", "Endpoints in the endpoint list.", float64(state.Endpoints))
	for i := range state.SlotsFree {
		tenant := strconv.Itoa(i)
		if i < len(s.config.Tenants) {
			tenant = s.config.Tenants[i]
		}
		scrape.Gauge("slots_free", "Free slots of a tenant.", float64(state.SlotsFree[i]), "tenant", tenant)
		scrape.Gauge("queue_free", "Free places in the queue of a tenant.", float64(state.QueueFree[i]), "tenant", tenant)
	}
}

// collectSources adds the state of each source of the endpoint list to a scrape.
func (s *service) collectSources(scrape *metrics.Scrape) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	view, err := s.merger.View(ctx, "", 0)
	if err != nil {
		return
	}
	scrape.Gauge("nodes_ready", "Endpoints that may get requests.", float64(view.Ready))
	for _, source := range view.Sources {
		trusted := 1.0
		if source.Reason != "" {
			trusted = 0
		}
		scrape.Gauge("source_trusted", "Whether a source of the endpoint list is trusted (1) or not (0).", trusted, "source", source.Name)
		scrape.Gauge("source_nodes", "Endpoints in the list of a source.", float64(source.Live), "source", source.Name)
		scrape.Gauge("source_held", "Endpoints kept although a source lost them, as it lost too many at once.", float64(source.Held), "source", source.Name)
		if source.LastResponseAt > 0 {
			age := view.Now - source.LastResponseAt
			scrape.Gauge("source_age_seconds", "Seconds since the last response of a source.", age.Seconds(), "source", source.Name)
		}
	}
}
