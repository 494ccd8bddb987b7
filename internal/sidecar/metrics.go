package sidecar

import (
	"context"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
)

// stateTimeout bounds how long a look at the figures may wait for the core or the merger.
const stateTimeout = 2 * time.Second

// newMetrics makes the metrics; nil where the operators' file has them off.
func (c *Config) newMetrics() *metrics.Metrics {
	if !c.Operator.Admin.Metrics {
		return nil
	}
	return metrics.New(c.Classes, core.ResultNames())
}

// observeLatency is what the core calls for each response; nil where there are no metrics.
func observeLatency(m *metrics.Metrics) func(int, core.Result, time.Duration) {
	if m == nil {
		return nil
	}
	return func(class int, result core.Result, took time.Duration) { m.Answered(class, int(result), took) }
}

// showState adds what is read from the core, the merged list and the log when somebody looks.
func (s *service) showState() {
	s.metrics.Add(s.showCore)
	if s.config.LogLost != nil {
		s.metrics.Add(func(show *metrics.Show) {
			show.Count("log_lines_lost_total", "Log lines that could not be written.", float64(s.config.LogLost()))
		})
	}
	if s.merger != nil {
		s.metrics.Add(s.showSources)
	}
}

// showCore shows the decisions' counters and what is in flight; nothing once the core has ended.
func (s *service) showCore(show *metrics.Show) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := s.core.State(ctx)
	if err != nil {
		return
	}
	show.Counters("decisions_total", "What the decision module did, as the README's counters.", "decision", state.Counters)
	show.Counters("violations_total", "Rules that were broken, as the run-time checks saw it.", "rule", s.core.Violations())
	show.Counters("withheld_total", "Attempts that a guard kept from beginning, by reason.", "reason", s.core.PreventedSends())
	for reason, n := range s.core.RejectionsByReason() {
		show.Count("given_up_total", "Requests refused or failed by the decision module, by reason.", float64(n), "reason", reason)
	}
	for result, n := range s.core.AttemptsByResult() {
		show.Count("attempts_total", "Attempts that ended, by how.", float64(n), "ending", result)
	}
	show.Gauge("requests", "Requests that are held.", float64(state.Requests))
	show.Gauge("nodes", "Nodes that are listed.", float64(state.Endpoints))
	for i := range state.SlotsFree {
		tenant := strconv.Itoa(i)
		if i < len(s.config.Tenants) {
			tenant = s.config.Tenants[i]
		}
		show.Gauge("slots_free", "Free slots of a tenant.", float64(state.SlotsFree[i]), "tenant", tenant)
		show.Gauge("queue_free", "Free places in a tenant's queue.", float64(state.QueueFree[i]), "tenant", tenant)
	}
}

// showSources shows how the sources of the endpoint list do.
func (s *service) showSources(show *metrics.Show) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	view, err := s.merger.View(ctx, "", 0)
	if err != nil {
		return
	}
	show.Gauge("nodes_ready", "Nodes that may be sent something.", float64(view.Ready))
	for _, source := range view.Sources {
		trusted := 1.0
		if source.Reason != "" {
			trusted = 0
		}
		show.Gauge("source_trusted", "Whether a source of the list is trusted.", trusted, "source", source.Name)
		show.Gauge("source_nodes", "Nodes that a source lists.", float64(source.Live), "source", source.Name)
		show.Gauge("source_held", "Nodes that a source lost with too many others, and that are held.", float64(source.Held), "source", source.Name)
		if source.LastResponseAt > 0 {
			age := view.Now - source.LastResponseAt
			show.Gauge("source_age_seconds", "Since a source's last news.", age.Seconds(), "source", source.Name)
		}
	}
}
