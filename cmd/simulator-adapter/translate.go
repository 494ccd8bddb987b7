package main

import (
	"mothridge/internal/wire"
	"mothridge/policy"
)

// policyRequest converts a request to the type of package policy.
func policyRequest(received wire.Request) policy.Request {
	r := policy.Request{
		ID:          policy.RequestID(received.ID),
		Class:       int(received.Class),
		Tenant:      int(received.Tenant),
		Timeout:     received.Timeout,
		ClientRetry: received.Flags&wire.FlagClientRetry != 0,
	}
	if received.Flags&wire.FlagExpectedWork != 0 {
		r.ExpectedWork = received.ExpectedWork
	}
	return r
}

// policyAttemptResult converts a result to the type of package policy. An unknown result becomes a server
// error, because the request may have been executed.
func policyAttemptResult(result wire.Result) policy.AttemptResult {
	switch result {
	case wire.ResultServed:
		return policy.Served
	case wire.ResultRejected:
		return policy.Rejected
	case wire.ResultTimedOut:
		return policy.TimedOut
	case wire.ResultConnectionFailed:
		return policy.ConnectionFailed
	case wire.ResultConnectionReset:
		return policy.ConnectionReset
	case wire.ResultCancelled:
		return policy.Cancelled
	case wire.ResultNotSent:
		return policy.NotSent
	default:
		return policy.ServerError
	}
}

// policyUpdateKind converts the kind of an update to the type of package policy. known is false for an unknown
// kind.
func policyUpdateKind(kind wire.UpdateKind) (result policy.UpdateKind, known bool) {
	switch kind {
	case wire.UpdateFull:
		return policy.FullUpdate, true
	case wire.UpdateDelta:
		return policy.DeltaUpdate, true
	case wire.UpdateCached:
		return policy.CachedUpdate, true
	case wire.UpdateFailed:
		return policy.FailedUpdate, true
	default:
		return 0, false
	}
}

// policyEndpoints converts the entries of a list to the type of package policy.
func policyEndpoints(entries []wire.ListEntry) []policy.Endpoint {
	list := make([]policy.Endpoint, len(entries))
	for i, entry := range entries {
		list[i] = policy.Endpoint{
			ID:        policy.EndpointID(entry.Endpoint),
			Zone:      int(entry.Zone),
			Cell:      int(entry.Cell),
			Health:    policyHealth(entry.Health),
			Weight:    entry.Weight,
			StartedAt: entry.StartedAt,
		}
	}
	return list
}

// policyHealth converts a state to the type of package policy. An unknown state becomes draining, in which an
// endpoint receives no new requests.
func policyHealth(state wire.Health) policy.Health {
	switch state {
	case wire.HealthReady:
		return policy.Ready
	case wire.HealthRemoved:
		return policy.Removed
	default:
		return policy.Draining
	}
}
