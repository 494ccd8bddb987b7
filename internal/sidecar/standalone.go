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
			Balancers: cmp.Or(int(s.Sidecars), 1), MaxAttempts: cmp.Or(int(s.Attempts), operator.DefaultAttempts),
			MayCancel: true, MayProbe: s.Probes, MarksRepeat: s.MarksRetry, MaxRetryAfter: s.RetryAfter.Or(operator.DefaultRetryAfter),
			ColdFrom: float64(s.ColdFrom), ColdTime: s.ColdFor.Value(), ColdMultiple: cmp.Or(s.ColdMultiple, operator.DefaultColdMultiple),
		},
		DialTimeout: s.DialTimeout.Or(defaultDialTimeout), ConnIdle: s.ConnIdle.Or(defaultConnIdle),
	}
	if s.Zone != "" {
		c.Zones = []string{s.Zone}
	}
	effects := map[operator.Effect]policy.Effect{operator.Safe: policy.Safe, operator.Keyed: policy.Keyed, operator.Unsafe: policy.Unsafe}
	scopes := map[operator.Scope]policy.Scope{
		"": policy.ScopeCell, operator.ScopeCell: policy.ScopeCell, operator.ScopeZone: policy.ScopeZone, operator.ScopeAll: policy.ScopeAll,
	}
	for _, k := range f.Classes {
		c.Classes = append(c.Classes, k.Name)
		c.Policy.Classes = append(c.Policy.Classes, policy.Class{
			Aim: k.Aim.Value(), Deadline: k.Deadline.Value(), Worth: cmp.Or(k.Worth, 1), Effect: effects[k.Effect], Scope: scopes[k.Scope], Window: k.Window.Value(),
		})
	}
	for _, t := range f.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
		c.Policy.Tenants = append(c.Policy.Tenants, policy.Tenant{Share: t.Share, Quota: t.Quota})
	}
	return c, nil
}
