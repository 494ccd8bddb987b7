package policy

import (
	"fmt"
	"math"
)

// check returns an error that names the first unusable field of a Config.
func check(cfg Config) error {
	bad := func(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers is %d, at least 1 is needed", cfg.Balancers)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, at least 1 is needed", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, it must not be negative", cfg.Slots)
	case bad(cfg.ColdFrom) || cfg.ColdFrom > 1:
		return fmt.Errorf("config: ColdFrom is %v, a share is needed", cfg.ColdFrom)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"ColdMultiple", cfg.ColdMultiple}, {"CrossZonePrice", cfg.CrossZonePrice}, {"ProbePrice", cfg.ProbePrice},
		{"MaxRetryAfter", cfg.MaxRetryAfter.Seconds()}, {"Tick", cfg.Tick.Seconds()},
		{"AskWithin", cfg.AskWithin.Seconds()}, {"ColdTime", cfg.ColdTime.Seconds()},
	} {
		if bad(f.value) {
			return fmt.Errorf("config: %s is %v, it must be a number and not negative", f.name, f.value)
		}
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 {
			return fmt.Errorf("config: Classes[%d]: Aim %v, Deadline %v or Window %v is unusable",
				i, c.Aim, c.Deadline, c.Window)
		}
		if bad(c.AimStretch) || bad(c.LateShare) || bad(c.Worth) {
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
