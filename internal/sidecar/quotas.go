package sidecar

import (
	"cmp"
	"log/slog"
	"net/textproto"
	"time"

	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/quotas"
	"mothridge/quota"
)

// The terms of loans where the operators' file sets none.
const (
	defaultLenderReserve  = time.Second
	defaultRepaymentShare = 0.1
	defaultDebtLifetime   = time.Minute
	// unevenShares is how many even shares of a quota one sidecar may use, as traffic is
	// uneven and sidecars share no state. The bulkheads of the decisions do the same.
	unevenShares = 2.0
)

// addQuotas puts the operators' quotas before the handler there is, if there are any.
func (s *service) addQuotas() error {
	if len(s.config.Operator.Quotas) == 0 {
		return nil
	}
	gate, err := quotas.New(s.config.quotaConfig(&s.config.Operator))
	if err != nil {
		return err
	}
	gate.SetNext(s.handler)
	if s.metrics != nil {
		s.metrics.Add(func(show *metrics.Show) { showQuotas(show, gate) })
	}
	s.quotas, s.handler = gate, gate
	return nil
}

func showQuotas(show *metrics.Show, gate *quotas.Gate) {
	for _, n := range gate.View() {
		show.Counters("quota_total", "What became of requests by the quota they count in, by event.", "event", n.Usage, "quota", n.Name)
		for _, l := range n.Limits {
			show.Gauge("quota_left", "What is left of a limit.", l.Left, "quota", n.Name, "dimension", l.Dimension, "window", l.Window)
		}
	}
}

// reloadQuotas takes another operators' file's quotas; balances stay. A file without quotas
// changes nothing.
func (s *service) reloadQuotas(f *operator.File) error {
	if s.quotas == nil || len(f.Quotas) == 0 {
		return nil
	}
	if err := s.quotas.Load(s.config.quotaConfig(f)); err != nil {
		return err
	}
	slog.Info("quotas were read again", "number", len(f.Quotas))
	return nil
}

// quotaConfig is what an operators' file says of quotas.
func (c *Config) quotaConfig(f *operator.File) quotas.Config {
	lending := &f.Lending
	evenShare := unevenShares / float64(max(1, c.Policy.FleetSize))
	out := quotas.Config{
		Tree: quota.Config{
			LenderReserve:  cmp.Or(lending.LenderReserve.Value(), defaultLenderReserve),
			RepaymentShare: cmp.Or(float64(lending.RepaymentShare), defaultRepaymentShare),
			DebtLifetime:   cmp.Or(lending.DebtLifetime.Value(), defaultDebtLifetime),
		},
		Matches:       make(map[string]quotas.Match),
		Tenants:       c.Tenants,
		MaxRetryAfter: c.Policy.MaxRetryAfter,
		Share:         cmp.Or(lending.SidecarShare, min(1, evenShare)),
	}
	for _, class := range c.Policy.Classes {
		out.PriorityWeights = append(out.PriorityWeights, class.PriorityWeight)
	}
	for i := range f.Quotas {
		q := &f.Quotas[i]
		out.Tree.Nodes = append(out.Tree.Nodes, quota.Node{
			Name: q.Name, Parent: q.Parent, Weight: q.Weight, Limits: quotaLimits(q),
		})
		if q.Tenant != "" || q.Header != "" || q.Tag != "" {
			out.Matches[q.Name] = quotas.Match{
				Tenant: q.Tenant, Header: textproto.CanonicalMIMEHeaderKey(q.Header), Value: q.Value, Tag: q.Tag,
			}
		}
	}
	return out
}

// quotaLimits are the limits of one node: each rate in each window, and requests at once.
func quotaLimits(q *operator.Quota) []quota.Limit {
	windows := []time.Duration{time.Second, 10 * time.Second}
	if len(q.Windows) > 0 {
		windows = nil
		for _, w := range q.Windows {
			windows = append(windows, w.Value())
		}
	}
	rates := []struct {
		dimension quota.Dimension
		rate      float64
	}{{quota.Requests, q.Requests}, {quota.Priority, q.PriorityWeight}, {quota.Bytes, q.Bytes}}
	var limits []quota.Limit
	for _, window := range windows {
		for _, r := range rates {
			if r.rate > 0 {
				limits = append(limits, quota.Limit{Dimension: r.dimension, Rate: r.rate, Window: window, Ceiling: r.rate * q.Ceiling})
			}
		}
	}
	if q.Concurrent > 0 {
		rate := float64(q.Concurrent)
		limits = append(limits, quota.Limit{Dimension: quota.Concurrent, Rate: rate, Ceiling: rate * q.Ceiling})
	}
	return limits
}
