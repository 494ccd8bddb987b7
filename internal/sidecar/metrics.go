package sidecar

import (
	"context"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
	"mothridge/internal/registry/merge"
)

// lookIn bounds how long a look at the figures may wait for the core or the merger.
const lookIn = 2 * time.Second

// measure makes the metrics, if the operators' file asks for them.
func (c *Config) measure() *metrics.Metrics {
	if !c.Operator.Admin.Metrics {
		return nil
	}
	return metrics.New(c.Classes, core.ResultNames())
}

// answered is what the core tells of each answer; nil where nobody asks.
func answered(m *metrics.Metrics) func(int, core.Result, time.Duration) {
	if m == nil {
		return nil
	}
	return func(class int, v core.Result, took time.Duration) { m.Answered(class, int(v), took) }
}

// showState shows how the core and the merged list stand, where they are.
func (c *Config) showState(m *metrics.Metrics, k *core.Core, lists *merge.Merger) {
	m.Add(func(s *metrics.Show) {
		ctx, cancel := context.WithTimeout(context.Background(), lookIn)
		defer cancel()
		state, err := k.State(ctx)
		if err != nil {
			return // it is ending
		}
		s.Counters("decisions_total", "What the decision module did, as the README's counters.", "decision", state.Counters)
		s.Counters("violations_total", "Rules that were broken, as the run-time checks saw it.", "rule", k.Violations())
		s.Counters("withheld_total", "Attempts that a guard kept from beginning, by reason.", "reason", k.PreventedSends())
		for reason, n := range k.RejectionsByReason() {
			s.Count("given_up_total", "Requests refused or failed by the decision module, by reason.", float64(n), "reason", reason)
		}
		for ending, n := range k.AttemptsByResult() {
			s.Count("attempts_total", "Attempts that ended, by how.", float64(n), "ending", ending)
		}
		s.Gauge("requests", "Requests that are held.", float64(state.Requests))
		s.Gauge("nodes", "Nodes that are listed.", float64(state.Endpoints))
		for i := range state.SlotsFree {
			tenant := strconv.Itoa(i)
			if i < len(c.Tenants) {
				tenant = c.Tenants[i]
			}
			s.Gauge("slots_free", "Free slots of a tenant.", float64(state.SlotsFree[i]), "tenant", tenant)
			s.Gauge("queue_free", "Free places in a tenant's queue.", float64(state.QueueFree[i]), "tenant", tenant)
		}
	})
	if c.LogLost != nil {
		m.Add(func(s *metrics.Show) {
			s.Count("log_lines_lost_total", "Log lines that could not be written.", float64(c.LogLost()))
		})
	}
	if lists == nil {
		return
	}
	m.Add(func(s *metrics.Show) {
		ctx, cancel := context.WithTimeout(context.Background(), lookIn)
		defer cancel()
		v, err := lists.View(ctx, "", 0)
		if err != nil {
			return
		}
		s.Gauge("nodes_ready", "Nodes that may be sent something.", float64(v.Ready))
		for _, src := range v.Sources {
			trusted := 1.0
			if src.Reason != "" {
				trusted = 0
			}
			s.Gauge("source_trusted", "Whether a source of the list is trusted.", trusted, "source", src.Name)
			s.Gauge("source_nodes", "Nodes that a source lists.", float64(src.Live), "source", src.Name)
			s.Gauge("source_held", "Nodes that a source lost with too many others, and that are held.", float64(src.Held), "source", src.Name)
			if src.LastResponseAt > 0 {
				s.Gauge("source_age_seconds", "Since a source's last news.", (v.Now - src.LastResponseAt).Seconds(), "source", src.Name)
			}
		}
	})
}
