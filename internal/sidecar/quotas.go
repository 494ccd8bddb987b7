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

// The defaults for lending between quotas, and the share of a quota that one sidecar may use.
const (
	defaultLenderReserve  = time.Second
	defaultRepaymentShare = 0.1
	defaultDebtLifetime   = time.Minute
	// unevenShares is the number of even shares of a quota that one sidecar may use, because traffic
	// is uneven and sidecars share no state. The bulkheads of package policy use the same factor.
	unevenShares = 2.0
)

// addQuotas adds the gate that enforces the operators' quotas in front of s.handler, if the
// operators' file has quotas.
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
		s.metrics.Add(func(scrape *metrics.Scrape) { collectQuotas(scrape, gate) })
	}
	s.quotas, s.handler = gate, gate
	return nil
}

// collectQuotas adds the quotas' counters and limits to a scrape.
func collectQuotas(scrape *metrics.Scrape, gate *quotas.Gate) {
	for _, n := range gate.View() {
		scrape.Counters("quota_total", "Requests of a quota, by event.", "event", n.Usage, "quota", n.Name)
		for _, l := range n.Limits {
			scrape.Gauge("quota_left", "Tokens left of a limit, below 0 after a repayment.", l.Left, "quota", n.Name, "dimension", l.Dimension, "window", l.Window)
		}
	}
}

// reloadQuotas replaces the quotas by the quotas of f and keeps their balances. It does nothing if
// f has no quotas or the sidecar started without quotas. On an error nothing changes.
func (s *service) reloadQuotas(f *operator.File) error {
	if s.quotas == nil || len(f.Quotas) == 0 {
		return nil
	}
	if err := s.quotas.Load(s.config.quotaConfig(f)); err != nil {
		return err
	}
	slog.Info("quotas reloaded", "number", len(f.Quotas))
	return nil
}

// quotaConfig returns the quota configuration of an operators' file.
func (c *Config) quotaConfig(f *operator.File) quotas.Config {
	lending := &f.Lending
	evenShare := unevenShares / float64(max(1, c.Policy.FleetSize))
	config := quotas.Config{
		Tree: quota.Config{
			LenderReserve:  cmp.Or(lending.LenderReserve.Value(), defaultLenderReserve),
			RepaymentShare: cmp.Or(float64(lending.RepaymentShare), defaultRepaymentShare),
			DebtLifetime:   cmp.Or(lending.DebtLifetime.Value(), defaultDebtLifetime),
		},
		Matches:       make(map[string]quotas.RequestMatch),
		Tenants:       c.Tenants,
		MaxRetryAfter: c.Policy.MaxRetryAfter,
		Share:         cmp.Or(lending.SidecarShare, min(1, evenShare)),
	}
	for _, class := range c.Policy.Classes {
		config.PriorityWeights = append(config.PriorityWeights, class.PriorityWeight)
	}
	for i := range f.Quotas {
		q := &f.Quotas[i]
		config.Tree.Nodes = append(config.Tree.Nodes, quota.Node{
			Name: q.Name, Parent: q.Parent, Weight: q.Weight, Limits: quotaLimits(q),
		})
		if q.Tenant != "" || q.Header != "" || q.Tag != "" {
			config.Matches[q.Name] = quotas.RequestMatch{
				Tenant: q.Tenant, Header: textproto.CanonicalMIMEHeaderKey(q.Header), Value: q.Value, Tag: q.Tag,
			}
		}
	}
	return config
}

// quotaLimits returns the limits of one node of the quota tree: one for each rate and window, and
// one for concurrent requests. The default windows are 1 s and 10 s.
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
