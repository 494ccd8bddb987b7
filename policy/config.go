// The configuration: classes of requests, tenants, the fleet, and what the deployment
// allows. Each cost is a share of the value of a served request, which is 1.

package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a Balancer, which never change. New returns an error
// for a value outside of its bounds.
type Config struct {
	// FleetSize is the number of balancers that send to the same endpoints, this one
	// included; at least 1. Budgets of the fleet are split evenly by it.
	FleetSize int

	// Zone is the zone of this balancer. Endpoints there are preferred where
	// CrossZoneCost is above 0.
	Zone int

	// Classes are the kinds of requests, by the index that Request.Class names; at least one.
	Classes []Class

	// Tenants are the customers, by the index that Request.Tenant names. Each has a
	// bulkhead of its own. Empty means one tenant, number 0, without a quota.
	Tenants []Tenant

	// Slots is about the number of attempts in flight of all bulkheads together, as each
	// tenant's share is rounded up. 0 derives it from quotas and latency objectives, or
	// without quotas from the first endpoint list.
	Slots int

	// MaxAttempts bounds the attempts for one request, the first included; at least 1.
	MaxAttempts int

	// CancelAllowed permits Host.Cancel. Without it attempts that are no longer needed run on.
	CancelAllowed bool

	// ProbesAllowed permits probes before dispatch, which are used where traffic is low. Without
	// it traffic never counts as low, so that there is no load shedding and no subset of
	// preferred endpoints either.
	ProbesAllowed bool

	// ProbeLoadReports says that probes bring load reports. Requests then cause
	// regular probes also where traffic is not low.
	ProbeLoadReports bool

	// MaxRetryAfter bounds the pause that Host.Reject recommends.
	MaxRetryAfter time.Duration

	// ClientsMarkRetries says that Request.ClientRetry is set on every retry by a client.
	// Without it a timeout shorter than usual counts as the sign of a retry.
	ClientsMarkRetries bool

	// EventResolution is the shortest time between two events that the program passes
	// on. A timer may fire that much late, which deadlines allow for.
	EventResolution time.Duration

	// WatchOnRequest says that the endpoint list comes only after Host.RequestWatch.
	WatchOnRequest bool

	// WatchRequestWithin is how long a watch request may be silent before a change
	// counts as known to this balancer. A silent one is repeated sooner; 0 means not
	// known, and a default applies.
	WatchRequestWithin time.Duration

	// SlowStartInitialShare is the share of its capacity that an endpoint has right
	// after a start; between 0 and 1.
	SlowStartInitialShare float64

	// SlowStartDuration is the time from a start to full capacity, which grows evenly.
	// Within it, sends to the endpoint are spaced; 0 switches slow start off.
	SlowStartDuration time.Duration

	// SlowStartOverloadFactor is the multiple of its capacity at that moment that a
	// starting endpoint bears from the fleet. A value below 1 counts as 1.
	SlowStartOverloadFactor float64

	// ProbeCost is the cost of one probe. Requests are probed for only while the loss
	// without probes is expected to be higher.
	ProbeCost float64

	// CrossZoneCost is the cost of an attempt to another zone. Above 0, endpoints of
	// other zones are used only when none of the own zone can take the request.
	CrossZoneCost float64
}

// Class describes one kind of request.
type Class struct {
	// LatencyObjective is the time within which a response has its full value; above 0.
	LatencyObjective time.Duration

	// ObjectiveStretch extends the objective by this multiple of Request.ExpectedWork.
	ObjectiveStretch float64

	// Deadline is how long a client waits in all, its own retries included; above 0.
	Deadline time.Duration

	// LateValueShare is the share of its value that a response after the objective
	// keeps. At 0 an attempt is given up at the objective.
	LateValueShare float64

	// PriorityWeight is the value of a response; a higher one is shed less often.
	PriorityWeight float64

	// Idempotency says whether a request may run more than once.
	Idempotency Idempotency

	// DedupScope is the group of endpoints that drops repeats; for IdempotentByKey only.
	DedupScope DedupScope

	// DedupWindow is how long repeats are dropped, counted from the first send; for
	// IdempotentByKey only.
	DedupWindow time.Duration
}

// Idempotency says what a repeat of a request does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run and be rejected any number of times
	IdempotentByKey                    // repeats are dropped within DedupScope for DedupWindow
	NotIdempotent                      // must never run twice
)

// DedupScope is the group of endpoints that drops repeats of a request with a key.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all endpoints
	ScopeZone                   // the endpoints of a zone
	ScopeCell                   // the endpoints of a cell
)

// Tenant is one customer of the service.
type Tenant struct {
	// Share is its share of the slots, relative to the shares of the other tenants.
	Share float64

	// Quota is the rate of requests, a second, that it may send through the fleet; 0 is unknown.
	Quota float64
}

// validate returns an error that names the first unusable field.
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
		return fmt.Errorf("config: FleetSize is %d, at least 1 is needed", cfg.FleetSize)
	case len(cfg.Classes) == 0:
		return errors.New("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, at least 1 is needed", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, it must not be negative", cfg.Slots)
	case invalid(cfg.SlowStartInitialShare) || cfg.SlowStartInitialShare > 1:
		return fmt.Errorf("config: SlowStartInitialShare is %v, a share is needed", cfg.SlowStartInitialShare)
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
		if invalid(field.value) {
			return fmt.Errorf("config: %s is %v, it must be a number and not negative", field.name, field.value)
		}
	}
	return nil
}

func (cfg *Config) validateClasses() error {
	for i, class := range cfg.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 || class.DedupWindow < 0 {
			return fmt.Errorf("config: Classes[%d]: LatencyObjective %v, Deadline %v or DedupWindow %v is unusable",
				i, class.LatencyObjective, class.Deadline, class.DedupWindow)
		}
		if invalid(class.ObjectiveStretch) || invalid(class.LateValueShare) || invalid(class.PriorityWeight) {
			return fmt.Errorf("config: Classes[%d]: ObjectiveStretch, LateValueShare or PriorityWeight"+
				" is negative or no number", i)
		}
	}
	return nil
}

func (cfg *Config) validateTenants() error {
	shares := 0.0
	for i, tenant := range cfg.Tenants {
		if invalid(tenant.Share) || invalid(tenant.Quota) {
			return fmt.Errorf("config: Tenants[%d]: Share %v or Quota %v is negative or no number",
				i, tenant.Share, tenant.Quota)
		}
		shares += tenant.Share
	}
	if len(cfg.Tenants) > 0 && (shares <= 0 || math.IsInf(shares, 0)) {
		return fmt.Errorf("config: Tenants: the Share of all adds up to %v", shares)
	}
	return nil
}

// invalid says that a number is negative, infinite or none.
func invalid(number float64) bool {
	return math.IsNaN(number) || math.IsInf(number, 0) || number < 0
}
