package settings

import "mothridge/policy"

// Config returns the configuration of package policy. The error is a *ValueError for the first
// invalid value.
func (s *Settings) Config() (policy.Config, error) {
	config := s.scalars()
	s.requirePositive(keyFleetSize, "balancers in the fleet")
	s.requirePositive(keyMaxAttempts, "attempts per request")
	s.requirePositive(keyClasses+suffixCount, "request classes")
	if s.err != nil {
		return config, s.err
	}
	for i := range s.count(keyClasses + suffixCount) {
		config.Classes = append(config.Classes, s.class(i))
	}
	for i := range s.count(keyTenants + suffixCount) {
		config.Tenants = append(config.Tenants, s.tenant(i))
	}
	return config, s.err
}

// scalars reads the values that are not part of a list.
func (s *Settings) scalars() policy.Config {
	return policy.Config{
		FleetSize:               s.count(keyFleetSize),
		Zone:                    s.count(keyZone),
		MaxAttempts:             s.count(keyMaxAttempts),
		CancelAllowed:           s.flag(keyCancelAllowed),
		ProbesAllowed:           s.flag(keyProbesAllowed),
		ProbeLoadReports:        s.flag(keyProbesAllowed) && s.text(keyLoadReports) != loadReportsNone,
		MaxRetryAfter:           s.duration(keyMaxRetryAfter),
		ClientsMarkRetries:      s.flag(keyClientsMarkRetries),
		EventResolution:         s.duration(keyEventResolution),
		WatchOnRequest:          s.text(keyDiscovery) == discoveryOnRequest,
		WatchRequestWithin:      s.duration(keyWatchRequestWithin),
		SlowStartInitialShare:   s.number(keySlowStartInitialShare),
		SlowStartDuration:       s.duration(keySlowStartDuration),
		SlowStartOverloadFactor: s.number(keySlowStartOverloadFactor),
		ProbeCost:               s.number(keyProbeCost),
		CrossZoneCost:           s.number(keyCrossZoneCost),
	}
}

func (s *Settings) class(index int) policy.Class {
	prefix := item(keyClasses, index)
	return policy.Class{
		LatencyObjective:    s.requireDuration(prefix + keyLatencyObjective),
		ObjectiveWorkFactor: s.number(prefix + keyObjectiveWorkFactor),
		Deadline:            s.requireDuration(prefix + keyDeadline),
		LateValueShare:      s.number(prefix + keyLateValueShare),
		PriorityWeight:      s.number(prefix + keyPriorityWeight),
		DedupWindow:         s.duration(prefix + keyDedupWindow),
		Idempotency:         idempotency(s.text(prefix + keyIdempotency)),
		DedupScope:          dedupScope(s.text(prefix + keyDedupScope)),
	}
}

func (s *Settings) tenant(index int) policy.Tenant {
	prefix := item(keyTenants, index)
	return policy.Tenant{
		Share: s.number(prefix + keyTenantShare),
		Quota: s.number(prefix + keyTenantQuota),
	}
}

// idempotency converts a value of keyIdempotency. An unknown value becomes the strictest.
func idempotency(value string) policy.Idempotency {
	switch value {
	case idempotent:
		return policy.Idempotent
	case idempotentByKey:
		return policy.IdempotentByKey
	default:
		return policy.NotIdempotent
	}
}

// dedupScope converts a value of keyDedupScope. An unknown value becomes the strictest.
func dedupScope(value string) policy.DedupScope {
	switch value {
	case dedupScopeAll:
		return policy.ScopeAll
	case dedupScopeZone:
		return policy.ScopeZone
	default:
		return policy.ScopeCell
	}
}
