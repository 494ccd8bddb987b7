package settings

import "mothridge/policy"

// Config returns the configuration of the decisions. The error is a *ValueError, of the
// first value that cannot be used.
func (s *Settings) Config() (policy.Config, error) {
	config := s.scalars()
	s.requirePositive(keyFleetSize, "balancers in all")
	s.requirePositive(keyMaxAttempts, "attempts for a request")
	s.requirePositive(keyClasses+suffixCount, "classes of requests")
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

// scalars reads what stands in no list.
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
		LatencyObjective: s.requireDuration(prefix + keyLatencyObjective),
		ObjectiveStretch: s.number(prefix + keyObjectiveStretch),
		Deadline:         s.requireDuration(prefix + keyDeadline),
		LateValueShare:   s.number(prefix + keyLateValueShare),
		PriorityWeight:   s.number(prefix + keyPriorityWeight),
		DedupWindow:      s.duration(prefix + keyDedupWindow),
		Idempotency:      idempotency(s.text(prefix + keyIdempotency)),
		DedupScope:       dedupScope(s.text(prefix + keyDedupScope)),
	}
}

func (s *Settings) tenant(index int) policy.Tenant {
	prefix := item(keyTenants, index)
	return policy.Tenant{
		Share: s.number(prefix + keyTenantShare),
		Quota: s.number(prefix + keyTenantQuota),
	}
}

// idempotency takes an unknown word for the strictest.
func idempotency(word string) policy.Idempotency {
	switch word {
	case idempotent:
		return policy.Idempotent
	case idempotentByKey:
		return policy.IdempotentByKey
	default:
		return policy.NotIdempotent
	}
}

// dedupScope takes an unknown word for the strictest.
func dedupScope(word string) policy.DedupScope {
	switch word {
	case dedupScopeAll:
		return policy.ScopeAll
	case dedupScopeZone:
		return policy.ScopeZone
	default:
		return policy.ScopeCell
	}
}
