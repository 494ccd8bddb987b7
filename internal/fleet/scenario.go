package fleet

import (
	"time"

	"mothridge/policy"
)

// Scenario is the complete input of a run. The toml tags are the names of the settings in a scenario file
// (docs/operate/laboratory.md) and must not change. An omitted setting has its zero value.
type Scenario struct {
	// Seed of all random number streams.
	Seed uint64 `toml:"seed,omitempty"`
	// Policy makes the decisions in every sidecar; empty: Mothridge.
	Policy Policy `toml:"policy,omitempty"`
	// Duration is the time in which new requests arrive. The run ends when the last request is complete.
	Duration time.Duration `toml:"duration"`
	// Nodes is the number of nodes, at least 1.
	Nodes int `toml:"nodes"`
	// Sidecars is the number of sidecars, at least 1.
	Sidecars int `toml:"sidecars"`
	// ArrivalRate is the number of new requests per second at all sidecars together; 0: OfferedLoad determines it.
	ArrivalRate float64 `toml:"rate,omitempty"`
	// OfferedLoad determines the arrival rate: work that arrives / work that all nodes can process. Exactly one of
	// ArrivalRate and OfferedLoad is set, unless there are recorded arrivals.
	OfferedLoad float64 `toml:"load,omitempty"`
	// TrafficSkew is the exponent of Zipf's law: the traffic of sidecar i, from 1, is proportional to 1/i^TrafficSkew;
	// 0: all sidecars have the same traffic.
	TrafficSkew float64 `toml:"skew,omitempty"`
	// Node has the parameters of each node.
	Node NodeParams `toml:"node"`
	// SpeedFactors multiply Node.Speed; a node uses the factor at its number modulo the number of factors; none: 1.
	SpeedFactors []float64 `toml:"speeds,omitempty"`
	// Network between sidecars and nodes.
	Network Network `toml:"network,omitempty"`
	// List determines how sidecars learn of the nodes.
	List EndpointList `toml:"list,omitempty"`
	// Classes of requests, at least one.
	Classes []Class `toml:"class"`
	// Tenants of the fleet; none: a single tenant.
	Tenants []Tenant `toml:"tenant,omitempty"`
	// Slots is the number of slots of each sidecar; 0: the decision module's default.
	Slots int `toml:"slots,omitempty"`
	// MaxAttempts is the largest number of attempts for one submission, at least 1.
	MaxAttempts int `toml:"attempts"`
	// LoadReports means that nodes respond to probes with their number of requests in flight.
	LoadReports bool `toml:"probes,omitempty"`
	// Retries determines when a reference policy sends a further attempt.
	Retries RetryMode `toml:"retries,omitempty"`
	// Quotas are applied before each sidecar's balancer.
	Quotas Quotas `toml:"quotas,omitempty"`
	// Clients determines how clients wait and retry.
	Clients Clients `toml:"clients"`
	// Daily is the daily variation of the arrival rate.
	Daily RateVariation `toml:"daily,omitempty"`
	// RecordedArrivals replace the random arrivals; they are in order of time.
	RecordedArrivals []Arrival `toml:"arrival,omitempty"`
	// Faults to inject.
	Faults []Fault `toml:"trouble,omitempty"`

	// MaxEvents is the number of events after which a run is truncated; 0: defaultMaxEvents.
	MaxEvents uint64 `toml:"most_events,omitempty"`
	// ExplainRequest is the submission whose events are recorded in Result.Explanation; 0: none.
	ExplainRequest policy.RequestID `toml:"-"`
	// RecordUtilisation records Result.WindowUtilisation.
	RecordUtilisation bool `toml:"-"`
}

const defaultMaxEvents = 100_000_000

// NodeParams are the parameters of a node.
type NodeParams struct {
	// Cores is the number of cores of the node, at least 1.
	Cores int `toml:"cores"`
	// Speed of a core, above 0. Work is given as the time that it takes on a core of speed 1.
	Speed float64 `toml:"speed"`
	// MaxRequests is the largest number of requests in flight at the node, which rejects further requests; 0: no bound.
	MaxRequests int `toml:"queue,omitempty"`
	// InitialSpeedShare is the share of its full speed, 0 to 1, that a process has at its start.
	InitialSpeedShare float64 `toml:"cold_from,omitempty"`
	// WarmUpTime is the time from its start until a process has its full speed; 0: full speed from the start.
	WarmUpTime time.Duration `toml:"cold_time,omitempty"`
	// WarmUpOverloadFactor is the ratio of the offered load to the node's current capacity above which a node that
	// warms up goes down; 0: the node does not go down.
	WarmUpOverloadFactor float64 `toml:"cold_multiple,omitempty"`
	// StartsCold means that all processes start when the run begins, and warm up.
	StartsCold bool `toml:"fresh,omitempty"`
	// KeepsAbandoned means that the node completes requests even if their sidecar has given them up.
	KeepsAbandoned bool `toml:"keeps_abandoned,omitempty"`
	// OverloadCollapse has the parameters of the node's overload collapse.
	OverloadCollapse OverloadCollapse `toml:"choke,omitempty"`
}

