package policy

import (
	"math"
	"strings"
	"testing"
)

// An operator who gets an error for an invalid configuration must learn which field to correct.
func TestNewErrorNamesInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"FleetSize":               func(c *Config) { c.FleetSize = 0 },
		"Classes":                 func(c *Config) { c.Classes = nil },
		"MaxAttempts":             func(c *Config) { c.MaxAttempts = 0 },
		"Slots":                   func(c *Config) { c.Slots = -1 },
		"SlowStartInitialShare":   func(c *Config) { c.SlowStartInitialShare = 1.5 },
		"SlowStartOverloadFactor": func(c *Config) { c.SlowStartOverloadFactor = math.Inf(1) },
		"SlowStartDuration":       func(c *Config) { c.SlowStartDuration = -1 },
		"ProbeCost":               func(c *Config) { c.ProbeCost = math.NaN() },
		"CrossZoneCost":           func(c *Config) { c.CrossZoneCost = -1 },
		"WatchRequestWithin":      func(c *Config) { c.WatchRequestWithin = -1 },
		"EventResolution":         func(c *Config) { c.EventResolution = -1 },
		"LatencyObjective":        func(c *Config) { c.Classes[2].LatencyObjective = 0 },
		"Deadline":                func(c *Config) { c.Classes[0].Deadline = -1 },
		"LateValueShare":          func(c *Config) { c.Classes[0].LateValueShare = math.NaN() },
		"Share":                   func(c *Config) { c.Tenants[1].Share = -0.1 },
		"Quota":                   func(c *Config) { c.Tenants[1].Quota = math.NaN() },
		"the sum of all Share values must be above 0 and finite, got 0": func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} },
		"MaxRetryAfter": func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("want an error that contains %q, got %v", field, err)
		}
	}
}
