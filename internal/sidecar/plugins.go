package sidecar

import (
	"context"

	"mothridge/internal/hook"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/plugin"
)

// addPlugins adds the gate that runs the operators' plug-ins in front of s.handler, if the
// operators' file has plug-ins. A goroutine runs the gate's outcome hooks until ctx ends.
func (s *service) addPlugins(ctx context.Context) error {
	if len(s.config.Operator.Plugins) == 0 {
		return nil
	}
	gate, err := plugin.NewGate(plugin.Config{
		Classes: s.config.Classes,
		Tenants: s.config.Tenants,
		Specs:   pluginSpecs(&s.config.Operator),

		StateBytes: s.config.Limits.pluginStateBytes(),
	})
	if err != nil {
		return err
	}
	gate.SetNext(s.handler)
	s.background.Go(func() { gate.Run(ctx.Done()) })
	if s.metrics != nil {
		s.metrics.Add(func(scrape *metrics.Scrape) { collectPlugins(scrape, gate) })
	}
	s.plugins, s.handler = gate, gate
	return nil
}

// collectPlugins adds the plug-ins' counters and states to a scrape.
func collectPlugins(scrape *metrics.Scrape, gate *plugin.Gate) {
	for _, status := range gate.Plugins() {
		name := status.Name
		scrape.Counters("plugin_total", "Runs of a plug-in, by event.", "event", status.Counts, "plugin", name)
		scrape.Gauge("plugin_suspended", "Whether a plug-in is suspended for exhausting its budget (1) or not (0).", suspended(status.Breaker), "plugin", name)
		scrape.Gauge("plugin_state_bytes", "Memory of the maps that a plug-in keeps.", float64(status.StateBytes), "plugin", name)
		scrape.Counter("plugin_state_evicted_total", "Entries of a plug-in's maps removed to keep within the memory limit.", float64(status.StateEvicted), "plugin", name)
		for n, count := range status.ProgramCounters {
			scrape.Gauge("plugin_counts", "Counters that a plug-in maintains itself.", float64(count), "plugin", name, "count", n)
		}
	}
	scrape.Gauge("plugin_outcomes_dropped", "Outcomes whose hooks did not run because too many outcomes were queued.", float64(gate.DroppedOutcomes()))
}

// suspended returns 0 if the state of a circuit breaker lets calls through ("closed"), else 1.
func suspended(state string) float64 {
	if state == "closed" {
		return 0
	}
	return 1
}

// pluginSpecs returns the plug-ins of an operators' file.
func pluginSpecs(f *operator.File) []plugin.Spec {
	var specs []plugin.Spec
	for i := range f.Plugins {
		p := &f.Plugins[i]
		spec := plugin.Spec{
			Name:            p.Name,
			File:            p.File,
			Tenants:         p.Tenants,
			MayReject:       p.MayReject,
			RejectOnFailure: p.OnFailure == operator.Reject,
			RejectClasses:   p.RejectClasses,
			Limits:          hook.Limits{Fuel: int64(p.Fuel), Memory: int64(p.MemoryKB) << 10},
		}
		for _, h := range p.Hooks {
			spec.Hooks = append(spec.Hooks, string(h))
		}
		for _, h := range p.Headers {
			spec.Headers = append(spec.Headers, string(h))
		}
		specs = append(specs, spec)
	}
	return specs
}
