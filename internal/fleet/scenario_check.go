package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Check returns an error that names the first setting that is wrong, and what would be right.
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
			return arrival.invalid(scenario, i)
		}
		earliest = arrival.At
	}
	return nil
}

// checkSettings checks all but the lists of classes, faults and recorded arrivals.
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

func positive(value float64) bool { return value > 0 } // false of NaN

func (scenario *Scenario) checkSizes() error {
	node := &scenario.Node
	switch {
	case scenario.Nodes < 1 || scenario.Sidecars < 1:
		return fmt.Errorf("%d nodes and %d sidecars: at least one of each is needed", scenario.Nodes, scenario.Sidecars)
	case scenario.Duration <= 0:
		return fmt.Errorf("a duration of %v: above 0 is needed", scenario.Duration)
	case !scenario.arrivalsDefined():
		return fmt.Errorf("a rate of %v and a load of %v: one of the two above 0 is needed",
			scenario.ArrivalRate, scenario.OfferedLoad)
	case node.Cores < 1 || !positive(node.Speed) || !allPositive(scenario.SpeedFactors):
		return fmt.Errorf("nodes of %d cores of speed %v, times %v: all above 0 are needed",
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
		return fmt.Errorf("nodes cold from %v for %v: a share above 0 and a time are needed",
			node.InitialSpeedShare, node.WarmUpTime)
	case collapse.enabled() && !collapse.valid():
		return fmt.Errorf("choke: above %v, after %v and rest %v: all above 0 are needed",
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
		return errors.New("no class of requests: at least one [[class]] is needed")
	case scenario.MaxAttempts < 1 || scenario.Clients.MaxSubmissions < 1:
		return fmt.Errorf("%d attempts and %d tries of clients: at least one of each is needed",
			scenario.MaxAttempts, scenario.Clients.MaxSubmissions)
	}
	return nil
}

func (clients *Clients) check() error {
	shares := clients.TimeoutShares
	if len(shares) == 0 || validShareRange(shares) {
		return nil
	}
	return fmt.Errorf("clients: patience %v: two shares, the lesser first, are meant", shares)
}

func validShareRange(shares []float64) bool {
	if len(shares) != 2 || !positive(shares[0]) {
		return false
	}
	return !(shares[1] < shares[0]) && !(shares[1] > 1)
}

func (scenario *Scenario) checkShares() error {
	retryAfter, swing := scenario.Clients.RetryAfterShare, scenario.Daily.Swing
	if retryAfter < 0 || retryAfter > 1 || swing < 0 || swing > 1 {
		return fmt.Errorf("clients: heeds %v, daily: swing %v: shares are meant", retryAfter, swing)
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
		return fmt.Errorf("quotas: a part of %v: 0 to 1, and tenants with a quota each, are meant", share)
	}
	return nil
}

func (scenario *Scenario) checkList() error {
	if scenario.List.WatchRequired && scenario.List.Membership {
		return errors.New("list: asked and membership: one of the two is meant")
	}
	times := []time.Duration{
		scenario.Network.Delay, scenario.Network.HandshakeWork, scenario.List.MaxDelay,
		scenario.Clients.MaxRetryAfter, scenario.Clients.RetryBackoff,
	}
	if slices.Min(times) < 0 || scenario.TrafficSkew < 0 || scenario.Slots < 0 {
		return errors.New("a delay, a lag, a pause, skew or slots below 0")
	}
	return nil
}

func (scenario *Scenario) checkNames() error {
	switch {
	case !slices.Contains(knownPolicies, scenario.Policy):
		return fmt.Errorf("policy %q is not known: one of %q is meant", scenario.Policy, knownPolicies)
	case !slices.Contains(knownRetryModes, scenario.Retries):
		return fmt.Errorf("retries %q are not known: one of %q is meant", scenario.Retries, knownRetryModes)
	}
	return nil
}

func (class *Class) check() error {
	switch {
	case !class.timesValid():
		return fmt.Errorf("share %v, work %v, aim %v and deadline %v: all above 0 are needed, "+
			"the deadline not before the aim",
			class.Share, class.Work, class.LatencyObjective, class.Deadline)
	case !slices.Contains([]WorkDistribution{Exponential, Fixed, LogNormal}, class.WorkDistribution):
		return fmt.Errorf("spread %q is not known: %q, %q or nothing is meant", class.WorkDistribution, Fixed, LogNormal)
	case class.WorkDistribution == LogNormal && !positive(class.CoefficientOfVariation):
		return fmt.Errorf("log-normal work with a cv of %v: above 0 is needed", class.CoefficientOfVariation)
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
		return fmt.Errorf("kind %q is not known: one of %q is meant", fault.Kind, faultKinds)
	}
	if !fault.placeValid(scenario) {
		return fmt.Errorf("node %d of %d, or a share of %v, at %v for %v, every %v: "+
			"what there is is meant, and no time below 0",
			fault.Node, scenario.Nodes, fault.NodeShare, fault.Start, fault.Duration, fault.Period)
	}
	switch fault.Kind {
	case StealCPU, ResetConnections:
		if !positive(fault.Share) || fault.Share > 1 {
			return fmt.Errorf("%s with a share of %v: above 0, and 1 at most, is meant", fault.Kind, fault.Share)
		}
	case TrafficBurst:
		if !fault.burstValid(scenario) {
			return fmt.Errorf("burst of %v times of tenant %d for %v: "+
				"a multiple, a tenant that there is and a time are meant",
				fault.RateFactor, fault.Tenant, fault.Duration)
		}
	case ListOutage, IncompleteList, StaleList:
		if fault.Duration == 0 {
			return fmt.Errorf("%s without a time: for how long is needed", fault.Kind)
		}
	default: // the others have no settings of their own
	}
	return nil
}

// placeValid reports whether the fault's nodes exist and its times are not negative.
func (fault *Fault) placeValid(scenario *Scenario) bool {
	if fault.Node < 0 || fault.Node >= scenario.Nodes || fault.NodeShare < 0 || fault.NodeShare > 1 {
		return false
	}
	return min(fault.Start, fault.Duration, fault.Period) >= 0
}

func (fault *Fault) burstValid(scenario *Scenario) bool {
	tenantExists := fault.Tenant >= 0 && fault.Tenant < scenario.tenantCount()
	return tenantExists && fault.RateFactor >= 0 && fault.Duration != 0
}

// valid reports whether the arrival's class and tenant exist and it is not before the earliest time.
func (arrival *Arrival) valid(scenario *Scenario, earliest time.Duration) bool {
	classExists := arrival.Class >= 0 && arrival.Class < len(scenario.Classes)
	tenantExists := arrival.Tenant >= 0 && arrival.Tenant < scenario.tenantCount()
	return classExists && tenantExists && arrival.At >= earliest && arrival.Work >= 0
}

func (arrival *Arrival) invalid(scenario *Scenario, number int) error {
	return fmt.Errorf("scenario: arrival %d: at %v, class %d of %d, tenant %d of %d, work %v: "+
		"in order of time and of those that there are is meant",
		number, arrival.At, arrival.Class, len(scenario.Classes), arrival.Tenant, scenario.tenantCount(), arrival.Work)
}
