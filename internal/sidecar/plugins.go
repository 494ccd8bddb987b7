package sidecar

import (
	"context"
	"log/slog"
	"sync"

	"mothridge/internal/core"
	"mothridge/internal/hook"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/plugin"
	"mothridge/internal/quotas"
)

// plugins puts the operators' plug-ins between the fronts and the core; nil
// where there is none.
func (c *Config) plugins(ctx context.Context, k core.Handler, figures *metrics.Metrics, loops *sync.WaitGroup) (*plugin.Gate, error) {
	if len(c.Operator.Plugins) == 0 {
		return nil, nil
	}
	g, err := plugin.NewGate(plugin.Config{Classes: c.Classes, Tenants: c.Tenants, Specs: specs(&c.Operator)})
	if err != nil {
		return nil, err
	}
	g.SetNext(k)
	loops.Go(func() { g.Run(ctx.Done()) })
	if figures != nil {
		figures.Add(func(s *metrics.Show) {
			g.Plugins(func(name, state string, counts plugin.Counts, named map[string]uint64) {
				s.Counters("plugin_total", "What became of a plug-in's runs, by event.", "event", counts, "plugin", name)
				s.Gauge("plugin_suspended", "Whether a plug-in is left out for using up its budget.", suspended(state), "plugin", name)
				for n, count := range named {
					s.Gauge("plugin_counts", "What a plug-in counts of its own.", float64(count), "plugin", name, "count", n)
				}
			})
			s.Gauge("plugin_outcomes_dropped", "Outcomes whose hooks were not run as too many waited.", float64(g.Dropped()))
		})
	}
	return g, nil
}

// suspended is 1 for all states of a breaker but the one in which calls go through.
func suspended(state string) float64 {
	if state == "closed" {
		return 0
	}
	return 1
}

// specs are the plug-ins that an operators' file names.
func specs(f *operator.File) []plugin.Spec {
	var out []plugin.Spec
	for i := range f.Plugins {
		p := &f.Plugins[i]
		s := plugin.Spec{
			Name: p.Name, File: p.File, Tenants: p.Tenants, MayRefuse: p.MayRefuse, Refuse: p.OnFailure == operator.Refuse, Refused: p.RefuseClasses,
			Limits: hook.Limits{Fuel: int64(p.Fuel), Memory: int64(p.MemoryKB) << 10},
		}
		for _, h := range p.Hooks {
			s.Hooks = append(s.Hooks, string(h))
		}
		for _, h := range p.Headers {
			s.Headers = append(s.Headers, string(h))
		}
		out = append(out, s)
	}
	return out
}

// reloadGates reads the operators' file again and takes its plug-ins, all of
// them or none, and its quotas.
func (c *Config) reloadGates(g *plugin.Gate, q *quotas.Gate) {
	if g == nil && q == nil || c.Operator.Path() == "" {
		return
	}
	f, err := operator.Load(c.Operator.Path())
	if err != nil {
		slog.Error("the operators' file: plug-ins and quotas stay as they were", "err", err)
		return
	}
	if err := c.reloadQuotas(q, f); err != nil {
		slog.Error("quotas: the old ones stay in force", "err", err)
	}
	if g == nil {
		return
	}
	if err := g.Load(specs(f)); err != nil {
		slog.Error("plug-ins: the old ones stay in force", "err", err)
		return
	}
	slog.Info("plug-ins were read again", "number", len(f.Plugins))
}
