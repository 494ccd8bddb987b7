package fleet

import (
	"time"

	"mothridge/policy"
)

// balancer decides for a sidecar of the model; policy.Balancer is the real one.
type balancer interface {
	Start(now time.Duration)
	EndpointsUpdated(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
	RequestReceived(now time.Duration, request policy.Request)
	AttemptEnded(now time.Duration, outcome policy.AttemptOutcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	ProbeCompleted(now time.Duration, id policy.EndpointID, ok bool, report policy.LoadReport)
	TimerFired(now time.Duration)
}

// Policy is what decides in every sidecar: the real decision module, or a reference policy to compare it with.
type Policy string

// The policies. A reference policy knows of an endpoint what the list says and how its own attempts ended. All but
// Bulkhead reject only what has no endpoint.
const (
	Mothridge  Policy = "mothridge"   // the real decision module
	Random     Policy = "random"      // any ready endpoint
	RoundRobin Policy = "round-robin" // the ready endpoints one after the other
	TwoChoices Policy = "two-choices" // the less loaded of two random ones
	PeakEWMA   Policy = "peak-ewma"   // the one of two random ones with the lower expected latency
	Bulkhead   Policy = "bulkhead"    // slots and a queue for each tenant; endpoints as RoundRobin
)

// knownPolicies are those that a scenario may name; the empty one means Mothridge.
var knownPolicies = []Policy{"", Mothridge, Random, RoundRobin, TwoChoices, PeakEWMA, Bulkhead}

// RetryMode is when a reference policy sends a further attempt, if the request's idempotency allows it.
type RetryMode string

// The retry modes. With RetryNaively and RetryWithBudget an attempt waits only for an even part of the submission's
// time, so that there is time for a further one.
const (
	RetryUnstarted  RetryMode = ""       // an attempt has all of the submission's time
	RetryNaively    RetryMode = "naive"  // at once, up to MaxAttempts
	RetryWithBudget RetryMode = "budget" // as RetryNaively, but only as the retry budget allows
)

var knownRetryModes = []RetryMode{RetryUnstarted, RetryNaively, RetryWithBudget}

// newBalancer returns what decides for a sidecar.
func (scenario *Scenario) newBalancer(config policy.Config, seed uint64, host policy.Host) (balancer, error) {
	if scenario.Policy == "" || scenario.Policy == Mothridge {
		return policy.New(config, seed, host)
	}
	return newReference(scenario, config, seed, host), nil
}
