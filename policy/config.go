// The configuration of a Balancer: classes of requests, tenants, the fleet, and the features that
// the deployment allows. Each cost is a fraction of the value of a served request, which is 1.

package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a Balancer, which do not change after New. New returns an error
// if a value is outside its bounds.
type Config struct {
	// FleetSize is the number of balancers that send to the same endpoints, including this
	// balancer; at least 1. Each balancer gets an equal part of a budget of the whole fleet.
	FleetSize int

	// Zone is the zone of this balancer. If CrossZoneCost is above 0, endpoints of this zone
	// are preferred.
	Zone int

	// Classes are the kinds of requests; at least one. Request.Class is an index into Classes.
	Classes []Class

	// Tenants are the customers. Request.Tenant is an index into Tenants. Each tenant has its
	// own bulkhead. Empty means a single tenant with index 0 and without a quota.
	Tenants []Tenant

	// Slots is the approximate number of attempts in flight that all bulkheads together allow;
	// the exact number is higher because each tenant's share is rounded up. 0 derives the
	// number from the quotas and latency objectives, or, without quotas, from the first
	// endpoint list. Must not be negative.
	Slots int

	// MaxAttempts is the maximum number of attempts for one request, including the first
	// attempt; at least 1.
	MaxAttempts int

	// CancelAllowed permits calls of Host.Cancel. If false, attempts that are no longer needed
	// continue until they end.
	CancelAllowed bool

	// ProbesAllowed permits probes before dispatch, which are used while traffic is low. If
	// false, traffic never counts as low, so load shedding and the subset of preferred
	// endpoints are disabled too.
	ProbesAllowed bool

	// ProbeLoadReports says that the response to a probe contains a load report. Requests
	// then trigger regular probes also while traffic is not low.
	ProbeLoadReports bool

	// MaxRetryAfter is the maximum pause that Host.Reject recommends to the client.
	MaxRetryAfter time.Duration

	// ClientsMarkRetries says that Request.ClientRetry is set on every retry by a client. If
	// false, every request whose timeout is shorter than usual counts as a client's retry.
	ClientsMarkRetries bool

	// EventResolution is the shortest time between two events that the program delivers to
	// the Balancer. A timer may fire late by this time, and deadlines allow for that delay.
	EventResolution time.Duration

	// WatchOnRequest says that the program delivers the endpoint list only after a call of
	// Host.RequestWatch.
	WatchOnRequest bool

	// WatchRequestWithin is how long a watch request may stay without a response before this
	// balancer is expected to know of a change. The Balancer repeats a watch request without
	// a response before that time is over. 0 means unknown; the Balancer then repeats the
	// request after a default time.
	WatchRequestWithin time.Duration

	// SlowStartInitialShare is the fraction of its full capacity that an endpoint has right
	// after its start; between 0 and 1.
	SlowStartInitialShare float64

	// SlowStartDuration is the time from the start of an endpoint to its full capacity. The
	// capacity grows linearly. During this time there is a minimum interval between attempts
	// at the endpoint. 0 disables slow start.
	SlowStartDuration time.Duration

	// SlowStartOverloadFactor is the load from the whole fleet that an endpoint in slow start
	// can handle, as a multiple of its current capacity. A value below 1 counts as 1.
	SlowStartOverloadFactor float64

	// ProbeCost is the cost of one probe. Endpoints are probed before dispatch only while the
	// expected loss without probes is higher than the cost of the probes.
	ProbeCost float64

	// CrossZoneCost is the cost of an attempt at an endpoint of another zone. If it is above
	// 0, endpoints of other zones are used only when no endpoint of the balancer's own zone
	// can take the request.
	CrossZoneCost float64
}

// Class describes one kind of request.
type Class struct {
	// LatencyObjective is the latency up to which a response has its full value; above 0.
	LatencyObjective time.Duration

	// ObjectiveWorkFactor is the multiple of Request.ExpectedWork that is added to the latency
	// objective of a request.
	ObjectiveWorkFactor float64

	// Deadline is how long a client waits in total, including its own retries; above 0.
	Deadline time.Duration

	// LateValueShare is the fraction of its value that a response keeps if it arrives after
	// the objective. At 0, attempts time out at the objective.
	LateValueShare float64

	// PriorityWeight is the value of a response. Requests of a class with a higher weight are
	// shed less often.
	PriorityWeight float64

	// Idempotency says whether an endpoint may run a request more than once.
	Idempotency Idempotency

	// DedupScope is the group of endpoints that drops repeats of a request. It applies to
	// IdempotentByKey only.
	DedupScope DedupScope

	// DedupWindow is how long the endpoints drop repeats of a request, counted from its first
	// attempt. It applies to IdempotentByKey only.
	DedupWindow time.Duration
}

