package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Check returns an error for the first invalid setting, with the setting's name and the rule that it violates.
func (scenario *Scenario) Check() error {
	if err := scenario.checkSettings(); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	for i, class := range scenario.Classes {
		if err := class.check(); err != nil {
			return fmt.Errorf("scenario: class %d: %w", i, err)
		}
	}
	for i, fault := range scenario.Faults {
		if err := fault.check(scenario); err != nil {
			return fmt.Errorf("scenario: trouble %d: %w", i, err)
		}
	}
	earliest := time.Duration(0)
	for i, arrival := range scenario.RecordedArrivals {
		if !arrival.valid(scenario, earliest) {
			return arrival.invalidError(scenario, i)
		}
		earliest = arrival.At
	}
	return nil
}

// checkSettings checks all settings except the lists of classes, faults and recorded arrivals.
func (scenario *Scenario) checkSettings() error {
	for _, check := range []func() error{
		scenario.checkSizes, scenario.Node.check, scenario.checkLimits, scenario.Clients.check, scenario.checkShares,
		scenario.checkQuotas, scenario.checkList, scenario.checkNames,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func positive(value float64) bool { return value > 0 } // false for NaN

func (scenario *Scenario) checkSizes() error {
	node := &scenario.Node
	switch {
	case scenario.Nodes < 1 || scenario.Sidecars < 1:
		return fmt.Errorf("nodes and sidecars must be at least 1, got %d and %d", scenario.Nodes, scenario.Sidecars)
	case scenario.Duration <= 0:
		return fmt.Errorf("duration must be above 0, got %v", scenario.Duration)
	case !scenario.arrivalsDefined():
		return fmt.Errorf("exactly one of rate and load must be above 0, got rate %v and load %v",
			scenario.ArrivalRate, scenario.OfferedLoad)
	case node.Cores < 1 || !positive(node.Speed) || !allPositive(scenario.SpeedFactors):
		return fmt.Errorf("node cores, node speed and all speeds must be above 0, got %d, %v and %v",
			node.Cores, node.Speed, scenario.SpeedFactors)
	}
	return nil
}

// arrivalsDefined reports whether there are recorded arrivals or exactly one of arrival rate and offered load.
func (scenario *Scenario) arrivalsDefined() bool {
	if scenario.ArrivalRate < 0 || scenario.OfferedLoad < 0 {
		return false
	}
	return len(scenario.RecordedArrivals) > 0 || (scenario.ArrivalRate > 0) != (scenario.OfferedLoad > 0)
}

func allPositive(values []float64) bool {
	return !slices.ContainsFunc(values, func(value float64) bool { return !positive(value) })
}

func (node *NodeParams) check() error {
	collapse := &node.OverloadCollapse
	switch {
	case !node.warmUpValid():
		return fmt.Errorf("cold_from must be 0 to 1 (above 0 with cold_time) and cold_time at least 0, got %v and %v",
			node.InitialSpeedShare, node.WarmUpTime)
	case collapse.enabled() && !collapse.valid():
		return fmt.Errorf("choke: above, after and rest must be above 0, got %v, %v and %v",
			collapse.RequestsPerCore, collapse.OnsetTime, collapse.RecoveryTime)
	}
	return nil
}

// warmUpValid reports whether a node that warms up has some speed from its start.
func (node *NodeParams) warmUpValid() bool {
	if node.InitialSpeedShare < 0 || node.InitialSpeedShare > 1 || node.WarmUpTime < 0 {
		return false
	}
	return node.WarmUpTime == 0 || node.InitialSpeedShare != 0
}

func (collapse *OverloadCollapse) valid() bool {
	return collapse.OnsetTime > 0 && collapse.RecoveryTime > 0 && positive(collapse.RequestsPerCore)
}

func (scenario *Scenario) checkLimits() error {
	switch {
	case len(scenario.Classes) == 0:
		return errors.New("class: at least one [[class]] is required")
	case scenario.MaxAttempts < 1 || scenario.Clients.MaxSubmissions < 1:
		return fmt.Errorf("attempts and tries of clients must be at least 1, got %d and %d",
			scenario.MaxAttempts, scenario.Clients.MaxSubmissions)
	}
	return nil
}

func (clients *Clients) check() error {
	shares := clients.TimeoutShares
	if len(shares) == 0 || validShareRange(shares) {
		return nil
	}
	return fmt.Errorf("clients: patience must be two shares above 0 and at most 1 in ascending order, got %v", shares)
}

func validShareRange(shares []float64) bool {
	if len(shares) != 2 || !positive(shares[0]) {
		return false
	}
	return !(shares[1] < shares[0]) && !(shares[1] > 1)
}

func (scenario *Scenario) checkShares() error {
	retryAfter, swing := scenario.Clients.RetryAfterShare, scenario.Daily.Amplitude
	if retryAfter < 0 || retryAfter > 1 || swing < 0 || swing > 1 {
		return fmt.Errorf("heeds of clients and swing of daily must be between 0 and 1, got %v and %v",
			retryAfter, swing)
	}
	return nil
}

func (scenario *Scenario) checkQuotas() error {
	share := scenario.Quotas.SidecarShare
	if share == 0 {
		return nil
	}
	withoutQuota := func(tenant Tenant) bool { return !positive(tenant.Quota) }
	haveQuotas := len(scenario.Tenants) > 0 && !slices.ContainsFunc(scenario.Tenants, withoutQuota)
	if share < 0 || share > 1 || share > 0 && !haveQuotas {
		return fmt.Errorf("quotas: part must be between 0 and 1 and every tenant needs a quota above 0, got part %v",
			share)
	}
	return nil
}

func (scenario *Scenario) checkList() error {
	if scenario.List.WatchRequired && scenario.List.Membership {
		return errors.New("list: asked and membership must not both be true")
	}
	times := []time.Duration{
		scenario.Network.Delay, scenario.Network.HandshakeWork, scenario.List.MaxDelay,
		scenario.Clients.MaxRetryAfter, scenario.Clients.RetryBackoff,
	}
	if slices.Min(times) < 0 || scenario.TrafficSkew < 0 || scenario.Slots < 0 {
		return errors.New("delay, handshake, lag, max_pause, pause, skew and slots must be at least 0")
	}
	return nil
}

func (scenario *Scenario) checkNames() error {
	switch {
	case !slices.Contains(knownPolicies, scenario.Policy):
		return fmt.Errorf("unknown policy %q: must be one of %q", scenario.Policy, knownPolicies)
	case !slices.Contains(knownRetryModes, scenario.Retries):
		return fmt.Errorf("unknown retries %q: must be one of %q", scenario.Retries, knownRetryModes)
	}
	return nil
}

func (class *Class) check() error {
	switch {
	case !class.timesValid():
		return fmt.Errorf("share, work and aim must be above 0 "+
			"and deadline at least aim, got %v, %v, %v and %v",
			class.Share, class.Work, class.LatencyObjective, class.Deadline)
	case !slices.Contains([]WorkDistribution{Exponential, Fixed, LogNormal}, class.WorkDistribution):
		return fmt.Errorf("unknown spread %q: must be %q, %q or empty", class.WorkDistribution, Fixed, LogNormal)
	case class.WorkDistribution == LogNormal && !positive(class.CoefficientOfVariation):
		return fmt.Errorf("cv must be above 0 for log-normal work, got %v", class.CoefficientOfVariation)
	}
	return nil
}

func (class *Class) timesValid() bool {
	if !positive(class.Share) || class.Work <= 0 {
		return false
	}
	return class.LatencyObjective > 0 && class.Deadline >= class.LatencyObjective
}

func (fault *Fault) check(scenario *Scenario) error {
	if !slices.Contains(faultKinds, fault.Kind) {
		return fmt.Errorf("unknown kind %q: must be one of %q", fault.Kind, faultKinds)
	}
	if !fault.nodesAndTimesValid(scenario) {
		return fmt.Errorf("node %d of %d, of %v, at %v, for %v, every %v: "+
			"the node must exist, of must be between 0 and 1, at, for and every must be at least 0",
			fault.Node, scenario.Nodes, fault.NodeShare, fault.Start, fault.Duration, fault.Period)
	}
	switch fault.Kind {
	case StealCPU, ResetConnections:
		if !positive(fault.Share) || fault.Share > 1 {
			return fmt.Errorf("%s: share must be above 0 and at most 1, got %v", fault.Kind, fault.Share)
		}
	case TrafficBurst:
		if !fault.burstValid(scenario) {
			return fmt.Errorf("burst: times %v, tenant %d, for %v: "+
				"times must be at least 0, the tenant must exist and for must be above 0",
				fault.RateFactor, fault.Tenant, fault.Duration)
		}
	case ListOutage, IncompleteList, StaleList:
		if fault.Duration == 0 {
			return fmt.Errorf("%s: for must be above 0", fault.Kind)
		}
	default: // the other kinds have no settings of their own
	}
	return nil
}

// nodesAndTimesValid reports whether the fault's nodes exist and its times are not negative.
func (fault *Fault) nodesAndTimesValid(scenario *Scenario) bool {
	if fault.Node < 0 || fault.Node >= scenario.Nodes || fault.NodeShare < 0 || fault.NodeShare > 1 {
		return false
	}
	return min(fault.Start, fault.Duration, fault.Period) >= 0
}

func (fault *Fault) burstValid(scenario *Scenario) bool {
	tenantExists := fault.Tenant >= 0 && fault.Tenant < scenario.tenantCount()
	return tenantExists && fault.RateFactor >= 0 && fault.Duration != 0
}

// valid reports whether the arrival's class and tenant exist, its work is not negative and its time is not before the
// earliest time.
func (arrival *Arrival) valid(scenario *Scenario, earliest time.Duration) bool {
	classExists := arrival.Class >= 0 && arrival.Class < len(scenario.Classes)
	tenantExists := arrival.Tenant >= 0 && arrival.Tenant < scenario.tenantCount()
	return classExists && tenantExists && arrival.At >= earliest && arrival.Work >= 0
}

func (arrival *Arrival) invalidError(scenario *Scenario, number int) error {
	return fmt.Errorf("scenario: arrival %d: at %v, class %d of %d, tenant %d of %d, work %v: "+
		"arrivals must be in order of time, class and tenant must exist and work must be at least 0",
		number, arrival.At, arrival.Class, len(scenario.Classes), arrival.Tenant, scenario.tenantCount(), arrival.Work)
}