// OverloadCollapse has the parameters of overload collapse: after an overload a node works more slowly.
type OverloadCollapse struct {
	// RequestsPerCore is the number of requests in flight per core above which a node counts as overloaded.
	RequestsPerCore float64 `toml:"above,omitempty"`
	// OnsetTime is how long the node has to be overloaded until it collapses.
	OnsetTime time.Duration `toml:"after,omitempty"`
	// Slowdown is the divisor of a collapsed node's speed; 1 or less: the node never collapses.
	Slowdown float64 `toml:"times,omitempty"`
	// RecoveryTime is how long the node has to be half idle until it recovers.
	RecoveryTime time.Duration `toml:"rest,omitempty"`
	// MaxDuration is the time after which the node recovers in any case; 0: no bound.
	MaxDuration time.Duration `toml:"longest,omitempty"`
}

// Network has the parameters of the network between sidecars and nodes.
type Network struct {
	// Delay is the mean of the exponentially distributed one-way delay.
	Delay time.Duration `toml:"delay,omitempty"`
	// HandshakeWork is the node's work for a new connection; 0: connections are not modelled.
	HandshakeWork time.Duration `toml:"handshake,omitempty"`
	// HandshakeRoundTrips is the number of round trips on a new connection before the first byte of a request.
	HandshakeRoundTrips int `toml:"trips,omitempty"`
	// IdleTimeout is the time after which an idle connection is closed; 0: idle connections stay open.
	IdleTimeout time.Duration `toml:"idle,omitempty"`
	// MaxConnections is the largest number of connections that a node accepts; 0: no bound.
	MaxConnections int `toml:"most,omitempty"`
}

// EndpointList determines how sidecars learn of the nodes.
type EndpointList struct {
	// MaxDelay is the longest delay of an update; delays are uniformly distributed from 0.
	MaxDelay time.Duration `toml:"lag,omitempty"`
	// WatchRequired means that updates are not pushed: sidecars send watch requests and lose the watch in a list
	// outage.
	WatchRequired bool `toml:"asked,omitempty"`
	// Membership means that updates pass through the membership module.
	Membership bool `toml:"membership,omitempty"`
	// CellSize is the number of nodes in a cell, which share their idempotency keys; 0: 1.
	CellSize int `toml:"cell,omitempty"`
}

// Quotas has the parameters of the quota module in front of every sidecar's balancer. The quota tree has a root with
// the sum of all tenants' quotas and a node for each tenant.
type Quotas struct {
	// SidecarShare is the share of every quota, 0 to 1, that each sidecar may use; 0: no quotas.
	SidecarShare float64 `toml:"part,omitempty"`
	// Windows of the limits; none: 1 s and 10 s.
	Windows []time.Duration `toml:"windows,omitempty"`
	// LenderReserve is the time for which a lender's own demand is kept free, as in quota.Config.
	LenderReserve time.Duration `toml:"reclaim,omitempty"`
	// RepaymentShare is used as in quota.Config.
	RepaymentShare float64 `toml:"repay,omitempty"`
	// DebtLifetime is used as in quota.Config.
	DebtLifetime time.Duration `toml:"debt_age,omitempty"`
	// LendingAllowed means that tenants may use quota that others do not use; otherwise each has only its own quota.
	LendingAllowed bool `toml:"lends,omitempty"`
}

// meanWork returns the mean work of a request, in seconds on a core of speed 1.
func (scenario *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, class := range scenario.Classes {
		work += class.Share * class.Work.Seconds()
		shares += class.Share
	}
	return work / shares
}

// meanArrivalRate returns the mean number of new requests per second at all sidecars together.
func (scenario *Scenario) meanArrivalRate() float64 {
	if scenario.OfferedLoad > 0 {
		return scenario.OfferedLoad * scenario.Capacity() / scenario.meanWork()
	}
	return scenario.ArrivalRate
}

// NodeParamsAt returns the parameters of a node, by its number from 0.
func (scenario *Scenario) NodeParamsAt(number int) NodeParams {
	params := scenario.Node
	if factors := scenario.SpeedFactors; len(factors) > 0 {
		params.Speed *= factors[number%len(factors)]
	}
	return params
}

// NodeCapacity returns the work that a node can process per second, in seconds on a core of speed 1.
func (scenario *Scenario) NodeCapacity(number int) float64 {
	return scenario.NodeParamsAt(number).Speed * float64(scenario.Node.Cores)
}

// Capacity returns the work that all nodes can process per second, in seconds on a core of speed 1.
func (scenario *Scenario) Capacity() float64 {
	sum := 0.0
	for number := range scenario.Nodes {
		sum += scenario.NodeCapacity(number)
	}
	return sum
}

// tenantCount returns the number of tenants; a scenario without tenants has one.
func (scenario *Scenario) tenantCount() int { return max(1, len(scenario.Tenants)) }
