package sidecar

import (
	"cmp"
	"log/slog"
	"net/textproto"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/quotas"
	"mothridge/quota"
)

// The terms of loans where the operators' file sets none.
const (
	defaultReclaim = time.Second
	defaultRepay   = 0.1
	defaultDebtAge = time.Minute
	// unevenPart is how many even parts of a quota one sidecar may use: as the
	// walls of the decision module, since traffic is uneven and nothing is shared.
	unevenPart = 2.0
)

// quotas puts the operators' quotas before the core; nil where there is none.
func (c *Config) quotas(behind core.Handler, figures *metrics.Metrics) (*quotas.Gate, error) {
	if len(c.Operator.Quotas) == 0 {
		return nil, nil
	}
	g, err := quotas.New(c.quotaConfig(&c.Operator))
	if err != nil {
		return nil, err
	}
	g.SetNext(behind)
	if figures != nil {
		figures.Add(func(s *metrics.Show) {
			for _, n := range g.View() {
				s.Counters("quota_total", "What became of requests by the quota they count in, by event.", "event", n.Usage, "quota", n.Name)
				for _, l := range n.Limits {
					s.Gauge("quota_left", "What is left of a limit.", l.Left, "quota", n.Name, "dimension", l.Dimension, "window", l.Window)
				}
			}
		})
	}
	return g, nil
}

// quotaConfig is what an operators' file says of quotas.
func (c *Config) quotaConfig(f *operator.File) quotas.Config {
	l := &f.Lending
	out := quotas.Config{
		Tree: quota.Config{
			LenderReserve: cmp.Or(l.Reclaim.Value(), defaultReclaim), RepaymentShare: cmp.Or(float64(l.Repay), defaultRepay), DebtLifetime: cmp.Or(l.DebtAge.Value(), defaultDebtAge),
		},
		Matches: make(map[string]quotas.Match), Tenants: c.Tenants, MaxRetryAfter: c.Policy.MaxRetryAfter,
		Share: cmp.Or(l.Part, min(1, unevenPart/float64(max(1, c.Policy.FleetSize)))),
	}
	for _, k := range c.Policy.Classes {
		out.PriorityWeights = append(out.PriorityWeights, k.PriorityWeight)
	}
	for i := range f.Quotas {
		q := &f.Quotas[i]
		n := quota.Node{Name: q.Name, Parent: q.Parent, Weight: q.Weight}
		windows := []time.Duration{time.Second, 10 * time.Second}
		if len(q.Windows) > 0 {
			windows = nil
			for _, w := range q.Windows {
				windows = append(windows, w.Value())
			}
		}
		for _, w := range windows {
			for _, x := range []struct {
				d    quota.Dimension
				rate float64
			}{{quota.Requests, q.Requests}, {quota.Priority, q.Worth}, {quota.Bytes, q.Bytes}} {
				if x.rate > 0 {
					n.Limits = append(n.Limits, quota.Limit{Dimension: x.d, Rate: x.rate, Window: w, Ceiling: x.rate * q.Ceiling})
				}
			}
		}
		if q.Concurrent > 0 {
			rate := float64(q.Concurrent)
			n.Limits = append(n.Limits, quota.Limit{Dimension: quota.Concurrent, Rate: rate, Ceiling: rate * q.Ceiling})
		}
		out.Tree.Nodes = append(out.Tree.Nodes, n)
		if q.Tenant != "" || q.Header != "" || q.Tag != "" {
			out.Matches[q.Name] = quotas.Match{Tenant: q.Tenant, Header: textproto.CanonicalMIMEHeaderKey(q.Header), Value: q.Value, Tag: q.Tag}
		}
	}
	return out
}

// reloadQuotas takes another operators' file's quotas; balances stay.
func (c *Config) reloadQuotas(g *quotas.Gate, f *operator.File) error {
	if g == nil || len(f.Quotas) == 0 {
		return nil
	}
	if err := g.Load(c.quotaConfig(f)); err != nil {
		return err
	}
	slog.Info("quotas were read again", "number", len(f.Quotas))
	return nil
}
