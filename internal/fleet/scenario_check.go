package fleet

import (
	"fmt"
	"slices"
)

// Check names what is wrong with a scenario, and what would be right.
func (s *Scenario) Check() error {
	if err := s.checkSizes(); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	for i, c := range s.Classes {
		if err := c.check(); err != nil {
			return fmt.Errorf("scenario: class %d: %w", i, err)
		}
	}
	for i, t := range s.Faults {
		if err := t.check(s); err != nil {
			return fmt.Errorf("scenario: trouble %d: %w", i, err)
		}
	}
	for i, a := range s.RecordedArrivals {
		if a.Class < 0 || a.Class >= len(s.Classes) || a.Tenant < 0 || a.Tenant >= max(1, len(s.Tenants)) || a.At < 0 || a.Work < 0 || i > 0 && a.At < s.RecordedArrivals[i-1].At {
			return fmt.Errorf("scenario: arrival %d: at %v, class %d of %d, tenant %d of %d, work %v: in order of time and of those that there are is meant", i, a.At, a.Class, len(s.Classes), a.Tenant, max(1, len(s.Tenants)), a.Work)
		}
	}
	return nil
}

func (s *Scenario) checkSizes() error {
	switch c := &s.Clients; {
	case s.Nodes < 1 || s.Sidecars < 1:
		return fmt.Errorf("%d nodes and %d sidecars: at least one of each is needed", s.Nodes, s.Sidecars)
	case s.Duration <= 0:
		return fmt.Errorf("a duration of %v: above 0 is needed", s.Duration)
	case len(s.RecordedArrivals) == 0 && (s.ArrivalRate > 0) == (s.OfferedLoad > 0) || s.ArrivalRate < 0 || s.OfferedLoad < 0:
		return fmt.Errorf("a rate of %v and a load of %v: one of the two above 0 is needed", s.ArrivalRate, s.OfferedLoad)
	case s.Node.Cores < 1 || !(s.Node.Speed > 0) || slices.ContainsFunc(s.SpeedFactors, func(v float64) bool { return !(v > 0) }):
		return fmt.Errorf("nodes of %d cores of speed %v, times %v: all above 0 are needed", s.Node.Cores, s.Node.Speed, s.SpeedFactors)
	case s.Node.InitialSpeedShare < 0 || s.Node.InitialSpeedShare > 1 || s.Node.WarmUpTime < 0 || s.Node.WarmUpTime > 0 && s.Node.InitialSpeedShare == 0:
		return fmt.Errorf("nodes cold from %v for %v: a share above 0 and a time are needed", s.Node.InitialSpeedShare, s.Node.WarmUpTime)
	case s.Node.OverloadCollapse.Slowdown > 1 && (s.Node.OverloadCollapse.OnsetTime <= 0 || s.Node.OverloadCollapse.RecoveryTime <= 0 || !(s.Node.OverloadCollapse.RequestsPerCore > 0)):
		return fmt.Errorf("choke: above %v, after %v and rest %v: all above 0 are needed", s.Node.OverloadCollapse.RequestsPerCore, s.Node.OverloadCollapse.OnsetTime, s.Node.OverloadCollapse.RecoveryTime)
	case len(s.Classes) == 0:
		return fmt.Errorf("no class of requests: at least one [[class]] is needed")
	case s.MaxAttempts < 1 || c.MaxSubmissions < 1:
		return fmt.Errorf("%d attempts and %d tries of clients: at least one of each is needed", s.MaxAttempts, c.MaxSubmissions)
	case len(c.TimeoutShares) != 0 && (len(c.TimeoutShares) != 2 || !(c.TimeoutShares[0] > 0) || c.TimeoutShares[1] < c.TimeoutShares[0] || c.TimeoutShares[1] > 1):
		return fmt.Errorf("clients: patience %v: two shares, the lesser first, are meant", c.TimeoutShares)
	case c.RetryAfterShare < 0 || c.RetryAfterShare > 1 || s.Daily.Swing < 0 || s.Daily.Swing > 1:
		return fmt.Errorf("clients: heeds %v, daily: swing %v: shares are meant", c.RetryAfterShare, s.Daily.Swing)
	case s.Quotas.SidecarShare < 0 || s.Quotas.SidecarShare > 1 || s.Quotas.SidecarShare > 0 && (len(s.Tenants) == 0 || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return !(t.Quota > 0) })):
		return fmt.Errorf("quotas: a part of %v: 0 to 1, and tenants with a quota each, are meant", s.Quotas.SidecarShare)
	case s.List.WatchRequired && s.List.Membership:
		return fmt.Errorf("list: asked and membership: one of the two is meant")
	case s.Network.Delay < 0 || s.List.MaxDelay < 0 || s.Network.HandshakeWork < 0 || c.MaxRetryAfter < 0 || c.RetryBackoff < 0 || s.TrafficSkew < 0 || s.Slots < 0:
		return fmt.Errorf("a delay, a lag, a pause, skew or slots below 0")
	case !slices.Contains(knownPolicies, s.Policy):
		return fmt.Errorf("policy %q is not known: one of %q is meant", s.Policy, knownPolicies)
	case !slices.Contains(knownRetries, s.Retries):
		return fmt.Errorf("retries %q are not known: one of %q is meant", s.Retries, knownRetries)
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case !(c.Share > 0) || c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective:
		return fmt.Errorf("share %v, work %v, aim %v and deadline %v: all above 0 are needed, the deadline not before the aim", c.Share, c.Work, c.LatencyObjective, c.Deadline)
	case c.WorkDistribution != Exponential && c.WorkDistribution != Fixed && c.WorkDistribution != LogNormal:
		return fmt.Errorf("spread %q is not known: %q, %q or nothing is meant", c.WorkDistribution, Fixed, LogNormal)
	case c.WorkDistribution == LogNormal && !(c.CoefficientOfVariation > 0):
		return fmt.Errorf("log-normal work with a cv of %v: above 0 is needed", c.CoefficientOfVariation)
	}
	return nil
}

func (t *Fault) check(s *Scenario) error {
	switch {
	case !slices.Contains(faultKinds, t.Kind):
		return fmt.Errorf("kind %q is not known: one of %q is meant", t.Kind, faultKinds)
	case t.Node < 0 || t.Node >= s.Nodes || t.Start < 0 || t.Duration < 0 || t.Period < 0 || t.NodeShare < 0 || t.NodeShare > 1:
		return fmt.Errorf("node %d of %d, or a share of %v, at %v for %v, every %v: what there is is meant, and no time below 0", t.Node, s.Nodes, t.NodeShare, t.Start, t.Duration, t.Period)
	case (t.Kind == StealCPU || t.Kind == ResetConnections) && !(t.Share > 0 && t.Share <= 1):
		return fmt.Errorf("%s with a share of %v: above 0, and 1 at most, is meant", t.Kind, t.Share)
	case t.Kind == TrafficBurst && (!(t.RateFactor >= 0) || t.Tenant < 0 || t.Tenant >= max(1, len(s.Tenants)) || t.Duration == 0):
		return fmt.Errorf("burst of %v times of tenant %d for %v: a multiple, a tenant that there is and a time are meant", t.RateFactor, t.Tenant, t.Duration)
	case (t.Kind == ListOutage || t.Kind == IncompleteList || t.Kind == StaleList) && t.Duration == 0:
		return fmt.Errorf("%s without a time: for how long is needed", t.Kind)
	}
	return nil
}
