package policy

import (
	"fmt"
	"math"
)

// check returns an error that names the first unusable field of a Config.
func check(cfg Config) error {
	bad := func(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
	switch {
	case cfg.FleetSize < 1:
		return fmt.Errorf("config: Balancers is %d, at least 1 is needed", cfg.FleetSize)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, at least 1 is needed", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, it must not be negative", cfg.Slots)
	case bad(cfg.SlowStartInitialShare) || cfg.SlowStartInitialShare > 1:
		return fmt.Errorf("config: ColdFrom is %v, a share is needed", cfg.SlowStartInitialShare)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"ColdMultiple", cfg.SlowStartOverloadFactor}, {"CrossZonePrice", cfg.CrossZoneCost}, {"ProbePrice", cfg.ProbeCost},
		{"MaxRetryAfter", cfg.MaxRetryAfter.Seconds()}, {"Tick", cfg.EventResolution.Seconds()},
		{"AskWithin", cfg.WatchRequestWithin.Seconds()}, {"ColdTime", cfg.SlowStartDuration.Seconds()},
	} {
		if bad(f.value) {
			return fmt.Errorf("config: %s is %v, it must be a number and not negative", f.name, f.value)
		}
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("config: Classes[%d]: Aim %v, Deadline %v or Window %v is unusable",
				i, c.LatencyObjective, c.Deadline, c.DedupWindow)
		}
		if bad(c.ObjectiveStretch) || bad(c.LateValueShare) || bad(c.PriorityWeight) {
			return fmt.Errorf("config: Classes[%d]: AimStretch, LateShare or Worth is negative or no number", i)
		}
	}
	sum := 0.0
	for i, t := range cfg.Tenants {
		if bad(t.Share) || bad(t.Quota) {
			return fmt.Errorf("config: Tenants[%d]: Share %v or Quota %v is negative or no number",
				i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(cfg.Tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("config: Tenants: the Share of all adds up to %v", sum)
	}
	return nil
}
