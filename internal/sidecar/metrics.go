package sidecar

import (
	"context"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
	"mothridge/internal/processor"
	"mothridge/internal/sockets"
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
	s.metrics.Add(s.collectActivity)
	s.metrics.Add(s.collectPacing)
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
	for reason, n := range s.core.UnservedByReason() {
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

// collectActivity adds what the process has used and what the event loop has done to a scrape.
func (s *service) collectActivity(scrape *metrics.Scrape) {
	activity := s.core.LoopActivity()
	scrape.Counter("processor_seconds_total", "Processor time that the process has used.", processor.Used().Seconds())
	scrape.Counter("gc_processor_seconds_total", "Processor time of garbage collections, as of the last one.", processor.UsedByGC().Seconds())
	scrape.Gauge("processor_share", "Share of a core that the process may use; 0: not limited.", s.config.Limits.Cores)
	scrape.Counter("loop_seconds_total", "Time that the event loop spent in steps.", activity.Busy.Seconds())
	scrape.Gauge("loop_longest_step_seconds", "Longest step of the event loop since the start.", activity.LongestStep.Seconds())
	scrape.Gauge("loop_longest_backlog", "Largest number of events that waited for the event loop since the start.", float64(activity.LongestBacklog))
	scrape.Counter("pauses_total", "Times for which the process did not run for 0.3 s or more.", float64(activity.Pauses))
	scrape.Counter("paused_seconds_total", "Sum of these times.", activity.Paused.Seconds())
}

// collectPacing adds who waits for processor time, and what decides it, to a scrape.
func (s *service) collectPacing(scrape *metrics.Scrape) {
	waits, state := s.pacer.Waits(), s.pacer.State()
	scrape.Counter("pacing_waits_total", "Times for which clients that send at full speed waited for processor time.", float64(waits.Count))
	scrape.Counter("pacing_waited_seconds_total", "Sum of these times.", waits.Total.Seconds())
	for _, each := range waits.ByActivity {
		scrape.Counter("pacing_activity_waits_total", "Such waits, by what the client was about to do.", float64(each.Count), "activity", each.Activity)
		scrape.Counter("pacing_activity_waited_seconds_total", "Sum of these times, by what the client was about to do.", each.Total.Seconds(), "activity", each.Activity)
	}
	scrape.Gauge("pacing_longest_wait_seconds", "Longest of these times.", waits.Longest.Seconds())
	scrape.Gauge("pacing_waiting", "Clients that wait now.", float64(state.Waiting))
	scrape.Gauge("pacing_rate", "Share of a core that such clients may use now.", state.Rate)
	scrape.Gauge("pacing_full_rate", "Share of a core that they may use while the process gets its whole share.", state.FullRate)
	scrape.Gauge("pacing_left_seconds", "Processor time that they may use at once; negative if more was used than the share allows.", state.Left)
	scrape.Counter("listen_overflows_total", "Connections that the machine dropped because a listener's backlog was full.", float64(sockets.ListenOverflows()))
	scrape.Gauge("pacing_message_cost_seconds", "Mean processor time of a message.", state.MessageCost.Seconds())
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
		scrape.Gauge("source_held", "Endpoints kept although their source no longer lists them, because it lost too many at once.", float64(source.Held), "source", source.Name)
		if source.LastResponseAt > 0 {
			age := view.Now - source.LastResponseAt
			scrape.Gauge("source_age_seconds", "Seconds since the last response of a source.", age.Seconds(), "source", source.Name)
		}
	}
}
