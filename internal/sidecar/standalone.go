package sidecar

import (
	"cmp"
	"errors"
	"math/rand/v2"

	"mothridge/internal/operator"
	"mothridge/policy"
)

// FromOperator makes the configuration of a sidecar that no platform starts:
// the operators' file says all of it.
func FromOperator(f *operator.File) (*Config, error) {
	s := f.Sidecar
	if s == nil {
		return nil, errors.New("ROUTER_CONFIG is not set, and the operators' file has no [sidecar] table that would say the same")
	}
	c := &Config{
		Name: cmp.Or(s.Name, "mothridge"), Listen: string(s.Listen), Seed: rand.Uint64(), Operator: *f,
		Limits: Limits{Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), Sockets: cmp.Or(int(f.Limits.Sockets), defaultSockets)},
		Policy: policy.Config{
			FleetSize: cmp.Or(int(s.Sidecars), 1), MaxAttempts: cmp.Or(int(s.Attempts), operator.DefaultAttempts),
			CancelAllowed: true, ProbesAllowed: s.Probes, ClientsMarkRetries: s.MarksRetry, MaxRetryAfter: s.RetryAfter.Or(operator.DefaultRetryAfter),
			SlowStartInitialShare: float64(s.ColdFrom), SlowStartDuration: s.ColdFor.Value(), SlowStartOverloadFactor: cmp.Or(s.ColdMultiple, operator.DefaultColdMultiple),
		},
		DialTimeout: s.DialTimeout.Or(defaultDialTimeout), ConnIdle: s.ConnIdle.Or(defaultConnIdle),
	}
	if s.Zone != "" {
		c.Zones = []string{s.Zone}
	}
	effects := map[operator.Effect]policy.Idempotency{operator.Safe: policy.Idempotent, operator.Keyed: policy.IdempotentByKey, operator.Unsafe: policy.NotIdempotent}
	scopes := map[operator.Scope]policy.DedupScope{
		"": policy.ScopeCell, operator.ScopeCell: policy.ScopeCell, operator.ScopeZone: policy.ScopeZone, operator.ScopeAll: policy.ScopeAll,
	}
	for _, k := range f.Classes {
		c.Classes = append(c.Classes, k.Name)
		c.Policy.Classes = append(c.Policy.Classes, policy.Class{
			LatencyObjective: k.Aim.Value(), Deadline: k.Deadline.Value(), PriorityWeight: cmp.Or(k.Worth, 1), Idempotency: effects[k.Effect], DedupScope: scopes[k.Scope], DedupWindow: k.Window.Value(),
		})
	}
	for _, t := range f.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
		c.Policy.Tenants = append(c.Policy.Tenants, policy.Tenant{Share: t.Share, Quota: t.Quota})
	}
	return c, nil
}
