package fleet

import (
	"time"

	"mothridge/policy"
)

// balancer makes the decisions of a simulated sidecar. policy.Balancer is the real implementation.
type balancer interface {
	Start(now time.Duration)
	EndpointsUpdated(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
	RequestReceived(now time.Duration, request policy.Request)
	AttemptEnded(now time.Duration, outcome policy.AttemptOutcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	ProbeCompleted(now time.Duration, id policy.EndpointID, ok bool, report policy.LoadReport)
	TimerFired(now time.Duration)
}

// Policy names what makes the decisions in every sidecar: the real decision module, or a reference policy to compare
// the module with.
type Policy string

// The policies. A reference policy uses only the listed health of an endpoint and the results of its own attempts. All
// reference policies but Bulkhead admit every submission for which there is a ready endpoint.
const (
	Mothridge  Policy = "mothridge"   // the real decision module
	Random     Policy = "random"      // a random ready endpoint
	RoundRobin Policy = "round-robin" // the ready endpoints in turn
	TwoChoices Policy = "two-choices" // the less loaded of two random endpoints
	PeakEWMA   Policy = "peak-ewma"   // of two random endpoints the one with the lower expected latency
	Bulkhead   Policy = "bulkhead"    // slots and a queue for each tenant; endpoints as by RoundRobin
)

// knownPolicies are the policies that a scenario may name. The empty name means Mothridge.
var knownPolicies = []Policy{"", Mothridge, Random, RoundRobin, TwoChoices, PeakEWMA, Bulkhead}

// RetryMode determines when a reference policy sends a further attempt, if the request's idempotency allows one.
type RetryMode string

// The retry modes. With RetryNaively and RetryWithBudget the timeout of an attempt is the submission's time divided by
// MaxAttempts, so that there is time for a further attempt.
const (
	RetryUnstarted  RetryMode = ""       // an attempt may use all of the submission's time
	RetryNaively    RetryMode = "naive"  // retries at once, up to MaxAttempts
	RetryWithBudget RetryMode = "budget" // as RetryNaively, but only within the retry budget
)

var knownRetryModes = []RetryMode{RetryUnstarted, RetryNaively, RetryWithBudget}

// newBalancer returns the balancer of a sidecar by the scenario's policy.
func (scenario *Scenario) newBalancer(config policy.Config, seed uint64, host policy.Host) (balancer, error) {
	if scenario.Policy == "" || scenario.Policy == Mothridge {
		return policy.New(config, seed, host)
	}
	return newReference(scenario, config, seed, host), nil
}
