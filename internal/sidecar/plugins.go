package sidecar

import (
	"context"

	"mothridge/internal/hook"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/plugin"
)

// addPlugins puts the operators' plug-ins before the handler there is, if there are any.
func (s *service) addPlugins(running context.Context) error {
	if len(s.config.Operator.Plugins) == 0 {
		return nil
	}
	gate, err := plugin.NewGate(plugin.Config{
		Classes: s.config.Classes,
		Tenants: s.config.Tenants,
		Specs:   pluginSpecs(&s.config.Operator),
	})
	if err != nil {
		return err
	}
	gate.SetNext(s.handler)
	s.background.Go(func() { gate.Run(running.Done()) })
	if s.metrics != nil {
		s.metrics.Add(func(show *metrics.Show) { showPlugins(show, gate) })
	}
	s.plugins, s.handler = gate, gate
	return nil
}

func showPlugins(show *metrics.Show, gate *plugin.Gate) {
	gate.Plugins(func(name, state string, counts plugin.Counts, named map[string]uint64) {
		show.Counters("plugin_total", "What became of a plug-in's runs, by event.", "event", counts, "plugin", name)
		show.Gauge("plugin_suspended", "Whether a plug-in is left out for using up its budget.", suspended(state), "plugin", name)
		for n, count := range named {
			show.Gauge("plugin_counts", "What a plug-in counts of its own.", float64(count), "plugin", name, "count", n)
		}
	})
	show.Gauge("plugin_outcomes_dropped", "Outcomes whose hooks were not run as too many waited.", float64(gate.Dropped()))
}

// suspended is 1 for all states of a breaker but the one in which calls go through.
func suspended(state string) float64 {
	if state == "closed" {
		return 0
	}
	return 1
}

// pluginSpecs are the plug-ins that an operators' file names.
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