// Idempotency says whether a request may be sent again, and what happens to the repeat.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times, and may be rejected at any time
	IdempotentByKey                    // endpoints of the DedupScope drop repeats during DedupWindow
	NotIdempotent                      // must never run more than once
)

// DedupScope is the group of endpoints that drops repeats of a request with an idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all endpoints
	ScopeZone                   // the endpoints of one zone
	ScopeCell                   // the endpoints of one cell
)

// Tenant is one customer of the service.
type Tenant struct {
	// Share is the tenant's share of the slots, relative to the shares of the other tenants.
	Share float64

	// Quota is the rate, in requests per second, that the tenant may send through the whole
	// fleet; 0 means unknown.
	Quota float64
}

// validate returns an error that names the first invalid field.
func (cfg *Config) validate() error {
	checks := []func() error{cfg.validateBounds, cfg.validateNumbers, cfg.validateClasses, cfg.validateTenants}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (cfg *Config) validateBounds() error {
	switch {
	case cfg.FleetSize < 1:
		return fmt.Errorf("config: FleetSize must be at least 1, got %d", cfg.FleetSize)
	case len(cfg.Classes) == 0:
		return errors.New("config: Classes must not be empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts must be at least 1, got %d", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots must not be negative, got %d", cfg.Slots)
	case isInvalidNumber(cfg.SlowStartInitialShare) || cfg.SlowStartInitialShare > 1:
		return fmt.Errorf("config: SlowStartInitialShare must be between 0 and 1, got %v",
			cfg.SlowStartInitialShare)
	}
	return nil
}

func (cfg *Config) validateNumbers() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"SlowStartOverloadFactor", cfg.SlowStartOverloadFactor},
		{"CrossZoneCost", cfg.CrossZoneCost},
		{"ProbeCost", cfg.ProbeCost},
		{"MaxRetryAfter", cfg.MaxRetryAfter.Seconds()},
		{"EventResolution", cfg.EventResolution.Seconds()},
		{"WatchRequestWithin", cfg.WatchRequestWithin.Seconds()},
		{"SlowStartDuration", cfg.SlowStartDuration.Seconds()},
	} {
		if isInvalidNumber(field.value) {
			return fmt.Errorf("config: %s must be finite and not negative, got %v", field.name, field.value)
		}
	}
	return nil
}

func (cfg *Config) validateClasses() error {
	for i, class := range cfg.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 || class.DedupWindow < 0 {
			return fmt.Errorf(
				"config: Classes[%d]: want LatencyObjective > 0, Deadline > 0 and DedupWindow >= 0, got %v, %v and %v",
				i, class.LatencyObjective, class.Deadline, class.DedupWindow)
		}
		if isInvalidNumber(class.ObjectiveWorkFactor) || isInvalidNumber(class.LateValueShare) ||
			isInvalidNumber(class.PriorityWeight) {
			return fmt.Errorf("config: Classes[%d]: ObjectiveWorkFactor, LateValueShare and PriorityWeight"+
				" must be finite and not negative", i)
		}
	}
	return nil
}

func (cfg *Config) validateTenants() error {
	shares := 0.0
	for i, tenant := range cfg.Tenants {
		if isInvalidNumber(tenant.Share) || isInvalidNumber(tenant.Quota) {
			return fmt.Errorf("config: Tenants[%d]: Share and Quota must be finite and not negative, got %v and %v",
				i, tenant.Share, tenant.Quota)
		}
		shares += tenant.Share
	}
	if len(cfg.Tenants) > 0 && (shares <= 0 || math.IsInf(shares, 0)) {
		return fmt.Errorf("config: Tenants: the sum of all Share values must be above 0 and finite, got %v", shares)
	}
	return nil
}

// isInvalidNumber reports whether a number is negative, infinite or not a number (NaN).
func isInvalidNumber(number float64) bool {
	return math.IsNaN(number) || math.IsInf(number, 0) || number < 0
}
