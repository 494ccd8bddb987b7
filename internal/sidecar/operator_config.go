package sidecar

import (
	"cmp"
	"errors"
	"math/rand/v2"

	"mothridge/internal/operator"
	"mothridge/policy"
)

// errNoSidecarTable means that neither the platform nor the operators' file configures a sidecar.
var errNoSidecarTable = errors.New("ROUTER_CONFIG is not set and the operators' file has no [sidecar] table")

// The values of the operators' file for the idempotency of a class, and for the scope in which
// upstreams drop repeated requests.
var (
	idempotencyByName = map[operator.Idempotency]policy.Idempotency{
		operator.Idempotent:      policy.Idempotent,
		operator.IdempotentByKey: policy.IdempotentByKey,
		operator.NotIdempotent:   policy.NotIdempotent,
	}
	dedupScopeByName = map[operator.DedupScope]policy.DedupScope{
		"":                 policy.ScopeCell,
		operator.ScopeCell: policy.ScopeCell,
		operator.ScopeZone: policy.ScopeZone,
		operator.ScopeAll:  policy.ScopeAll,
	}
)

// FromOperator returns the configuration of a sidecar without a platform, which the operators' file
// configures completely. The file must have a [sidecar] table.
func FromOperator(f *operator.File) (*Config, error) {
	s := f.Sidecar
	if s == nil {
		return nil, errNoSidecarTable
	}
	c := &Config{
		Name:     cmp.Or(s.Name, "mothridge"),
		Listen:   string(s.Listen),
		Seed:     rand.Uint64(),
		Operator: *f,
		Limits: Limits{
			Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), Sockets: cmp.Or(int(f.Limits.Sockets), defaultSockets),
		},
		Policy: policy.Config{
			FleetSize:               cmp.Or(int(s.FleetSize), 1),
			MaxAttempts:             cmp.Or(int(s.MaxAttempts), operator.DefaultMaxAttempts),
			CancelAllowed:           true,
			ProbesAllowed:           s.Probes,
			ClientsMarkRetries:      s.ClientsMarkRetries,
			MaxRetryAfter:           s.MaxRetryAfter.Or(operator.DefaultMaxRetryAfter),
			SlowStartInitialShare:   float64(s.SlowStartInitialShare),
			SlowStartDuration:       s.SlowStartDuration.Value(),
			SlowStartOverloadFactor: cmp.Or(s.SlowStartOverloadFactor, operator.DefaultOverloadFactor),
		},
		DialTimeout:         s.DialTimeout.Or(defaultDialTimeout),
		UpstreamIdleTimeout: s.ConnectionIdleTimeout.Or(defaultUpstreamIdleTimeout),
	}
	if s.Zone != "" {
		c.Zones = []string{s.Zone}
	}
	for i := range f.Classes {
		c.Classes = append(c.Classes, f.Classes[i].Name)
		c.Policy.Classes = append(c.Policy.Classes, operatorClass(&f.Classes[i]))
	}
	for _, t := range f.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
		c.Policy.Tenants = append(c.Policy.Tenants, policy.Tenant{Share: t.Share, Quota: t.Quota})
	}
	return c, nil
}

// operatorClass converts a class of the operators' file. The default priority weight is 1.
func operatorClass(class *operator.Class) policy.Class {
	return policy.Class{
		LatencyObjective: class.LatencyObjective.Value(),
		Deadline:         class.Deadline.Value(),
		PriorityWeight:   cmp.Or(class.PriorityWeight, 1),
		Idempotency:      idempotencyByName[class.Idempotency],
		DedupScope:       dedupScopeByName[class.DedupScope],
		DedupWindow:      class.DedupWindow.Value(),
	}
}
